package place

import (
	"slices"
	"time"
)

// Restore records the grants that an entry host reports as outstanding after a
// change of primary. Grants that are already recorded are left unchanged.
func (p *Placer) Restore(host string, incarnation uint64, grants []Grant, now time.Time) {
	for _, g := range grants {
		if _, ok := p.grants[g.ID]; !ok {
			g.Host, g.Incarnation = host, incarnation
			p.restoreGrant(g, now)
		}
	}
	delete(p.pendingHosts, host)
	p.dispatch(now)
}

func (p *Placer) restoreGrant(g Grant, now time.Time) {
	s := p.server(g.BackendServer)
	if s.info.Address == "" {
		s.info.Address = g.Address
	}
	m := p.member(s, g.Service, now)
	c := p.customer(g.Customer)
	j := p.jobs[g.Job]
	if j == nil {
		j = p.newJob(g.Job, hostKey{g.Host, g.Incarnation}, c, time.Time{}, now)
	}
	j.size++
	p.dequeue(j, g.Task)
	f := p.flow(c, m.service)
	f.run.setPrior(g.Expected)
	m.service.run.setPrior(g.Expected)
	rec := p.newGrantRecord()
	g.Probe = false
	rec.Grant, rec.charged = g, 0
	p.recordGrant(rec, j, f, m, now)
	if g.Address != s.info.Address {
		rec.serverEpoch--
	}
	p.reorder(j)
	p.nextGrant = max(p.nextGrant, g.ID+1)
}

// dequeue removes a waiting task that is found to be running.
func (p *Placer) dequeue(j *job, index int) {
	for _, tg := range j.groups {
		i := slices.IndexFunc(tg.tasks[tg.next:], func(t waitingTask) bool { return t.index == index })
		if i < 0 {
			continue
		}
		tg.tasks = slices.Delete(tg.tasks, tg.next+i, tg.next+i+1)
		p.countWaiting(tg, -1)
		if tg.waiting() == 0 {
			tg.tasks, tg.next = tg.tasks[:0], 0
			tg.subflow.jobs.Remove(tg.pos)
		}
		p.updateActive(tg.subflow)
		return
	}
}
