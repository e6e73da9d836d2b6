package placer

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// change is the last change of a server in the table.
type change struct {
	version   uint64
	server    model.Server
	changedAt time.Time
}

// keeper is another host of the data centre that was told the table under this
// epoch. It may place next even when it isn't heard of any more.
type tableReplica struct {
	confirmed uint64    // version that it has confirmed, 0 for none
	sent      uint64    // version that it was sent
	sentAt    time.Time // when it was sent one last
	lastPulse uint64    // number of its latest pulse
}

// leftMemory is how long a server that left stays in the table, for hosts that
// missed it: some pulses.
const leftRetention = 10 * time.Second

// prune forgets servers that left, jobs that came too early, hosts whose table is
// too old to begin with, and the processes of hosts that are gone.
func (n *Node) prune(now time.Time) {
	maps.DeleteFunc(n.changes, func(_ string, c change) bool { return c.server.Left && now.Sub(c.changedAt) > leftRetention })
	n.earlyJobs = slices.DeleteFunc(n.earlyJobs, func(e earlyJob) bool { return now.Sub(e.arrivedAt) > earlyJobRetention })
	maps.DeleteFunc(n.replicas, func(_ string, k *tableReplica) bool { return now.Sub(k.sentAt) > runs.SpreadTime })
	maps.DeleteFunc(n.processes, func(_ string, p *process) bool { return now.Sub(p.lastContact) > processRetention })
}

// pulse notes that an entry host lives, for which jobs it waits, and which version
// of the table it has.
func (n *Node) handlePulse(m msgs.Pulse, now time.Time) {
	if n.placer == nil {
		_ = n.Send(m.Host, msgs.ServiceEntry, msgs.Pulsed{Host: n.Self, Incarnation: n.Incarnation, Idle: n.placement.Epoch}) // the host asks again
		return
	}
	if !n.recordContact(m.Host, m.Incarnation, now) && !n.reinstateProcess(m, now) {
		n.sendPulsed(m.Host, cmp.Or(n.hosts[m.Host], &host{}), now) // the present process returns the stamp
		return
	}
	h := n.hosts[m.Host]
	h.local = m.DataCentre == n.DataCentre
	if h.local {
		k := n.replica(m.Host)
		k.confirmed, k.lastPulse = 0, m.Number
		if m.Epoch == n.placer.Epoch() {
			k.confirmed = m.Servers
		}
	}
	n.placer.WaitsFrom(m.Host, m.Oldest, now)
	for _, w := range m.Withdrawn {
		w.Host = m.Host
		n.withdrawJob(w, now)
	}
	n.confirmWait(m, h, now)
	n.sendPulsed(m.Host, h, now)
	n.markReplicated(now)
}

// keeper returns what is known of the table of a host.
func (n *Node) replica(name string) *tableReplica {
	k, ok := n.replicas[name]
	if !ok {
		k = &tableReplica{}
		n.replicas[name] = k
	}
	return k
}

// waits notes when an entry host waited: not before the stamp that it returns,
// however late its pulse is.
func (n *Node) confirmWait(m msgs.Pulse, h *host, now time.Time) {
	at := n.startedAt.Add(m.Stamp)
	if m.Placing != n.placer.Epoch() || at.After(now) {
		return
	}
	if at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
	n.placer.Waits(m.Host, at)
}

// known lets the servers be used that every host has in its table that may take it
// for whole, if it places next.
func (n *Node) markReplicated(now time.Time) {
	least := n.tableVersion
	for name, k := range n.replicas {
		if name != n.Self && now.Sub(k.sentAt) < runs.SpreadTime {
			least = min(least, k.confirmed)
		}
	}
	if least <= n.replicatedVersion {
		return
	}
	n.replicatedVersion = least
	for name, c := range n.changes {
		if c.version <= least {
			n.placer.Spread(name)
		}
	}
}

// spread sends what has changed in the table to the entry hosts that keep it,
// without waiting for their pulses.
func (n *Node) replicateTable(now time.Time) {
	for name, h := range n.hosts {
		if h.local && name != n.Self && n.replica(name).sent != n.tableVersion {
			n.sendPulsed(name, h, now)
		}
	}
}

