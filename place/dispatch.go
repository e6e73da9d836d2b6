package place

import (
	"fmt"
	"math"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// minLearnedSamples is the number of samples from which a learned run time is reliable
// enough to refuse a job by its deadline.
const minLearnedSamples = priorRunSamples + 3

// dispatch grants slots until no changed service has both a task that may start
// and a server that can take it.
func (p *Placer) dispatch(now time.Time) {
	if !p.Ready(now) {
		return
	}
	for len(p.dirty) > 0 {
		i := p.nextService()
		s := p.dirty[i]
		if p.dispatchNext(s, now) {
			continue
		}
		s.dirty = false
		p.dirty[i] = p.dirty[len(p.dirty)-1]
		p.dirty = p.dirty[:len(p.dirty)-1]
	}
}

// nextService returns the index in p.dirty of the service with the lowest start tag.
func (p *Placer) nextService() int {
	best := 0
	for i, s := range p.dirty {
		if b := p.dirty[best]; s.startTag < b.startTag || s.startTag == b.startTag && s.name < b.name {
			best = i
		}
	}
	return best
}

// dispatchNext grants, holds or refuses the next task of a service. It returns false if
// there is none.
func (p *Placer) dispatchNext(s *service, now time.Time) bool {
	q := s.nextQueue()
	if q == nil {
		return false
	}
	tg := q.flows.Top().jobs.Top()
	if p.missesDeadline(tg, now) {
		p.refuse(tg.job, model.CodeDeadlineUnmet,
			"the tasks that still wait would end after the deadline, judged by their learned run time", now)
		return true
	}
	m := p.chooseMember(q, tg, now)
	if m == nil {
		q.held = true
		return true
	}
	p.grant(tg, m, now)
	return true
}

// nextQueue returns the queue whose first task is next, or nil if no queue has both a
// competing flow and a free server, or all of those are held.
func (s *service) nextQueue() *resourceQueue {
	var best *resourceQueue
	for _, q := range s.queues {
		if q.held || q.flows.Len() == 0 || q.candidates.Len() == 0 {
			continue
		}
		if best == nil || queueBefore(q, best) {
			best = q
		}
	}
	return best
}

func queueBefore(a, b *resourceQueue) bool {
	fa, fb := a.flows.Top(), b.flows.Top()
	if fa.flow != fb.flow {
		return a.flows.Less(fa, fb)
	}
	ga, gb := fa.jobs.Top(), fb.jobs.Top()
	if ga.job == gb.job {
		return ga.tasks[ga.next].index < gb.tasks[gb.next].index
	}
	return groupBefore(ga, gb)
}

// missesDeadline reports whether the next task of a task group would end after its
// deadline even on the fastest server.
func (p *Placer) missesDeadline(tg *taskGroup, now time.Time) bool {
	run := &tg.subflow.flow.run
	if tg.job.deadline.IsZero() || run.count < minLearnedSamples {
		return false
	}
	best := time.Duration(float64(run.mean) * tg.subflow.flow.service.speeds.fastest())
	return now.Add(best).After(tg.job.deadline)
}

// chooseMember returns the server for the next task of a task group, or nil if the task
// should wait for a faster one.
func (p *Placer) chooseMember(q *resourceQueue, tg *taskGroup, now time.Time) *member {
	m := q.candidates.Top().member
	if shouldAvoid(m, tg) {
		if cand, ok := q.candidates.Second(); ok && !shouldAvoid(cand.member, tg) {
			m = cand.member
		}
	}
	if p.holdForFaster(q, tg, m, now) {
		return nil
	}
	return m
}

// shouldAvoid reports whether the next task of a task group should go elsewhere if possible:
// it failed to start on this server before, or it would serve as a probe although its job
// isn't idempotent.
func shouldAvoid(m *member, tg *taskGroup) bool {
	return m.server == tg.tasks[tg.next].avoid || m.health.state == probing && tg.job.nonIdempotent
}

// holdForFaster reports whether the next task of a task group is expected to end sooner
// if it waits for a faster server than m. If so, it schedules the end of the hold. The tasks
// ahead of it wait for the same servers, so with a long queue the slow servers are used too.
// A queue is held no longer than the time that a faster server could save.
func (p *Placer) holdForFaster(q *resourceQueue, tg *taskGroup, m *member, now time.Time) bool {
	s := q.service
	if !p.cfg.hold || m.health.state == probing || m.speed.count < priorSpeedSamples+minHoldSamples {
		return false
	}
	slots, rate := s.speeds.slotsUpTo(m.class - holdClassGap)
	if slots == 0 {
		return false
	}
	faster := float64(slots) / rate
	gain := (m.factor() - faster) * tg.subflow.flow.run.average
	wait := s.expectedWait(rate, now)
	if wait >= gain || gain <= minHoldGain*tg.subflow.flow.run.average {
		return false
	}
	if q.heldAt.IsZero() {
		q.heldAt = now
	}
	until := q.heldAt.Add(time.Duration(gain * float64(time.Second)))
	if !now.Before(until) {
		return false
	}
	p.timers.schedule(&q.holdTimer, until)
	return true
}

// expectedWait estimates, in seconds, how long the competing tasks wait for servers of
// the given total rate, if later tasks arrive as in the recent past.
func (s *service) expectedWait(rate float64, now time.Time) float64 {
	spareRate := rate/s.run.average - s.demand.perSecond(now)
	if spareRate <= 0 {
		return math.Inf(1)
	}
	return float64(s.eligible) / spareRate
}

func lineOf(list string, line int, name string) string {
	return fmt.Sprintf("line %d of the list of %s (%q)", line, list, name)
}
