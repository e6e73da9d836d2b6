package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/pqueue"
)

// timer calls fire once its time is reached.
type timer struct {
	at   time.Time
	seq  uint64 // order of timers with the same time
	pos  int    // in the timer queue, -1 when not scheduled
	fire func(now time.Time)
}

// timerQueue holds all scheduled timers, earliest first.
type timerQueue struct {
	heap pqueue.Heap[*timer]
	seq  uint64
}

func newTimerQueue() timerQueue {
	return timerQueue{heap: pqueue.Heap[*timer]{
		Less:   timerBefore,
		SetPos: func(t *timer, pos int) { t.pos = pos },
	}}
}

func timerBefore(a, b *timer) bool {
	if c := a.at.Compare(b.at); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func newTimer(fire func(now time.Time)) timer {
	return timer{pos: -1, fire: fire}
}

func (q *timerQueue) schedule(t *timer, at time.Time) {
	q.seq++
	t.at, t.seq = at, q.seq
	if t.pos >= 0 {
		q.heap.Fix(t.pos)
		return
	}
	q.heap.Push(t)
}

func (q *timerQueue) clear(t *timer) {
	if t.pos >= 0 {
		q.heap.Remove(t.pos)
	}
}

func (q *timerQueue) fireDue(now time.Time) {
	for q.heap.Len() > 0 {
		t := q.heap.Top()
		if t.at.After(now) {
			return
		}
		q.heap.Remove(t.pos)
		t.fire(now)
	}
}

func (q *timerQueue) next() time.Time {
	if q.heap.Len() == 0 {
		return time.Time{}
	}
	return q.heap.Top().at
}
