package place

import (
	"math/bits"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/pqueue"
)

// resources is what a task needs besides a slot.
type resources struct {
	memory       int64 // bytes
	accelerators int
}

func resourcesOf(t Shape) resources { return resources{t.MemoryBytes, t.Accelerators} }

// roundedUp returns the resources with the memory rounded up to a power of two.
func (res resources) roundedUp() resources {
	if res.memory > 0 {
		res.memory = 1 << bits.Len64(uint64(res.memory-1))
	}
	return res
}

// service holds the waiting tasks of one service and the backend servers that run them.
type service struct {
	name        string
	members     []*member
	queues      []*resourceQueue
	virtualTime float64 // of fair queueing between its flows
	startTag    float64 // virtual start time of its next task among the services
	weight      float64 // sum over the competing flows
	waiting     int     // tasks
	eligible    int     // of those, the ones in competing subflows
	run         runTime
	demand      rateMeter // rate of starts
	speeds      speedTable
	logSpeedSum float64 // sum over the members
	announced   int     // announced members
	running     int     // outstanding grants
	dirty       bool    // listed in Placer.dirty
}

// resourceQueue holds the waiting tasks of a service that need the same resources,
// and the backend servers that can take one of them now.
type resourceQueue struct {
	service       *service
	resources     resources
	flows         pqueue.Heap[*subflow]
	candidates    pqueue.Heap[*candidate]
	subflows      []*subflow // all of them, competing or not
	capable       int        // announced servers that could run its tasks when idle
	held          bool       // its next task waits for a faster server than the free ones
	heldAt        time.Time  // start of the hold, zero after a grant or once no flow competes
	holdTimer     timer      // when the held task takes a slower server
	noServerTimer timer      // when its tasks are refused for lack of a server
}

// candidate is the entry of a member in the server order of one queue.
type candidate struct {
	member  *member
	queue   *resourceQueue
	pos     int  // -1 when the member can't take a task
	capable bool // counted in queue.capable
}

func (p *Placer) service(name string) *service {
	s, ok := p.services[name]
	if !ok {
		s = &service{name: name}
		p.services[name] = s
	}
	return s
}

func (s *service) findQueue(res resources) *resourceQueue {
	for _, q := range s.queues {
		if q.resources == res {
			return q
		}
	}
	return nil
}

func (p *Placer) resourceQueue(s *service, res resources, now time.Time) *resourceQueue {
	if q := s.findQueue(res); q != nil {
		return q
	}
	p.pruneQueues(s)
	if rounded := res.roundedUp(); len(s.queues) >= maxQueues && rounded != res && s.canRun(rounded) {
		return p.resourceQueue(s, rounded, now)
	}
	q := &resourceQueue{service: s, resources: res}
	q.flows = pqueue.Heap[*subflow]{
		Less:   p.flowOrder(),
		SetPos: func(sf *subflow, pos int) { sf.pos = pos },
	}
	q.candidates = pqueue.Heap[*candidate]{
		Less:   candidateBefore,
		SetPos: func(c *candidate, pos int) { c.pos = pos },
	}
	q.holdTimer = newTimer(func(time.Time) { p.markDirty(s) })
	q.noServerTimer = newTimer(func(now time.Time) { p.refuseQueue(q, now) })
	s.queues = append(s.queues, q)
	for _, m := range s.members {
		p.addCandidate(m, q, now)
	}
	return q
}

func (p *Placer) flowOrder() func(a, b *subflow) bool {
	if !p.cfg.fair {
		return func(a, b *subflow) bool { return a.jobs.Top().job.seq < b.jobs.Top().job.seq }
	}
	return flowBefore
}

func flowBefore(a, b *subflow) bool {
	if a.flow.startTag != b.flow.startTag {
		return a.flow.startTag < b.flow.startTag
	}
	return a.flow.customer.seq < b.flow.customer.seq
}

// maxQueues is the number of resource queues of a service from which unused queues are
// removed and declared memory is rounded up.
const maxQueues = 32

func (p *Placer) pruneQueues(s *service) {
	if len(s.queues) < maxQueues {
		return
	}
	kept := s.queues[:0]
	for _, q := range s.queues {
		if q.hasWaiting() {
			kept = append(kept, q)
			continue
		}
		p.timers.clear(&q.holdTimer)
		p.timers.clear(&q.noServerTimer)
		q.detach()
	}
	clear(s.queues[len(kept):])
	s.queues = kept
}

func (q *resourceQueue) hasWaiting() bool {
	for _, sf := range q.subflows {
		if sf.waiting > 0 {
			return true
		}
	}
	return false
}

// detach removes the references to a queue from its flows and members.
func (q *resourceQueue) detach() {
	for _, sf := range q.subflows {
		sf.flow.subflows = slices.DeleteFunc(sf.flow.subflows, func(o *subflow) bool { return o == sf })
	}
	for _, m := range q.service.members {
		m.candidates = slices.DeleteFunc(m.candidates, func(c *candidate) bool { return c.queue == q })
	}
}

// markDirty lists a service for the next dispatch and ends the holds of its queues.
func (p *Placer) markDirty(s *service) {
	if s.dirty {
		return
	}
	s.dirty = true
	for _, q := range s.queues {
		q.held = false
	}
	p.dirty = append(p.dirty, s)
}

// updateNoServerTimer starts the timeout after which the tasks of a queue are refused,
// and stops it when an announced server can run them.
func (p *Placer) updateNoServerTimer(q *resourceQueue, now time.Time) {
	switch {
	case q.capable > 0:
		p.timers.clear(&q.noServerTimer)
	case q.noServerTimer.pos < 0 && q.hasWaiting():
		p.timers.schedule(&q.noServerTimer, now.Add(p.cfg.noServerTimeout))
	}
}

func (p *Placer) refuseQueue(q *resourceQueue, now time.Time) {
	for _, sf := range q.subflows {
		for sf.jobs.Len() > 0 {
			p.refuse(sf.jobs.Top().job, model.CodeNoBackendServer, "no backend server for service "+
				q.service.name+" that can run the task is announced any more", now)
		}
	}
}
