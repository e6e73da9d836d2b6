package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
	"dogwoodrock.example/dogwoodrock/runs"
)

// change is the latest change of a server in the table.
type change struct {
	version   uint64
	server    model.Server
	changedAt time.Time
}

// tableReplica is the copy of the table on another host of the data centre that
// received it under this epoch. That host may place next even if it is silent now.
type tableReplica struct {
	confirmed   uint64        // version that the host has confirmed, 0 for none
	sent        uint64        // version last sent to the host
	sentAt      time.Time     // when it was sent
	inFlight    int           // changes that were sent and aren't confirmed
	resendAt    time.Time     // when these count as lost
	resendAfter time.Duration // from the latest resend until resendAt
	retired     bool          // the host is sent no more changes
	lastPulse   uint64        // number of the host's latest pulse
}

const (
	// maxChangesInFlight is the number of changes of the table on their way to all hosts
	// together above which further hosts wait: about a megabyte, which a link of 19 Mbit/s
	// carries before calls between hosts time out.
	maxChangesInFlight = 8192

	minResendAfter = 600 * time.Millisecond // longer than a call between hosts; doubles with each resend
	maxResendAfter = 4 * time.Second
)

// confirm records the version that the host has.
func (r *tableReplica) confirm(version uint64, now time.Time) {
	if version > r.confirmed {
		r.resendAfter, r.resendAt = 0, now.Add(minResendAfter)
	}
	if r.confirmed = version; version >= r.sent {
		r.inFlight = 0
	}
}

// since returns the version after which changes have to be sent: changes on their way are not
// sent again before resendAt.
func (r *tableReplica) since(now time.Time) uint64 {
	if r.sent > r.confirmed && now.Before(r.resendAt) {
		return r.sent
	}
	return r.confirmed
}

// recordSent records that the changes after a version were sent, up to the present one.
func (r *tableReplica) recordSent(since, version uint64, changes int, now time.Time) {
	if since == r.confirmed && changes > 0 {
		if r.sent > r.confirmed {
			r.resendAfter *= 2
		}
		r.resendAfter = min(max(r.resendAfter, minResendAfter), maxResendAfter)
		r.inFlight, r.resendAt = 0, now.Add(r.resendAfter)
	}
	r.inFlight += changes
	r.sent, r.sentAt = version, now
}

// leftRetention is how long a server that has left stays in the list of changes, for
// hosts that missed the change: several pulses.
const leftRetention = 10 * time.Second

// prune evicts servers that have left, early jobs that have expired, replicas that are too
// old for their hosts to start placing with, and the processes of hosts that are gone.
func (n *PlacingService) prune(now time.Time) {
	maps.DeleteFunc(n.changes, func(_ string, c change) bool { return c.server.Left && now.Sub(c.changedAt) > leftRetention })
	n.earlyJobs = slices.DeleteFunc(n.earlyJobs, func(e earlyJob) bool { return now.Sub(e.arrivedAt) > earlyJobRetention })
	n.pruneReplicas(now)
	n.cancelled.Evict(now)
	maps.DeleteFunc(n.processes, func(_ string, p *process) bool { return now.Sub(p.lastContact) > processRetention })
}

// pruneReplicas evicts the replicas that are too old for their hosts to start placing with. Their hosts go on reporting
// the version that they have, and the core prefers the newest one, then the most processor time. In a large data centre,
// where a host may be sent the table no more, the version rises, so that only hosts that keep the table have the newest.
func (n *PlacingService) pruneReplicas(now time.Time) {
	outdated := false
	maps.DeleteFunc(n.replicas, func(_ string, r *tableReplica) bool {
		expired := now.Sub(r.sentAt) > runs.ReplicationTime
		outdated = outdated || expired && r.confirmed > 0
		return expired
	})
	if outdated && n.large && n.placer != nil {
		n.tableVersion++
	}
}

// handlePulse records that an entry host is alive, for which jobs it waits, and which
// version of the table it has.
func (n *PlacingService) handlePulse(m msgs.Pulse, now time.Time) {
	if n.placer == nil {
		_ = n.Send(m.Host, msgs.ServiceEntry, msgs.Pulsed{Host: n.Self, Incarnation: n.Incarnation, Idle: n.placementOf(m.Shard).Epoch}) // the host will pulse again
		return
	}
	if !n.recordContact(m.Host, m.Incarnation, now) && !n.reinstateProcess(m, now) {
		h := cmp.Or(n.hosts[m.Host], &host{})
		if n.large {
			h = &host{} // it is asked for a pulse though the other process may send pulses rarely
		}
		n.sendPulsed(m.Host, h, now) // if it is the current process, it will return the stamp
		return
	}
	h := n.hosts[m.Host]
	h.local, h.lastPulse = m.DataCentre == n.DataCentre, m.Number
	if _, ok := n.replicas[m.Host]; h.local && (ok || n.keepsTable(m.Host, now)) {
		r := n.replica(m.Host)
		r.lastPulse = m.Number
		if m.Epoch == n.placer.Epoch() {
			r.confirm(m.Servers, now)
		} else {
			r.confirm(0, now)
		}
	}
	n.placer.WithdrawBefore(m.Host, m.Oldest, now)
	for _, w := range m.Withdrawn {
		w.Host = m.Host
		n.withdrawJob(w, now)
	}
	n.confirmWait(m, h, now)
	n.sendPulsed(m.Host, h, now)
	n.markReplicated(now)
	n.answerDrains(now)
}

