package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Peer tells whether another host can be reached.
type Peer struct {
	Host      string
	Reachable bool
}

// adopt puts a version in force unless it is older than the one in force.
func (n *Node) adopt(u lists.Update, committed time.Time) {
	if !lists.Newer(u, n.force.Update) {
		return
	}
	if n.Disk != nil {
		if err := n.Disk.InForce(u); err != nil {
			n.Hooks.Failed(err)
			return
		}
	}
	if _, err := n.force.Adopt(u); err != nil {
		n.Hooks.Failed(err)
		return
	}
	now := n.Now()
	delay := time.Duration(0)
	if !committed.IsZero() {
		delay = max(now.Sub(committed), 0)
	}
	n.Hooks.InForce(n.force, delay)
	n.spread = spread{version: u.Version, since: now}
	n.pass(committed)
}

// pass sends the version in force to the hosts that aren't known to have it.
func (n *Node) pass(committed time.Time) {
	for name, p := range n.peers {
		if p.version < n.force.Update.Version && p.reachable {
			n.sendUpdate(name, committed)
		}
	}
}

func (n *Node) sendUpdate(to string, committed time.Time) {
	p := n.peers[to]
	p.sent = n.force.Update.Version
	p.sentAt = n.Now()
	m := msgs.ListsUpdate{Update: n.force.Update, CommittedAt: committed}
	_ = n.Send(to, msgs.ServiceLists, m) // the next hello shows what still lacks
}

// needsUpdate reports whether a version was not sent, or so long ago that it
// seems lost.
func (p *peer) needsUpdate(version uint64, now time.Time) bool {
	return p.sent < version || now.Sub(p.sentAt) > updateTimeout
}

// update takes a version from another host. A host that started empty waits for
// a while, so that it begins with the newest version that others have.
func (n *Node) update(m msgs.ListsUpdate, now time.Time) {
	if n.force.Update.Version == 0 && now.Before(n.settledAt) {
		if lists.Newer(m.Update, n.pending) {
			n.pending = m.Update
		}
		return
	}
	n.adopt(m.Update, m.CommittedAt)
	n.helloAll()
}

func (n *Node) adoptPending(now time.Time) {
	if n.pending.Version == 0 || now.Before(n.settledAt) {
		return
	}
	n.adopt(n.pending, time.Time{})
	n.pending = lists.Update{}
}

// sayHello tells a few hosts now and then which version is in force here: those
// of the data centre, those that keep the lists, and others in turn.
func (n *Node) sayHello(now time.Time) {
	if now.Sub(n.lastHello) < helloInterval {
		return
	}
	first := n.lastHello.IsZero()
	n.lastHello = now
	if first {
		n.helloAll() // this host may have a new address
		return
	}
	for i, h := range n.Hosts {
		near := h.DataCentre == n.Self.DataCentre || n.isMember(h.Name)
		turn := (i+n.helloTurn)%len(n.Hosts) < helloOthers
		if near || turn {
			n.helloTo(h.Name)
		}
	}
	n.helloTurn += helloOthers
}

// helloAll tells every host which version is in force here.
func (n *Node) helloAll() {
	for _, h := range n.Hosts {
		n.helloTo(h.Name)
	}
}

func (n *Node) helloTo(host string) {
	if host == n.Self.Name {
		return
	}
	m := msgs.Hello{
		Host:         n.Self.Name,
		Address:      n.Self.Address,
		Incarnation:  n.Self.Incarnation,
		ListsVersion: n.force.Update.Version,
	}
	_ = n.Send(host, msgs.ServiceLists, m) // the next hello makes up for a lost one
}

// hello notes what another host has in force and helps it on if it lags.
func (n *Node) hello(m msgs.Hello, now time.Time) {
	p, ok := n.peers[m.Host]
	if !ok {
		return
	}
	if m.ListsVersion < n.force.Update.Version && p.needsUpdate(n.force.Update.Version, now) {
		n.sendUpdate(m.Host, time.Time{})
	}
	n.Hooks.Met(m.Host, m.Address)
	if before := p.processes.Current; p.processes.Observe(m.Incarnation) && before != 0 && before != m.Incarnation {
		n.Hooks.Restarted(m.Host)
	}
	p.version = m.ListsVersion
	p.seen = now
	p.reachable = true
	n.checkSpread(now)
}

func (n *Node) peerState(m Peer) {
	p, ok := n.peers[m.Host]
	if !ok {
		return
	}
	back := m.Reachable && !p.reachable
	p.reachable = m.Reachable
	if back && p.version < n.force.Update.Version {
		n.sendUpdate(m.Host, time.Time{})
	}
}

// checkSpread notes when the version in force here is in force on all hosts
// that can be reached.
func (n *Node) checkSpread(now time.Time) {
	if n.spread.done || n.spread.version == 0 {
		return
	}
	for _, p := range n.peers {
		if p.reachable && p.version < n.spread.version {
			return
		}
	}
	n.spread.done = true
	n.spread.took = now.Sub(n.spread.since)
	n.Hooks.Spread(n.spread.version, n.spread.took)
}
