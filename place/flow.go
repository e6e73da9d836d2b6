package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/pqueue"
)

// flow holds the waiting tasks of one customer for one service. Flows share the
// slots of their service by start-time fair queueing.
type flow struct {
	customer     *customer
	service      *service
	startTag     float64 // virtual start time of its next task
	activeQueues int     // resource queues in which it competes
	subflows     []*subflow
	run          runTime
	outcomes     outcomeWindow // latest outcome of its tasks on each backend server
	backlog      backlog
}

// subflow holds the tasks of a flow that need the same resources.
type subflow struct {
	flow    *flow
	queue   *resourceQueue
	jobs    pqueue.Heap[*taskGroup]
	waiting int // tasks
	pos     int // in queue.flows, -1 when it doesn't compete
}

func (p *Placer) flow(c *customer, s *service) *flow {
	f, ok := c.flows[s.name]
	if !ok {
		f = &flow{customer: c, service: s}
		c.flows[s.name] = f
		c.flowList = append(c.flowList, f)
	}
	return f
}

func (f *flow) subflow(q *resourceQueue) *subflow {
	for _, sf := range f.subflows {
		if sf.queue == q {
			return sf
		}
	}
	sf := &subflow{flow: f, queue: q, pos: -1, jobs: newTaskGroups()}
	f.subflows = append(f.subflows, sf)
	q.subflows = append(q.subflows, sf)
	return sf
}

// updateActive lets a subflow compete while it has waiting tasks and the quotas of
// its customer allow a start, and removes it from the competition otherwise.
func (p *Placer) updateActive(sf *subflow) {
	want := sf.waiting > 0 && !sf.flow.customer.blocked
	switch {
	case want && sf.pos < 0:
		p.activate(sf)
	case !want && sf.pos >= 0:
		p.deactivate(sf)
	case want && !p.cfg.fair:
		sf.queue.flows.Fix(sf.pos)
	}
	if want {
		p.markDirty(sf.queue.service)
	}
}

func (p *Placer) activate(sf *subflow) {
	f, s := sf.flow, sf.flow.service
	if f.activeQueues == 0 {
		f.startTag = max(f.startTag, s.virtualTime)
		if s.weight == 0 {
			s.startTag = max(s.startTag, p.virtualTime)
		}
		s.weight += f.customer.weight()
	}
	f.activeQueues++
	s.eligible += sf.waiting
	sf.queue.flows.Push(sf)
}

func (p *Placer) deactivate(sf *subflow) {
	f := sf.flow
	f.service.eligible -= sf.waiting
	sf.queue.flows.Remove(sf.pos)
	f.activeQueues--
	if sf.queue.flows.Len() == 0 {
		sf.queue.heldAt = time.Time{}
	}
	if f.activeQueues == 0 {
		f.service.weight -= f.customer.weight()
	}
}

// charge advances the start tag of a flow by a cost in slot seconds.
func (p *Placer) charge(f *flow, cost float64) {
	f.startTag += cost / f.customer.weight()
	if !p.cfg.fair {
		return
	}
	for _, sf := range f.subflows {
		if sf.pos >= 0 {
			sf.queue.flows.Fix(sf.pos)
		}
	}
}

// withinShare reports whether the customer uses less of the service than its
// share: none of its tasks competes, and its start tag isn't ahead of the virtual time.
func (f *flow) withinShare() bool {
	return f.activeQueues == 0 && f.startTag <= f.service.virtualTime
}

// meanSeconds returns the expected run time of a task of the flow, on a server of mean speed.
func (f *flow) meanSeconds() float64 {
	return f.run.mean.Seconds()
}

// queuedDueBy returns how many waiting tasks of the flow are due by the given time.
func (f *flow) queuedDueBy(due, now time.Time) int {
	return f.backlog.dueBy(due, now)
}
