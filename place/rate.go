package place

import "time"

const (
	rateWindow       = time.Second
	startGranularity = time.Millisecond // starts within this time share an entry
	minEntries       = 8
)

// startLog counts the starts of the last second. Starts that share an entry expire with
// the last of them, so the count is never too low: no window of one second holds more
// starts than the limit.
type startLog struct {
	entries []startEntry // ring buffer, length a power of two, oldest at head
	head    int
	length  int
	starts  int
}

type startEntry struct {
	first time.Time
	last  time.Time
	n     int
}

// count returns the number of starts within the second before now.
func (l *startLog) count(now time.Time) int {
	for l.length > 0 {
		e := &l.entries[l.head]
		if now.Sub(e.last) < rateWindow {
			break
		}
		l.starts -= e.n
		l.head = (l.head + 1) & (len(l.entries) - 1)
		l.length--
	}
	return l.starts
}

// oldestExpiry returns when the oldest starts leave the window. The log must not be empty.
func (l *startLog) oldestExpiry() time.Time {
	return l.entries[l.head].last.Add(rateWindow)
}

func (l *startLog) add(now time.Time) {
	l.starts++
	if l.length > 0 {
		e := &l.entries[(l.head+l.length-1)&(len(l.entries)-1)]
		if now.Sub(e.first) < startGranularity {
			e.last = now
			e.n++
			return
		}
	}
	if l.length == len(l.entries) {
		l.grow()
	}
	l.entries[(l.head+l.length)&(len(l.entries)-1)] = startEntry{first: now, last: now, n: 1}
	l.length++
}

func (l *startLog) grow() {
	bigger := make([]startEntry, max(minEntries, 2*len(l.entries)))
	for i := range l.length {
		bigger[i] = l.entries[(l.head+i)&(len(l.entries)-1)]
	}
	l.entries, l.head = bigger, 0
}
