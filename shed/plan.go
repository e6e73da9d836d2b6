package shed

import (
	"math"
	"time"

	"dogwoodrock.example/dogwoodrock/pqueue"
)

// LateValue is what an answer after the objective is worth, relative to one in time.
const LateValue = 0.2

// priorityFactor is how many times as much a job is worth as one of the next lower
// priority. The routes state an order only; a factor of two keeps the work of a job, which
// differs by a factor of ten between routes, in play.
const priorityFactor = 2

// maxPriority bounds the priorities that are told apart.
const maxPriority = 16

// Weight returns the value of an answer in time to a job of a priority, 0 being the highest.
func Weight(priority int) float64 {
	return math.Pow(priorityFactor, -float64(min(max(priority, 0), maxPriority)))
}

// classesPerOctave is the number of classes for a factor of two in value for work. Declared
// run times are off by up to 0.4, which is about one class.
const classesPerOctave = 2

// Class returns the class of value for work. Jobs of one class count as equals.
func Class(weight, work float64) int {
	return int(math.Floor(classesPerOctave * math.Log2(weight/max(work, 1e-6))))
}

// Verdict is what a plan says about a waiting job.
type Verdict int

// The verdicts.
const (
	Keep     Verdict = iota // it keeps its place
	Yield                   // it waits behind those that can be in time
	Displace                // it is to be refused now
)

// Entry is a waiting job. Times count from the present.
type Entry struct {
	Kind     string
	Class    int
	Priority int  // 0 is the highest
	Large    bool // belongs to the largest tenth of its kind
	Age      time.Duration

	Work  float64       // run time of the tasks that wait, in seconds of a core
	Cores float64       // that these tasks need at the same time
	Due   time.Duration // latest start for an answer in time
	Last  time.Duration // latest start for an answer that is of use

	// Margin is by how much the expected start may exceed Due before a job is taken out,
	// and by how much it has to be earlier until one that yields gets its place back.
	Margin time.Duration

	Fixed   bool // it is never displaced: a task may have started
	Strict  bool // another placer may serve it in time
	Late    bool // it is too late to be in time
	Yielded bool // by the plan before

	Verdict Verdict
	Start   time.Duration // expected start of its last task
}

// Capacity is what the servers can take.
type Capacity struct {
	Rate float64 // run time that they complete per second, in seconds of a core
	Free float64 // cores that are free for further tasks
}

// wait returns when the last of some tasks starts.
func (c Capacity) wait(work, cores float64) time.Duration {
	if cores <= c.Free || c.Rate <= 0 {
		return 0 // a placer without servers learns of some soon
	}
	return time.Duration(work / c.Rate * float64(time.Second))
}

// Result sums up a plan.
type Result struct {
	Yielding  int
	Displaced int
	Class     int           // highest class that was taken out
	Backlog   time.Duration // time in which the servers complete the work that is kept
}

// Plan sets the verdicts on the entries, which are in the order in which they are served.
func (d *Decider) Plan(queue []Entry, c Capacity) Result {
	for _, k := range d.kinds {
		k.taken, k.largeTaken = 0, 0
	}
	p := plan{decider: d, queue: queue, capacity: c, highest: math.MinInt}
	for i := range queue {
		e := &queue[i]
		e.Verdict = Keep
		if e.Late {
			e.Verdict = Yield
		}
	}
	p.pass(Keep, Yield, (*Entry).limit)
	for i := range queue {
		if e := &queue[i]; e.Verdict == Yield && e.Strict && !e.Fixed && e.Due > 0 {
			e.Verdict = Displace // it may be in time elsewhere
		}
	}
	p.pass(Yield, Displace, func(e *Entry) time.Duration { return e.Last })
	d.commit(queue)
	r := Result{Class: p.highest, Backlog: c.wait(p.work, p.cores)}
	for i := range queue {
		switch queue[i].Verdict {
		case Yield:
			r.Yielding++
		case Displace:
			r.Displaced++
		}
	}
	return r
}

// limit returns the latest expected start with which a job keeps its place.
func (e *Entry) limit() time.Duration {
	if e.Yielded {
		return max(e.Due-e.Margin, 0)
	}
	return max(e.Due+e.Margin, 0)
}

// plan is the state of one Plan.
type plan struct {
	decider  *Decider
	queue    []Entry
	capacity Capacity
	work     float64 // of the entries that keep their place so far
	cores    float64
	highest  int

	passed  []int // entries of this pass that may be taken out, until the first one is
	heap    pqueue.Heap[int]
	taking  bool
	spared  []int // taken from the heap, but guaranteed
	verdict Verdict
}

// pass goes through the entries of one verdict and gives those that would start later than
// their limit, or others in place of them, the next one.
func (p *plan) pass(from, to Verdict, limit func(*Entry) time.Duration) {
	p.passed, p.spared, p.taking, p.verdict = p.passed[:0], nil, false, from
	p.heap = pqueue.Heap[int]{Less: p.cheaper, SetPos: func(int, int) {}}
	for i := range p.queue {
		e := &p.queue[i]
		if e.Verdict != from {
			continue
		}
		p.work += e.Work
		p.cores += e.Cores
		p.add(i)
		e.Start = p.capacity.wait(p.work, p.cores)
		for l := limit(e); e.Start > l && e.Verdict == from; e.Start = p.capacity.wait(p.work, p.cores) {
			v, ok := p.take()
			if !ok {
				break
			}
			taken := &p.queue[v]
			taken.Verdict = to
			p.work -= taken.Work
			p.cores -= taken.Cores
			p.highest = max(p.highest, taken.Class)
		}
	}
}

// add makes an entry available to take. The heap is built when the first one is taken, since
// none is while the capacity suffices.
func (p *plan) add(i int) {
	switch {
	case p.verdict == Yield && p.queue[i].Fixed: // a started job yields, but isn't displaced
	case p.taking:
		p.heap.Push(i)
	default:
		p.passed = append(p.passed, i)
	}
}

// take returns the entry whose loss costs least and whose kind has more than it is
// guaranteed, or else the cheapest of the guaranteed ones.
func (p *plan) take() (i int, ok bool) {
	if !p.taking {
		p.taking = true
		for _, i := range p.passed {
			p.heap.Push(i)
		}
	}
	for p.heap.Len() > 0 {
		i = p.heap.Top()
		p.heap.Remove(0)
		e := &p.queue[i]
		if e.Yielded || p.verdict == Yield || p.decider.kind(e.Kind).take(e.Large) {
			return i, true // those that yield are counted, and beyond what their kinds are guaranteed
		}
		p.spared = append(p.spared, i)
	}
	if len(p.spared) == 0 {
		return 0, false
	}
	i, p.spared = p.spared[0], p.spared[1:]
	return i, true
}

// cheaper reports whether the loss of entry a costs less for the capacity that it frees. Of
// one class that of the lower priority goes first, then the one that arrived last.
func (p *plan) cheaper(a, b int) bool {
	x, y := &p.queue[a], &p.queue[b]
	switch {
	case x.Class != y.Class:
		return x.Class < y.Class
	case x.Priority != y.Priority:
		return x.Priority > y.Priority
	case x.Age != y.Age:
		return x.Age < y.Age
	default:
		return a > b
	}
}
