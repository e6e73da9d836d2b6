package place

import "time"

const (
	overdueFactor = 8.0                    // multiple of the expected run time after which a task counts as hung
	overdueMargin = 500 * time.Millisecond // added to that time
	worstFactor   = 4                      // multiple of the longest run time after which an orphaned task has surely ended
)

// grantRecord is the state of one outstanding grant.
type grantRecord struct {
	Grant
	job         *job
	flow        *flow
	server      *server
	member      *member
	resources   resources
	grantedAt   time.Time
	charged     float64 // slot seconds charged in advance
	serverEpoch int     // epoch of the server at the time of the grant
	orphaned    bool    // its entry host was lost
	overdue     bool    // counted as hung
	checkTimer  timer
}

func (p *Placer) newGrantRecord() *grantRecord {
	if n := len(p.freeRecords); n > 0 {
		g := p.freeRecords[n-1]
		p.freeRecords = p.freeRecords[:n-1]
		return g
	}
	g := &grantRecord{}
	g.checkTimer = newTimer(func(now time.Time) { p.checkGrant(g, now) })
	return g
}

// grant assigns a slot of a member to the next task of a task group.
func (p *Placer) grant(tg *taskGroup, m *member, now time.Time) {
	j, f := tg.job, tg.subflow.flow
	t := p.take(tg)
	g := p.newGrantRecord()
	g.Grant = Grant{
		ID: p.nextGrant, Job: j.name, Task: t.index, Customer: j.customer.name,
		Host: j.host.name, Incarnation: j.host.incarnation,
		BackendServer: m.server.info.Name, Address: m.server.info.Address, Service: m.service.name,
		Connections: m.server.info.Connections,
		Expected:    time.Duration(float64(f.run.mean) * m.factor()),
		MemoryBytes: tg.subflow.queue.resources.memory, Accelerators: tg.subflow.queue.resources.accelerators,
		Probe: m.health.state == probing,
	}
	p.nextGrant++
	g.charged = g.Expected.Seconds()
	if g.Probe {
		m.health.probeOutstanding = true
		p.event(Event{Kind: Probed, Cause: m.health.cause, BackendServer: g.BackendServer, Service: g.Service})
	}
	p.advanceClocks(f, tg.subflow.queue, g.charged)
	p.recordGrant(g, j, f, m, now)
	p.creditRetryBudget(j.customer)
	p.updateActive(tg.subflow)
	p.out.Grants = append(p.out.Grants, g.Grant)
}

// advanceClocks advances the virtual times to the start tags of the flow that is served
// and of its service, and charges both for the task.
func (p *Placer) advanceClocks(f *flow, q *resourceQueue, cost float64) {
	s := f.service
	q.heldAt = time.Time{}
	s.virtualTime = max(s.virtualTime, f.startTag)
	p.virtualTime = max(p.virtualTime, s.startTag)
	s.startTag += cost / max(s.weight, 1)
	p.charge(f, cost)
}

// recordGrant adds an outstanding grant to all counts, quotas and reservations.
func (p *Placer) recordGrant(g *grantRecord, j *job, f *flow, m *member, now time.Time) {
	g.job, g.flow, g.server, g.member = j, f, m.server, m
	g.resources = resources{g.MemoryBytes, g.Accelerators}
	g.grantedAt, g.serverEpoch = now, m.server.epoch
	g.orphaned, g.overdue = false, false
	p.grants[g.ID] = g
	j.grants = append(j.grants, g)
	j.granted++
	j.maybeRun++
	c := j.customer
	c.running++
	f.service.running++
	f.service.demand.add(now)
	c.granted++
	c.starts.add(now)
	p.reserve(m.server, g.resources)
	p.updateQuota(c, now)
	p.timers.schedule(&g.checkTimer, now.Add(overdueMargin+time.Duration(overdueFactor*float64(g.Expected))))
}

// removeGrant removes a grant from all counts and reservations, and corrects the charge of
// its flow to the slot time that was used.
func (p *Placer) removeGrant(g *grantRecord, now time.Time) {
	delete(p.grants, g.ID)
	p.timers.clear(&g.checkTimer)
	j := g.job
	for i, o := range j.grants {
		if o == g {
			last := len(j.grants) - 1
			j.grants[i] = j.grants[last]
			j.grants[last] = nil
			j.grants = j.grants[:last]
			break
		}
	}
	j.customer.running--
	g.flow.service.running--
	p.charge(g.flow, now.Sub(g.grantedAt).Seconds()-g.charged)
	p.release(g.server, g.resources)
	p.updateQuota(j.customer, now)
	p.reorder(j)
}

// recycleRecord keeps the record of a removed grant for reuse.
func (p *Placer) recycleRecord(g *grantRecord) {
	g.job, g.flow, g.server, g.member = nil, nil, nil, nil
	p.freeRecords = append(p.freeRecords, g)
}

// Complete processes the end of a granted task. Grants that aren't outstanding are
// ignored, so a repeated report has no effect.
func (p *Placer) Complete(d Completion, now time.Time) {
	g, ok := p.grants[d.Grant]
	if !ok {
		return
	}
	switch d.Result {
	case Withdrawn:
		g.job.maybeRun--
	case NotStarted:
		g.job.maybeRun--
		g.job.failedTask, g.job.failedOn = g.Task, g.server
	}
	if d.Result == Succeeded {
		p.learnSpeed(g, d.RunTime)
		p.ejectIfSlow(g.member, now)
	}
	if d.Result != Withdrawn {
		p.recordOutcome(g, d.Result, now)
	}
	p.removeGrant(g, now)
	p.removeIdle(g.job, d.Result != Succeeded, now)
	p.recycleRecord(g)
	p.dispatch(now)
}

// checkGrant handles a grant that has been outstanding for long: it counts as hung against
// its server, and is released once nobody can report its end and its bounded time has passed.
func (p *Placer) checkGrant(g *grantRecord, now time.Time) {
	if !g.overdue {
		g.overdue = true
		p.recordOutcome(g, Unknown, now)
		g.Probe = false
	}
	releaseAt := g.grantedAt.Add(max(p.cfg.minOrphanTime, worstFactor*g.flow.run.worst))
	orphaned := g.orphaned || !g.server.announced || g.serverEpoch != g.server.epoch
	if !orphaned || now.Before(releaseAt) {
		p.timers.schedule(&g.checkTimer, p.nextCheck(releaseAt, now))
		return
	}
	p.releaseOrphan(g, now)
}

func (p *Placer) nextCheck(releaseAt, now time.Time) time.Time {
	if now.Before(releaseAt) {
		return releaseAt
	}
	return now.Add(p.cfg.minOrphanTime)
}

func (p *Placer) releaseOrphan(g *grantRecord, now time.Time) {
	cause := CauseLeft
	if g.orphaned {
		cause = CauseHostLost
	}
	p.event(Event{Kind: Released, Cause: cause, BackendServer: g.BackendServer, Service: g.Service, Grant: g.ID})
	if g.Probe {
		p.endProbe(g, Unknown, 0, now)
	}
	p.removeGrant(g, now)
	p.removeIdle(g.job, false, now)
	p.recycleRecord(g)
}
