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
	version uint64
	server  model.Server
	at      time.Time
}

// keeper is another host of the data centre that was told the table under this
// epoch. It may place next even when it isn't heard of any more.
type keeper struct {
	has   uint64    // version that it has confirmed, 0 for none
	told  uint64    // version that it was sent
	at    time.Time // when it was sent one last
	pulse uint64    // number of its latest pulse
}

// leftMemory is how long a server that left stays in the table, for hosts that
// missed it: some pulses.
const leftMemory = 10 * time.Second

// prune forgets servers that left, jobs that came too early, hosts whose table is
// too old to begin with, and the processes of hosts that are gone.
func (n *Node) prune(now time.Time) {
	maps.DeleteFunc(n.changed, func(_ string, c change) bool { return c.server.Left && now.Sub(c.at) > leftMemory })
	n.early = slices.DeleteFunc(n.early, func(e early) bool { return now.Sub(e.came) > earlyTime })
	maps.DeleteFunc(n.keepers, func(_ string, k *keeper) bool { return now.Sub(k.at) > runs.ReplicationTime })
	maps.DeleteFunc(n.processes, func(_ string, p *process) bool { return now.Sub(p.heard) > processMemory })
}

// pulse notes that an entry host lives, for which jobs it waits, and which version
// of the table it has.
func (n *Node) pulse(m msgs.Pulse, now time.Time) {
	if n.placer == nil {
		_ = n.Send(m.Host, msgs.ServiceEntry, msgs.Pulsed{Host: n.Self, Incarnation: n.Incarnation, Idle: n.latest.Epoch}) // the host asks again
		return
	}
	if !n.alive(m.Host, m.Incarnation, now) && !n.mistaken(m, now) {
		n.tell(m.Host, cmp.Or(n.hosts[m.Host], &host{}), now) // the present process returns the stamp
		return
	}
	h := n.hosts[m.Host]
	h.near = m.DataCentre == n.DataCentre
	if h.near {
		k := n.keeper(m.Host)
		k.has, k.pulse = 0, m.Number
		if m.Epoch == n.placer.Epoch() {
			k.has = m.Servers
		}
	}
	n.placer.WithdrawBefore(m.Host, m.Oldest, now)
	for _, w := range m.Withdrawn {
		w.Host = m.Host
		n.withdraw(w, now)
	}
	n.waits(m, h, now)
	n.tell(m.Host, h, now)
	n.known(now)
}

// keeper returns what is known of the table of a host.
func (n *Node) keeper(name string) *keeper {
	k, ok := n.keepers[name]
	if !ok {
		k = &keeper{}
		n.keepers[name] = k
	}
	return k
}

// waits notes when an entry host waited: not before the stamp that it returns,
// however late its pulse is.
func (n *Node) waits(m msgs.Pulse, h *host, now time.Time) {
	at := n.began.Add(m.Stamp)
	if m.Placing != n.placer.Epoch() || at.After(now) {
		return
	}
	if at.After(h.waited) {
		h.waited = at
	}
	n.placer.ConfirmWait(m.Host, at)
}

// known lets the servers be used that every host has in its table that may take it
// for whole, if it places next.
func (n *Node) known(now time.Time) {
	least := n.version
	for name, k := range n.keepers {
		if name != n.Self && now.Sub(k.at) < runs.ReplicationTime {
			least = min(least, k.has)
		}
	}
	if least <= n.confirmed {
		return
	}
	n.confirmed = least
	for name, c := range n.changed {
		if c.version <= least {
			n.placer.MarkReplicated(name)
		}
	}
}

// spread sends what has changed in the table to the entry hosts that keep it,
// without waiting for their pulses.
func (n *Node) spread(now time.Time) {
	for name, h := range n.hosts {
		if h.near && name != n.Self && n.keeper(name).told != n.version {
			n.tell(name, h, now)
		}
	}
}

// tell answers a host with what has changed since the version that it has, and
// with a stamp to return.
func (n *Node) tell(name string, h *host, now time.Time) {
	reply := msgs.Pulsed{
		Host: n.Self, Incarnation: n.Incarnation, Epoch: n.placer.Epoch(), Stamp: now.Sub(n.began), Ask: h.toAsk(now),
	}
	if reply.Ask {
		h.asked = now
	}
	if h.near {
		k := n.keeper(name)
		k.told, k.at = n.version, now
		reply.Servers, reply.Since, reply.Answers = n.version, k.has, k.pulse
		for _, c := range n.changed {
			if c.version > k.has {
				reply.Table = append(reply.Table, c.server)
			}
		}
	}
	_ = n.Send(name, msgs.ServiceEntry, reply) // the host asks again
}

// Kept is the table that the core kept, for a placer that lacks it.
type Kept struct {
	Table model.ServerTable
}

// Keep asks the placer to have its table kept by a host of the core.
type Keep struct {
	Core string
}

func (n *Node) table() model.ServerTable {
	return model.ServerTable{
		DataCentre: n.DataCentre, Epoch: n.tableEpoch, Version: n.version, Servers: slices.Collect(maps.Values(n.servers)),
	}
}

// bequeath sends the table to the next placer: it may be a host that has just
// started and was told nothing yet. This one may have been fenced off before.
func (n *Node) bequeath(p model.Placement) {
	if p.Former == 0 || p.Former != n.placedFor || n.tableEpoch != p.Former || p.Host == n.Self {
		return
	}
	// Without it the next placer waits for the leases of this one to end.
	_ = n.Send(p.Host, msgs.ServicePlacer, n.table())
}

// keep sends the table to the core.
func (n *Node) keep(host string) {
	if n.placer != nil {
		_ = n.Send(host, msgs.ServiceCore, n.table()) // it asks again
	}
}

// inherit takes the table of the placer before, which has stopped.
func (n *Node) inherit(t model.ServerTable, now time.Time) {
	switch {
	case n.placer == nil && t.Epoch >= n.tableEpoch:
		n.adoptTable(Table{Epoch: t.Epoch, Whole: true, Servers: t.Servers})
		n.tableEnded = true
	case n.placer != nil && t.Epoch == n.latest.Former:
		n.placer.CompleteTable(n.missed(t.Servers, now), now)
	}
}

// learn takes servers of a table that may be older than the placer before: what
// runs on others isn't known.
func (n *Node) learn(t model.ServerTable, now time.Time) {
	if n.placer != nil && t.Epoch < n.placer.Epoch() {
		n.placer.AddServers(n.missed(t.Servers, now), now)
	}
}

// missed notes and returns those of the servers that aren't known yet. One that has
// left since reports itself when it comes back.
func (n *Node) missed(servers []model.Server, now time.Time) []model.Server {
	var list []model.Server
	for _, s := range servers {
		if _, ok := n.servers[s.Name]; !ok && !n.changed[s.Name].server.Left {
			list = append(list, s)
			n.note(s, now)
		}
	}
	return list
}

// forget takes servers out of the table that have ended without a word: the next
// placer would wait for their answers.
func (n *Node) forget(now time.Time) {
	for name := range n.servers {
		if !n.placer.HasServer(name) {
			n.note(model.Server{Name: name, Left: true}, now)
		}
	}
}

// note enters what has changed of a server into the table.
func (n *Node) note(s model.Server, now time.Time) {
	n.version++
	n.changed[s.Name] = change{version: n.version, server: s, at: now}
	if s.Left {
		delete(n.servers, s.Name)
		return
	}
	n.servers[s.Name] = s
}
