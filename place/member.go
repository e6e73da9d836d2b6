package place

import (
	"slices"
	"time"
)

const (
	suspectRank = 1000  // added to the rank of servers that fail but may not be ejected
	probeRank   = -1000 // rank of servers that are due for a probe
)

// member is a backend server in its role for one service.
type member struct {
	server           *server
	service          *service
	offered          bool // the service is in the latest announcement
	candidates       []*candidate
	speed            estimate // logarithm of its run times relative to those of its peers
	class            int
	rank             int  // order of preference, lowest first
	countedSlots     int  // slots counted in service.speeds
	countedAnnounced bool // counted in service.announced
	health           health
}

func (s *server) member(name string) *member {
	for _, m := range s.members {
		if m.service.name == name {
			return m
		}
	}
	return nil
}

func (p *Placer) member(s *server, name string, now time.Time) *member {
	if m := s.member(name); m != nil {
		return m
	}
	svc := p.service(name)
	m := &member{server: s, service: svc, class: middleClass}
	m.health.probeTimer = newTimer(func(now time.Time) { p.beginProbe(m, now) })
	m.health.backoffTimer = newTimer(func(time.Time) { p.endBackoff(m) })
	m.speed.count = priorSpeedSamples
	if n := len(svc.members); n > 0 {
		m.speed.log = svc.logSpeedSum / float64(n)
	}
	m.class = classOf(m.speed.log)
	svc.logSpeedSum += m.speed.log
	svc.members = append(svc.members, m)
	s.members = append(s.members, m)
	for _, q := range svc.queues {
		p.addCandidate(m, q, now)
	}
	return m
}

// addCandidate makes a member a candidate for the tasks of a queue.
func (p *Placer) addCandidate(m *member, q *resourceQueue, now time.Time) {
	cand := &candidate{member: m, queue: q, pos: -1}
	m.candidates = append(m.candidates, cand)
	p.updateCapable(cand, now)
	p.reindex(cand)
}

// removeMember removes a member from its service.
func (p *Placer) removeMember(m *member) {
	s := m.service
	p.timers.clear(&m.health.probeTimer)
	p.timers.clear(&m.health.backoffTimer)
	s.logSpeedSum -= m.speed.log
	s.members = slices.DeleteFunc(s.members, func(o *member) bool { return o == m })
}

func (m *member) announced() bool { return m.server.announced && m.offered }

func (m *member) usable() bool {
	return m.announced() && m.health.allows()
}

// factor returns the learned run time relative to a server of mean speed.
func (m *member) factor() float64 { return classFactors[m.class] }

// candidateBefore orders servers by rank, then by the share of their slots in
// use, then by order of first announcement.
func candidateBefore(a, b *candidate) bool {
	ma, mb := a.member, b.member
	if ma.rank != mb.rank {
		return ma.rank < mb.rank
	}
	sa, sb := ma.server, mb.server
	if la, lb := sa.running*sb.info.Slots, sb.running*sa.info.Slots; la != lb {
		return la < lb
	}
	return sa.seq < sb.seq
}

// updateCapable updates whether a member counts as capable of running the tasks of a queue.
func (p *Placer) updateCapable(cand *candidate, now time.Time) {
	capable := cand.member.announced() && cand.member.server.couldRun(cand.queue.resources)
	if capable == cand.capable {
		return
	}
	cand.capable = capable
	if capable {
		cand.queue.capable++
	} else {
		cand.queue.capable--
	}
	p.updateNoServerTimer(cand.queue, now)
}

// countAnnounced updates whether a member counts as announced.
func (m *member) countAnnounced() {
	if m.countedAnnounced == m.announced() {
		return
	}
	m.countedAnnounced = !m.countedAnnounced
	if m.countedAnnounced {
		m.service.announced++
	} else {
		m.service.announced--
	}
}

// reindex adds a member to the server order of a queue, moves it, or removes it.
func (p *Placer) reindex(cand *candidate) {
	canTake := cand.member.usable() && cand.member.server.fits(cand.queue.resources)
	switch {
	case canTake && cand.pos < 0:
		cand.queue.candidates.Push(cand)
	case canTake:
		cand.queue.candidates.Fix(cand.pos)
	case cand.pos >= 0:
		cand.queue.candidates.Remove(cand.pos)
	}
}

// refresh updates the speed class, the counted slots and the rank of a member.
func (p *Placer) refresh(m *member) {
	s := m.service
	s.speeds.slots[m.class] -= m.countedSlots
	m.class = classOf(m.speed.log)
	m.countedSlots = 0
	if m.announced() && m.health.state == healthy {
		m.countedSlots = m.server.info.Slots
	}
	s.speeds.slots[m.class] += m.countedSlots
	m.rank = m.class
	switch {
	case m.health.state == probing:
		m.rank = probeRank
	case p.cfg.eject && m.health.suspect():
		m.rank += suspectRank
	}
	p.reindexAll(m)
}

func (p *Placer) reindexAll(m *member) {
	for _, cand := range m.candidates {
		p.reindex(cand)
	}
	if m.service.eligible > 0 {
		p.markDirty(m.service)
	}
}

// learnSpeed updates the learned run times and the speed of a member with a completed task.
func (p *Placer) learnSpeed(g *grantRecord, ran time.Duration) {
	m := g.member
	before := m.speed.log
	g.flow.run.learn(ran, &m.speed)
	m.service.run.learn(ran, &estimate{log: before})
	if !p.cfg.learn {
		m.speed = estimate{count: m.speed.count}
	}
	m.service.logSpeedSum += m.speed.log - before
	if classOf(m.speed.log) != m.class {
		p.refresh(m)
	}
}
