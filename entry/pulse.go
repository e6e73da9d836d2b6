package entry

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/runs"
)

// pulse asks the placers that this host needs whether they live.
func (n *Node) pulse(now time.Time) {
	n.pulseAt = now.Add(pulseInterval)
	n.checkCallers(now)
	needed := map[string]bool{}
	own, ok := n.placements[n.DataCentre]
	for _, p := range n.placements {
		// Jobs go to other data centres when the own one has no placer.
		if p.DataCentre == n.DataCentre || !ok || n.placers[own.Host].lost() {
			needed[p.Host] = true
		}
	}
	for _, j := range n.jobs {
		if !j.parked {
			needed[j.placement.Host] = true
		}
	}
	for host, s := range n.placers {
		if !needed[host] {
			s.asked = time.Time{} // what is lost now isn't asked for again
		}
	}
	for host := range needed {
		n.pulseTo(host, now)
	}
}

// pulseTo sends one pulse.
func (n *Node) pulseTo(host string, now time.Time) {
	n.pulses++
	m := msgs.Pulse{
		Host: n.Self, DataCentre: n.DataCentre, Incarnation: n.Incarnation, Number: n.pulses,
		Epoch: n.tableEpoch, Servers: n.servers, Oldest: n.oldest(host),
	}
	for _, w := range n.withdrawn[host] {
		m.Withdrawn = append(m.Withdrawn, w.job)
	}
	if s := n.placers[host]; s != nil {
		n.ask(host, s, now)
		s.note(m.Number, now)
		if s.stamp > 0 {
			m.Placing, m.Stamp = s.epoch, s.stamp
		}
	}
	_ = n.Send(host, msgs.ServicePlacer, m) // asked again soon
}

// note keeps when a pulse was sent, as long as a table may be dated by it.
func (s *placerState) note(number uint64, now time.Time) {
	s.pulses = append(s.pulses, sentPulse{number: number, at: now})
	s.pulses = slices.DeleteFunc(s.pulses, func(p sentPulse) bool { return now.Sub(p.at) > runs.TableValidity })
}

// sentAt returns when a pulse was sent, a zero time when that isn't known.
func (s *placerState) sentAt(number uint64) time.Time {
	for _, p := range s.pulses {
		if p.number == number {
			return p.at
		}
	}
	return time.Time{}
}

// oldest returns the number of the earliest hand-over to a host that this one
// waits for, or that of the next one while it waits for none.
func (n *Node) oldest(host string) uint64 {
	least := n.handed + 1
	for _, j := range n.jobs {
		if !j.parked && j.placement.Host == host {
			least = min(least, j.hand.Hand)
		}
	}
	return least
}

// forget drops the withdrawals that pulses need not list any more.
func (n *Node) forget(now time.Time) {
	for host, list := range n.withdrawn {
		oldest := n.oldest(host)
		list = slices.DeleteFunc(list, func(w withdrawn) bool { return w.job.Hand < oldest && now.Sub(w.at) > withdrawMemory })
		n.withdrawn[host] = list
		if len(list) == 0 {
			delete(n.withdrawn, host)
		}
	}
}

// ask notes that a placer is asked, and whether it has left that unanswered for
// too long.
func (n *Node) ask(host string, s *placerState, now time.Time) {
	if s.asked.IsZero() {
		s.asked = now
	}
	if !s.silent && now.Sub(s.asked) >= placerSilence {
		s.silent = true
		n.Hooks.Placer(false, host, s.epoch)
	}
}

func (n *Node) pulsed(m msgs.Pulsed, now time.Time) {
	s := n.placers[m.Host]
	if s == nil {
		return
	}
	idle := m.Epoch == 0 && (m.Idle >= s.epoch || m.Incarnation != s.incarnation)
	if !idle && m.Epoch != s.epoch {
		return
	}
	s.asked = time.Time{}
	if s.silent {
		s.silent = false
		n.Hooks.Placer(true, m.Host, s.epoch)
	}
	if idle {
		n.idle(m.Host, s, now)
		return
	}
	s.idle = false // the word that it is was one of a process before, and late
	s.stamp = max(s.stamp, m.Stamp)
	n.handParked(m.Host, now)
	pulsed := n.placements[n.DataCentre].Host == m.Host && n.learnTable(m, s.sentAt(m.Answers), now)
	if m.Ask && !pulsed {
		n.checkCallers(now)
		n.pulseTo(m.Host, now)
	}
}

// idle notes that the host of a placer doesn't place.
func (n *Node) idle(host string, s *placerState, now time.Time) {
	was := s.idle
	s.idle = true
	if own := n.placements[n.DataCentre]; !was && own.Host == host {
		n.pulse(now) // whether others place
	}
}

// handParked gives the jobs that wait for a placer to one that has answered:
// which host was placed last may have been told by a core that is behind.
func (n *Node) handParked(host string, now time.Time) {
	for _, j := range n.jobs {
		if p := n.placements[j.placement.DataCentre]; j.parked && p.Host == host && n.waitedFor(j, now) {
			n.hand(j, p, false, now)
		}
	}
}

// learnTable passes on what has changed in the table of backend servers, and
// confirms it at once by a pulse: the placer may use new servers then. It returns
// whether anything has changed. The placer had no newer table when the pulse that
// it answers was sent.
func (n *Node) learnTable(m msgs.Pulsed, sent, now time.Time) bool {
	had := n.servers
	if n.tableEpoch != m.Epoch {
		had = 0
	}
	if m.Servers < had || m.Servers == 0 || m.Since > had {
		return false
	}
	if n.tableEpoch != m.Epoch || sent.After(n.tableAt) {
		n.tableAt = sent
	}
	if m.Servers == had {
		return false
	}
	n.servers, n.tableEpoch = m.Servers, m.Epoch
	_ = n.Send(n.Self, msgs.ServicePlacer, placer.Table{Epoch: m.Epoch, Whole: m.Since == 0, Servers: m.Table}) // on this host
	n.pulse(now)
	return true
}