// replica returns the state of the table on a host, and adds it for a new host.
func (n *PlacingService) replica(name string) *tableReplica {
	r, ok := n.replicas[name]
	if !ok {
		r = &tableReplica{}
		n.replicas[name] = r
	}
	return r
}

// confirmWait records when an entry host is known to have waited. A pulse is sent after
// the stamp that it returns, so the host waited until that time at least, however late
// the pulse arrives.
func (n *PlacingService) confirmWait(m msgs.Pulse, h *host, now time.Time) {
	stamped := n.startedAt.Add(m.Stamp)
	if m.Placing != n.placer.Epoch() || stamped.After(now) {
		return
	}
	if stamped.After(h.confirmedAt) {
		h.confirmedAt = stamped
	}
	n.placer.ConfirmWait(m.Host, stamped)
}

// markReplicated allows the use of the servers that are in every replica. A host whose
// replica may still count as complete could place next without knowing of the others.
func (n *PlacingService) markReplicated(now time.Time) {
	version := n.tableVersion
	for name, r := range n.replicas {
		if name != n.Self && now.Sub(r.sentAt) < runs.ReplicationTime {
			version = min(version, r.confirmed)
		}
	}
	if version <= n.replicatedVersion {
		return
	}
	n.replicatedVersion = version
	for name, c := range n.changes {
		if c.version <= version {
			n.placer.MarkReplicated(name)
		}
	}
}

// replicateTable sends the changes of the table to the hosts that have a replica,
// without waiting for their pulses.
func (n *PlacingService) replicateTable(now time.Time) {
	for name, h := range n.hosts {
		if !h.local || name == n.Self || n.isSkipped(name, now) || n.replica(name).sent == n.tableVersion {
			continue
		}
		if n.mayTransfer(n.replica(name), now) {
			n.sendPulsed(name, h, now)
		}
	}
}

// mayTransfer reports whether changes may be sent to a host now: not too many are on their way to
// other hosts.
func (n *PlacingService) mayTransfer(r *tableReplica, now time.Time) bool {
	inFlight := 0
	for _, other := range n.replicas {
		if other != r && now.Before(other.resendAt) {
			inFlight += other.inFlight
		}
	}
	return inFlight < maxChangesInFlight
}

// changesFor returns the changes to send to a host, and the version that they follow. It returns
// false if they have to wait.
func (n *PlacingService) changesFor(r *tableReplica, now time.Time) (list []model.Server, since uint64, ok bool) {
	since = r.since(now)
	if since == n.tableVersion {
		return nil, since, true
	}
	if !n.mayTransfer(r, now) {
		return nil, since, false
	}
	for _, c := range n.changes {
		if c.version > since {
			list = append(list, c.server)
		}
	}
	return list, since, true
}

// sendPulsed sends a host the changes of the table that it lacks, unless they have to wait, and a
// stamp that its next pulse returns.
func (n *PlacingService) sendPulsed(name string, h *host, now time.Time) {
	rare := n.pulsesRarely(name, h, now)
	reply := msgs.Pulsed{
		Host: n.Self, Incarnation: n.Incarnation, Epoch: n.placer.Epoch(), Stamp: now.Sub(n.startedAt), Ask: n.requestsPulse(name, h, now),
	}
	if reply.Ask {
		h.requestedAt = now
	}
	h.every = 0
	if rare {
		h.every, reply.Every = RarePulse, RarePulse
	}
	if h.local {
		reply.Rooms = n.rooms(name, now) // also to a host that doesn't need it: one of an earlier version never sets ChooseRoom
	}
	if h.local && n.keepsTable(name, now) {
		r := n.replica(name)
		if list, since, ok := n.changesFor(r, now); ok {
			r.recordSent(since, n.tableVersion, len(list), now)
			reply.Table, reply.Servers, reply.Since, reply.Answers = list, n.tableVersion, since, r.lastPulse
		}
	} else if n.Balance == rooms.DataCentres {
		reply.Answers = h.lastPulse // the host measures the round trip
	}
	_ = n.Send(name, msgs.ServiceEntry, reply) // the host will pulse again
}

// StoredTable is the table that the core stored, for a placer that lacks it.
type StoredTable struct {
	Table model.ServerTable
}

// TableRequest asks the placer to send its table to a host of the core, which stores it.
type TableRequest struct {
	Core string
}

func (n *PlacingService) serverTable() model.ServerTable {
	return model.ServerTable{
		DataCentre: n.DataCentre, Epoch: n.tableEpoch, Version: n.tableVersion, Servers: slices.Collect(maps.Values(n.servers)), Shard: n.shard,
	}
}

