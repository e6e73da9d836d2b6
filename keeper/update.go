package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Peer tells whether another host can be reached.
type PeerState struct {
	Host      string
	Reachable bool
}

// adopt puts a version in force unless it is older than the one in force.
func (n *Keeper) activate(u lists.Update, committed time.Time) {
	if !lists.Newer(u, n.active.Update) {
		return
	}
	if n.Disk != nil {
		if err := n.Disk.SaveActive(u); err != nil {
			n.Hooks.Failed(err)
			return
		}
	}
	if _, err := n.active.Adopt(u); err != nil {
		n.Hooks.Failed(err)
		return
	}
	now := n.Now()
	delay := time.Duration(0)
	if !committed.IsZero() {
		delay = max(now.Sub(committed), 0)
	}
	n.Hooks.Activated(n.active, delay)
	n.replication = replication{version: u.Version, startedAt: now}
	n.sendToLagging(committed)
}

// pass sends the version in force to the hosts that aren't known to have it.
func (n *Keeper) sendToLagging(committed time.Time) {
	for name, p := range n.peers {
		if p.version < n.active.Update.Version && p.reachable {
			n.sendUpdate(name, committed)
		}
	}
}

func (n *Keeper) sendUpdate(to string, committed time.Time) {
	p := n.peers[to]
	p.sent = n.active.Update.Version
	p.sentAt = n.Now()
	m := msgs.ListsUpdate{Update: n.active.Update, CommittedAt: committed}
	_ = n.Send(to, msgs.ServiceLists, m) // the next hello shows what still lacks
}

// needsUpdate reports whether a version was not sent, or so long ago that it
// seems lost.
func (p *peer) needsUpdate(version uint64, now time.Time) bool {
	return p.sent < version || now.Sub(p.sentAt) > updateTimeout
}

// update takes a version from another host. A host that started empty waits for
// a while, so that it begins with the newest version that others have.
func (n *Keeper) handleUpdate(m msgs.ListsUpdate, now time.Time) {
	if n.active.Update.Version == 0 && now.Before(n.discoverUntil) {
		if lists.Newer(m.Update, n.pending) {
			n.pending = m.Update
		}
		return
	}
	n.activate(m.Update, m.CommittedAt)
	n.sendHelloToAll()
}

func (n *Keeper) activatePending(now time.Time) {
	if n.pending.Version == 0 || now.Before(n.discoverUntil) {
		return
	}
	n.activate(n.pending, time.Time{})
	n.pending = lists.Update{}
}

// sayHello tells a few hosts now and then which version is in force here: those
// of the data centre, those that keep the lists, and others in turn.
func (n *Keeper) sendHellos(now time.Time) {
	if now.Sub(n.lastHello) < helloInterval {
		return
	}
	first := n.lastHello.IsZero()
	n.lastHello = now
	if first {
		n.sendHelloToAll() // this host may have a new address
		return
	}
	for i, h := range n.Hosts {
		near := h.DataCentre == n.Self.DataCentre || n.isMember(h.Name)
		turn := (i+n.helloOffset)%len(n.Hosts) < hellosInTurn
		if near || turn {
			n.sendHello(h.Name)
		}
	}
	n.helloOffset += hellosInTurn
}

// helloAll tells every host which version is in force here.
func (n *Keeper) sendHelloToAll() {
	for _, h := range n.Hosts {
		n.sendHello(h.Name)
	}
}

func (n *Keeper) sendHello(host string) {
	if host == n.Self.Name {
		return
	}
	m := msgs.Hello{
		Host:         n.Self.Name,
		Address:      n.Self.Address,
		Incarnation:  n.Self.Incarnation,
		ListsVersion: n.active.Update.Version,
	}
	_ = n.Send(host, msgs.ServiceLists, m) // the next hello makes up for a lost one
}

// hello notes what another host has in force and helps it on if it lags.
func (n *Keeper) handleHello(m msgs.Hello, now time.Time) {
	p, ok := n.peers[m.Host]
	if !ok {
		return
	}
	if m.ListsVersion < n.active.Update.Version && p.needsUpdate(n.active.Update.Version, now) {
		n.sendUpdate(m.Host, time.Time{})
	}
	n.Hooks.HelloReceived(m.Host, m.Address)
	if before := p.processes.Present; p.processes.Hear(m.Incarnation) && before != 0 && before != m.Incarnation {
		n.Hooks.Restarted(m.Host)
	}
	p.version = m.ListsVersion
	p.seen = now
	p.reachable = true
	n.checkReplicated(now)
}

func (n *Keeper) handlePeerState(m PeerState) {
	p, ok := n.peers[m.Host]
	if !ok {
		return
	}
	back := m.Reachable && !p.reachable
	p.reachable = m.Reachable
	if back && p.version < n.active.Update.Version {
		n.sendUpdate(m.Host, time.Time{})
	}
}

// checkSpread notes when the version in force here is in force on all hosts
// that can be reached.
func (n *Keeper) checkReplicated(now time.Time) {
	if n.replication.done || n.replication.version == 0 {
		return
	}
	for _, p := range n.peers {
		if p.reachable && p.version < n.replication.version {
			return
		}
	}
	n.replication.done = true
	n.replication.duration = now.Sub(n.replication.startedAt)
	n.Hooks.Replicated(n.replication.version, n.replication.duration)
}
