package entry

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/runs"
)

// sendPulses sends a pulse to each placer that this host needs.
func (n *JobService) sendPulses(now time.Time) {
	n.nextPulse = now.Add(pulseInterval)
	n.checkCallers(now)
	needed, busy := map[string]bool{}, map[string]bool{}
	ownAvailable := n.ownAvailable()
	for _, p := range n.placements {
		// Jobs go to other data centres while the own one has no available placer or is evacuated.
		elsewhere := (!ownAvailable || n.isEvacuated(n.DataCentre)) && n.probes(p, now)
		if p.DataCentre == n.DataCentre || elsewhere || n.needsProbe(p) {
			needed[p.Host] = true
		}
	}
	for _, j := range n.jobs {
		if !j.parked {
			needed[j.placement.Host], busy[j.placement.Host] = true, true
		}
	}
	for host, s := range n.placers {
		if !needed[host] {
			s.unansweredSince = time.Time{} // it gets no pulse, so no answer is due
		}
	}
	for host := range needed {
		if busy[host] || !n.deferred(host, now) {
			n.sendPulse(host, now)
		}
	}
}

// sendPulse notifies a placer which jobs this host waits for, and which table it has.
func (n *JobService) sendPulse(host string, now time.Time) {
	n.lastPulse++
	s, shard := n.placers[host], 0
	if s != nil {
		shard = s.key.Shard
	}
	t := n.table(shard)
	m := msgs.Pulse{
		Host: n.Self, DataCentre: n.DataCentre, Incarnation: n.Incarnation, Number: n.lastPulse,
		Epoch: t.epoch, Servers: t.version, Oldest: n.oldestHandover(host), Shard: shard,
	}
	for _, w := range n.withdrawals[host] {
		m.Withdrawn = append(m.Withdrawn, w.message)
	}
	if s != nil {
		n.expectAnswer(host, s, now)
		s.recordPulse(m.Number, now)
		s.pulsedAt = now
		if s.stamp > 0 {
			m.Placing, m.Stamp = s.epoch, s.stamp
		}
	}
	_ = n.Send(host, msgs.ServicePlacer, m) // sent again after pulseInterval
}

// recordPulse records when a pulse was sent, as long as its answer may confirm a table.
func (s *placerState) recordPulse(number uint64, now time.Time) {
	s.sentPulses = append(s.sentPulses, sentPulse{number: number, sentAt: now})
	s.sentPulses = slices.DeleteFunc(s.sentPulses, func(p sentPulse) bool { return now.Sub(p.sentAt) > runs.TableValidity })
}

// sentAt returns when a pulse was sent, or a zero time if that isn't known.
func (s *placerState) sentAt(number uint64) time.Time {
	for _, p := range s.sentPulses {
		if p.number == number {
			return p.sentAt
		}
	}
	return time.Time{}
}

// oldestHandover returns the number of the earliest handover to a host that this one
// waits for, or the number of the next handover while it waits for none.
func (n *JobService) oldestHandover(host string) uint64 {
	oldest := n.lastHandover + 1
	for _, j := range n.jobs {
		if !j.parked && j.placement.Host == host {
			oldest = min(oldest, j.handover.Hand)
		}
	}
	return oldest
}

// evictWithdrawals removes the withdrawals that pulses no longer need to list.
func (n *JobService) evictWithdrawals(now time.Time) {
	for host, list := range n.withdrawals {
		oldest := n.oldestHandover(host)
		list = slices.DeleteFunc(list, func(w withdrawal) bool { return w.message.Hand < oldest && now.Sub(w.sentAt) > withdrawalRetention })
		n.withdrawals[host] = list
		if len(list) == 0 {
			delete(n.withdrawals, host)
		}
	}
}

// expectAnswer records that a pulse awaits the answer of a placer, and marks the placer
// silent if earlier pulses have been unanswered for placerTimeout.
func (n *JobService) expectAnswer(host string, s *placerState, now time.Time) {
	if s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
	if !s.silent && now.Sub(s.unansweredSince) >= placerTimeout {
		s.silent = true
		n.Hooks.PlacerReached(false, host, s.epoch)
	}
}

func (n *JobService) handlePulsed(m msgs.Pulsed, now time.Time) {
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
		n.setIdle(s, now)
		return
	}
	n.measureRoundTrip(m.Host, s, m.Answers, now)
	n.learnRooms(m.Host, m.Epoch, m.Rooms, now)
	n.noteOwnRoom(s, m, now)
	n.shareRooms(s, m.Rooms)
	n.setPace(s, m.Every, now)
	s.idle = false // an answer that said so was a late one of a previous process
	s.stamp = max(s.stamp, m.Stamp)
	n.handOverParked(s, now)
	updated := s.key.DataCentre == n.DataCentre && n.updateTable(s.key.Shard, m, s.sentAt(m.Answers), now)
	if m.Ask && !updated { // an update has sent a pulse already
		n.checkCallers(now)
		n.sendPulse(m.Host, now)
	}
}

// setIdle records that the host of a placer doesn't place.
func (n *JobService) setIdle(s *placerState, now time.Time) {
	wasIdle := s.idle
	s.idle = true
	if wasIdle || s.key.DataCentre != n.DataCentre {
		return
	}
	if !n.manyHosts() || !n.ownAvailable() { // otherwise the pulses of the others are answered in time
		n.sendPulses(now) // to find out which other placers are available
	}
}

// handOverParked hands the parked jobs over to a placer once it has answered a pulse:
// the placement alone may come from a host of the core that lags behind.
func (n *JobService) handOverParked(s *placerState, now time.Time) {
	for _, j := range n.jobs {
		if p := n.placements[j.placement.Key()]; j.parked && p.Epoch == s.epoch && n.checkCallersOf(j, now) {
			n.handOver(j, p, false, now)
		}
	}
}

// updateTable passes changes of a shard's table of backend servers on to the service that
// keeps it, and confirms them immediately by a pulse, after which the placer may use new
// servers. It returns whether anything has changed. Sent is when the pulse was sent that
// m answers: the placer had no newer table then.
func (n *JobService) updateTable(shard int, m msgs.Pulsed, sent, now time.Time) bool {
	for shard >= len(n.tables) {
		n.tables = append(n.tables, serverTable{})
	}
	t := &n.tables[shard]
	version := t.version
	if t.epoch != m.Epoch {
		version = 0
	}
	if m.Servers < version || m.Servers == 0 || m.Since > version {
		return false
	}
	if t.epoch != m.Epoch || sent.After(t.completeAt) {
		t.completeAt = sent
	}
	if m.Servers == version {
		return false
	}
	t.version, t.epoch = m.Servers, m.Epoch
	_ = n.Send(n.Self, msgs.ServicePlacer, placer.TableUpdate{Shard: shard, Epoch: m.Epoch, Complete: m.Since == 0, Servers: m.Table}) // on this host
	if n.manyHosts() {
		n.checkCallers(now)
		n.sendPulse(m.Host, now)
		return true
	}
	n.sendPulses(now)
	return true
}