// tell answers a host with what has changed since the version that it has, and
// with a stamp to return.
func (n *Node) sendPulsed(name string, h *host, now time.Time) {
	reply := msgs.Pulsed{
		Host: n.Self, Incarnation: n.Incarnation, Epoch: n.placer.Epoch(), Stamp: now.Sub(n.startedAt), Ask: h.needsPulse(now),
	}
	if reply.Ask {
		h.requestedAt = now
	}
	if h.local {
		k := n.replica(name)
		k.sent, k.sentAt = n.tableVersion, now
		reply.Servers, reply.Since, reply.Answers = n.tableVersion, k.confirmed, k.lastPulse
		for _, c := range n.changes {
			if c.version > k.confirmed {
				reply.Table = append(reply.Table, c.server)
			}
		}
	}
	_ = n.Send(name, msgs.ServiceEntry, reply) // the host asks again
}

// Kept is the table that the core kept, for a placer that lacks it.
type StoredTable struct {
	Table model.ServerTable
}

// Keep asks the placer to have its table kept by a host of the core.
type TableRequest struct {
	Core string
}

func (n *Node) serverTable() model.ServerTable {
	return model.ServerTable{
		DataCentre: n.DataCentre, Epoch: n.tableEpoch, Version: n.tableVersion, Servers: slices.Collect(maps.Values(n.servers)),
	}
}

// bequeath sends the table to the next placer: it may be a host that has just
// started and was told nothing yet. This one may have been fenced off before.
func (n *Node) sendFinalTable(p model.Placement) {
	if p.Former == 0 || p.Former != n.lastEpochPlaced || n.tableEpoch != p.Former || p.Host == n.Self {
		return
	}
	// Without it the next placer waits for the leases of this one to end.
	_ = n.Send(p.Host, msgs.ServicePlacer, n.serverTable())
}

// keep sends the table to the core.
func (n *Node) sendTableToCore(host string) {
	if n.placer != nil {
		_ = n.Send(host, msgs.ServiceCore, n.serverTable()) // it asks again
	}
}

// inherit takes the table of the placer before, which has stopped.
func (n *Node) receiveFinalTable(t model.ServerTable, now time.Time) {
	switch {
	case n.placer == nil && t.Epoch >= n.tableEpoch:
		n.applyTable(TableUpdate{Epoch: t.Epoch, Complete: true, Servers: t.Servers})
		n.tableFinal = true
	case n.placer != nil && t.Epoch == n.placement.Former:
		n.placer.Inherit(n.addMissing(t.Servers, now), now)
	}
}

// learn takes servers of a table that may be older than the placer before: what
// runs on others isn't known.
func (n *Node) addStoredServers(t model.ServerTable, now time.Time) {
	if n.placer != nil && t.Epoch < n.placer.Epoch() {
		n.placer.Learn(n.addMissing(t.Servers, now), now)
	}
}

// missed notes and returns those of the servers that aren't known yet. One that has
// left since reports itself when it comes back.
func (n *Node) addMissing(servers []model.Server, now time.Time) []model.Server {
	var list []model.Server
	for _, s := range servers {
		if _, ok := n.servers[s.Name]; !ok && !n.changes[s.Name].server.Left {
			list = append(list, s)
			n.setServer(s, now)
		}
	}
	return list
}

// forget takes servers out of the table that have ended without a word: the next
// placer would wait for their answers.
func (n *Node) removeLostServers(now time.Time) {
	for name := range n.servers {
		if !n.placer.Has(name) {
			n.setServer(model.Server{Name: name, Left: true}, now)
		}
	}
}

// note enters what has changed of a server into the table.
func (n *Node) setServer(s model.Server, now time.Time) {
	n.tableVersion++
	n.changes[s.Name] = change{version: n.tableVersion, server: s, changedAt: now}
	if s.Left {
		delete(n.servers, s.Name)
		return
	}
	n.servers[s.Name] = s
}