// sendTable sends the table of a shard that this process placed before to the shard's next placer.
func (n *PlacingService) sendTable(host string, shard int, t *shardTable) {
	// Without the table the next placer waits until the leases of this one have expired.
	_ = n.Send(host, msgs.ServicePlacer, model.ServerTable{
		DataCentre: n.DataCentre, Epoch: t.epoch, Version: t.version, Servers: slices.Collect(maps.Values(t.servers)), Shard: shard,
	})
}

// sendFinalTable sends the table to the next placer, which may be a host that has just
// started and has no table yet. This placer may have been fenced off before.
func (n *PlacingService) sendFinalTable(p model.Placement) {
	if p.Former == 0 || p.Former != n.lastEpochPlaced || n.tableEpoch != p.Former || p.Host == n.Self {
		return
	}
	// Without the table the next placer waits until the leases of this one have expired.
	_ = n.Send(p.Host, msgs.ServicePlacer, n.serverTable())
}

// sendTableToCore sends the table to a host of the core, which stores it.
func (n *PlacingService) sendTableToCore(host string) {
	if n.placer != nil {
		_ = n.Send(host, msgs.ServiceCore, n.serverTable()) // the core will ask again
	}
}

// receiveFinalTable applies the table of the previous placer, which has stopped.
func (n *PlacingService) receiveFinalTable(t model.ServerTable, now time.Time) {
	if t.Shard != n.shard {
		n.receiveOtherTable(t)
		return
	}
	switch {
	case n.placer == nil && t.Epoch >= n.tableEpoch:
		n.applyTable(TableUpdate{Epoch: t.Epoch, Complete: true, Servers: t.Servers})
		n.tableFinal = true
	case n.placer != nil && t.Epoch == n.placement.Former:
		n.placer.CompleteTable(n.addMissing(t.Servers, now), now)
	}
}

// receiveOtherTable applies the table of the previous placer of a shard that this host isn't known to
// place yet.
func (n *PlacingService) receiveOtherTable(t model.ServerTable) {
	if t.Shard < 0 || t.Shard >= model.MaxShards {
		return
	}
	if other := n.table(t.Shard); t.Epoch >= other.epoch {
		other.apply(TableUpdate{Epoch: t.Epoch, Complete: true, Servers: t.Servers})
		other.final = true
	}
}

// addStoredServers adds the servers of a table that may be older than the previous
// placer, so that there may be runs on other servers too.
func (n *PlacingService) addStoredServers(t model.ServerTable, now time.Time) {
	if n.places(t.Shard) && t.Epoch < n.placer.Epoch() {
		n.placer.AddServers(n.addMissing(t.Servers, now), now)
	}
}

// addMissing adds the servers that aren't known yet to the table and returns them. It
// skips those that have left since: they report when they come back. Those that drain by
// newer reports than this host has start no more tasks: the drain may be acknowledged.
func (n *PlacingService) addMissing(servers []model.Server, now time.Time) []model.Server {
	var list []model.Server
	for _, s := range servers {
		old, ok := n.servers[s.Name]
		switch {
		case ok && s.Draining && !old.Draining && s.Address == old.Address && s.Newer(old):
			n.placer.NoteDraining(s)
			n.setServer(s, now)
		case !ok && !n.changes[s.Name].server.Left:
			list = append(list, s)
			n.setServer(s, now)
		}
	}
	return list
}

// removeLeftServers removes the servers from the table of which polls have shown that they have left.
func (n *PlacingService) removeLeftServers(now time.Time) {
	for name := range n.leaving {
		if n.placer.Leaving(name) {
			continue
		}
		delete(n.leaving, name)
		if !n.placer.HasServer(name) {
			delete(n.candidates, name)
			n.setServer(model.Server{Name: name, Left: true}, now)
		}
	}
}

// removeLostServers removes the servers that ended without reporting it from the
// table: the next placer would wait for their answers.
func (n *PlacingService) removeLostServers(now time.Time) {
	for name := range n.servers {
		if !n.placer.HasServer(name) {
			n.setServer(model.Server{Name: name, Left: true}, now)
		}
	}
	maps.DeleteFunc(n.candidates, func(name string, _ model.Server) bool { return !n.placer.HasServer(name) })
}

// setServer adds or updates a server in the table, or removes one that has left.
func (n *PlacingService) setServer(s model.Server, now time.Time) {
	n.tableVersion++
	n.changes[s.Name] = change{version: n.tableVersion, server: s, changedAt: now}
	if s.Left {
		delete(n.servers, s.Name)
		return
	}
	n.servers[s.Name] = s
}

// handleTable handles the messages that exchange whole tables with the previous placer and the core.
func (n *PlacingService) handleTable(msg any, now time.Time) {
	switch m := msg.(type) {
	case model.ServerTable:
		n.receiveFinalTable(m, now)
	case StoredTable:
		n.addStoredServers(m.Table, now)
	case TableRequest:
		n.sendTableToCore(m.Core)
	}
}
