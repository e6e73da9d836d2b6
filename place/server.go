package place

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// leftServerRetention is how long the learned speed of a server is kept after it left.
const leftServerRetention = 10 * time.Minute

// server is the state of one backend server.
type server struct {
	info         model.BackendServer
	seq          int
	announced    bool
	epoch        int // number of restarts under the same name
	running      int
	memory       int64
	accelerators int
	members      []*member
	leaseTimer   timer
	leftAt       time.Time
}

func (p *Placer) server(name string) *server {
	s, ok := p.servers[name]
	if !ok {
		p.serverSeq++
		s = &server{seq: p.serverSeq, info: model.BackendServer{Name: name}}
		s.leaseTimer = newTimer(func(now time.Time) { p.expireLease(s, now) })
		p.servers[name] = s
	}
	return s
}

// fits reports whether a task that needs the given resources can start now.
func (s *server) fits(res resources) bool {
	return s.running < s.info.Slots &&
		s.memory+res.memory <= max(s.info.MemoryBytes, s.memory) &&
		s.accelerators+res.accelerators <= max(s.info.Accelerators, s.accelerators)
}

// couldRun reports whether a task that needs the given resources could start if
// the server were idle.
func (s *server) couldRun(res resources) bool {
	return s.info.Slots > 0 && res.memory <= s.info.MemoryBytes && res.accelerators <= s.info.Accelerators
}

// Announce processes the announcement of a backend server or its renewal.
func (p *Placer) Announce(b model.BackendServer, now time.Time) {
	p.purgeServers(now)
	s := p.server(b.Name)
	old, renewed := s.info, s.announced
	s.info, s.announced = b, true
	p.timers.schedule(&s.leaseTimer, now.Add(b.Lease))
	if renewed && sameAnnouncement(&old, &b) {
		return
	}
	if old.Address != "" && old.Address != b.Address {
		p.resetAfterRestart(s)
	}
	for _, name := range b.Services {
		p.member(s, name, now).offered = true
	}
	for _, m := range s.members {
		m.offered = slices.Contains(b.Services, m.service.name)
	}
	p.refreshServer(s, now)
	p.dispatch(now)
}

func sameAnnouncement(a, b *model.BackendServer) bool {
	return a.Address == b.Address && a.Slots == b.Slots && a.MemoryBytes == b.MemoryBytes &&
		a.Accelerators == b.Accelerators && slices.Equal(a.Services, b.Services)
}

// resetAfterRestart clears the health of the former process under the same name.
func (p *Placer) resetAfterRestart(s *server) {
	s.epoch++
	for _, m := range s.members {
		p.resetHealth(m)
		m.health.hasSucceeded = false
	}
}

// refreshServer updates everything that depends on the announcement of a server.
func (p *Placer) refreshServer(s *server, now time.Time) {
	for _, m := range s.members {
		m.countAnnounced()
		p.refresh(m)
		for _, cand := range m.candidates {
			p.updateCapable(cand, now)
		}
	}
}

// Leave stops new grants to a backend server. Its outstanding grants keep their
// slots until they complete or a bounded time has passed.
func (p *Placer) Leave(name string, now time.Time) {
	s, ok := p.servers[name]
	if !ok || !s.announced {
		return
	}
	s.announced, s.leftAt = false, now
	p.timers.clear(&s.leaseTimer)
	p.refreshServer(s, now)
	p.dispatch(now)
}

func (p *Placer) expireLease(s *server, now time.Time) {
	p.event(Event{Kind: Lapsed, Cause: CauseLease, BackendServer: s.info.Name})
	s.announced, s.leftAt = false, now
	p.refreshServer(s, now)
}

// purgeServers removes servers that left at least leftServerRetention ago.
func (p *Placer) purgeServers(now time.Time) {
	if now.Sub(p.purgedAt) < leftServerRetention {
		return
	}
	p.purgedAt = now
	for name, s := range p.servers {
		if s.announced || s.running > 0 || now.Sub(s.leftAt) < leftServerRetention {
			continue
		}
		for _, m := range s.members {
			p.removeMember(m)
		}
		delete(p.servers, name)
	}
}

// reserve reserves a slot and resources of a server for a task; release frees them.
func (p *Placer) reserve(s *server, res resources) {
	s.running++
	s.memory += res.memory
	s.accelerators += res.accelerators
	for _, m := range s.members {
		p.reindexAll(m)
	}
}

func (p *Placer) release(s *server, res resources) {
	s.running--
	s.memory -= res.memory
	s.accelerators -= res.accelerators
	for _, m := range s.members {
		p.reindexAll(m)
	}
}
