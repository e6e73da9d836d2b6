package entry

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/runs"
)

// pulse asks the placers that this host needs whether they live.
func (n *Node) sendPulses(now time.Time) {
	n.nextPulse = now.Add(pulseInterval)
	n.checkCallers(now)
	needed := map[string]bool{}
	own, ok := n.placements[n.DataCentre]
	for _, p := range n.placements {
		// Jobs go to other data centres when the own one has no placer.
		if p.DataCentre == n.DataCentre || !ok || n.placers[own.Host].unavailable() {
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
			s.unansweredSince = time.Time{} // what is lost now isn't asked for again
		}
	}
	for host := range needed {
		n.sendPulse(host, now)
	}
}

// pulseTo sends one pulse.
func (n *Node) sendPulse(host string, now time.Time) {
	n.lastPulse++
	m := msgs.Pulse{
		Host: n.Self, DataCentre: n.DataCentre, Incarnation: n.Incarnation, Number: n.lastPulse,
		Epoch: n.tableEpoch, Servers: n.tableVersion, Oldest: n.oldestHandover(host),
	}
	for _, w := range n.withdrawals[host] {
		m.Withdrawn = append(m.Withdrawn, w.message)
	}
	if s := n.placers[host]; s != nil {
		n.expectAnswer(host, s, now)
		s.recordPulse(m.Number, now)
		if s.stamp > 0 {
			m.Placing, m.Stamp = s.epoch, s.stamp
		}
	}
	_ = n.Send(host, msgs.ServicePlacer, m) // asked again soon
}

// note keeps when a pulse was sent, as long as a table may be dated by it.
func (s *placerState) recordPulse(number uint64, now time.Time) {
	s.sentPulses = append(s.sentPulses, sentPulse{number: number, sentAt: now})
	s.sentPulses = slices.DeleteFunc(s.sentPulses, func(p sentPulse) bool { return now.Sub(p.sentAt) > runs.TableTime })
}

// sentAt returns when a pulse was sent, a zero time when that isn't known.
func (s *placerState) sentAt(number uint64) time.Time {
	for _, p := range s.sentPulses {
		if p.number == number {
			return p.sentAt
		}
	}
	return time.Time{}
}

// oldest returns the number of the earliest hand-over to a host that this one
// waits for, or that of the next one while it waits for none.
func (n *Node) oldestHandover(host string) uint64 {
	least := n.lastHandover + 1
	for _, j := range n.jobs {
		if !j.parked && j.placement.Host == host {
			least = min(least, j.handover.Hand)
		}
	}
	return least
}

// forget drops the withdrawals that pulses need not list any more.
func (n *Node) evictWithdrawals(now time.Time) {
	for host, list := range n.withdrawals {
		oldest := n.oldestHandover(host)
		list = slices.DeleteFunc(list, func(w withdrawal) bool { return w.message.Hand < oldest && now.Sub(w.sentAt) > withdrawalRetention })
		n.withdrawals[host] = list
		if len(list) == 0 {
			delete(n.withdrawals, host)
		}
	}
}

// ask notes that a placer is asked, and whether it has left that unanswered for
// too long.
func (n *Node) expectAnswer(host string, s *placerState, now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	if !s.silent && now.Sub(s.unansweredSince) >= placerTimeout {
		s.silent = true
		n.Hooks.PlacerReached(false, host, s.epoch)
	}
}

func (n *Node) handlePulsed(m msgs.Pulsed, now time.Time) {
	s := n.placers[m.Host]
	if s == nil {
		return
	}
	idle := m.Epoch == 0 && (m.Idle >= s.epoch || m.Incarnation != s.incarnation)
	if !idle && m.Epoch != s.epoch {
		return
	}
	s.unansweredSince = time.Time{}
	if s.silent {
		s.silent = false
		n.Hooks.PlacerReached(true, m.Host, s.epoch)
	}
	if idle {
		n.setIdle(m.Host, s, now)
		return
	}
	s.idle = false // the word that it is was one of a process before, and late
	s.stamp = max(s.stamp, m.Stamp)
	n.handOverParked(m.Host, now)
	pulsed := n.placements[n.DataCentre].Host == m.Host && n.updateTable(m, s.sentAt(m.Answers), now)
	if m.Ask && !pulsed {
		n.checkCallers(now)
		n.sendPulse(m.Host, now)
	}
}

// idle notes that the host of a placer doesn't place.
func (n *Node) setIdle(host string, s *placerState, now time.Time) {
	was := s.idle
	s.idle = true
	if own := n.placements[n.DataCentre]; !was && own.Host == host {
		n.sendPulses(now) // whether others place
	}
}

// handParked gives the jobs that wait for a placer to one that has answered:
// which host was placed last may have been told by a core that is behind.
func (n *Node) handOverParked(host string, now time.Time) {
	for _, j := range n.jobs {
		if p := n.placements[j.placement.DataCentre]; j.parked && p.Host == host && n.hasCaller(j, now) {
			n.handOver(j, p, false, now)
		}
	}
}

// learnTable passes on what has changed in the table of backend servers, and
// confirms it at once by a pulse: the placer may use new servers then. It returns
// whether anything has changed. The placer had no newer table when the pulse that
// it answers was sent.
func (n *Node) updateTable(m msgs.Pulsed, sent, now time.Time) bool {
	had := n.tableVersion
	if n.tableEpoch != m.Epoch {
		had = 0
	}
	if m.Servers < had || m.Servers == 0 || m.Since > had {
		return false
	}
	if n.tableEpoch != m.Epoch || sent.After(n.tableCompleteAt) {
		n.tableCompleteAt = sent
	}
	if m.Servers == had {
		return false
	}
	n.tableVersion, n.tableEpoch = m.Servers, m.Epoch
	_ = n.Send(n.Self, msgs.ServicePlacer, placer.TableUpdate{Epoch: m.Epoch, Complete: m.Since == 0, Servers: m.Table}) // on this host
	n.sendPulses(now)
	return true
}
