package keeper

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// PeerState is a message that reports whether another host is reachable.
type PeerState struct {
	Host      string
	Reachable bool
}

// activate activates a version if it is newer than the active one, and sends it to
// the hosts with an older one. The version is written to disk first, so that a
// restarted host doesn't return to an earlier one. A zero commit time means unknown.
func (k *Keeper) activate(u lists.Update, committed time.Time) {
	if !lists.Newer(u, k.active.Update) {
		return
	}
	if k.Disk != nil {
		if err := k.Disk.SaveActive(u); err != nil {
			k.Hooks.Failed(err)
			return
		}
	}
	if _, err := k.active.Adopt(u); err != nil {
		k.Hooks.Failed(err)
		return
	}
	now := k.Now()
	delay := time.Duration(0)
	if !committed.IsZero() {
		delay = max(now.Sub(committed), 0)
	}
	k.Hooks.Activated(k.active, delay)
	k.replication = replication{version: u.Version, startedAt: now}
	k.sendToLagging(committed)
}

// sendToLagging sends the active version to the reachable hosts that aren't known to
// have it.
func (k *Keeper) sendToLagging(committed time.Time) {
	for name, p := range k.peers {
		if p.version < k.active.Update.Version && p.reachable {
			k.sendUpdate(name, committed)
		}
	}
}

func (k *Keeper) sendUpdate(to string, committed time.Time) {
	p := k.peers[to]
	p.sent = k.active.Update.Version
	p.sentAt = k.Now()
	m := msgs.ListsUpdate{Update: k.active.Update, CommittedAt: committed}
	_ = k.Send(to, msgs.ServiceLists, m) // if it is lost, the next hello shows the old version
}

// needsUpdate reports whether a version hasn't been sent to the peer, or was sent more
// than updateTimeout ago and is presumed lost.
func (p *peer) needsUpdate(version uint64, now time.Time) bool {
	return p.sent < version || now.Sub(p.sentAt) > updateTimeout
}

// handleUpdate activates a version received from another host. A host without an
// active version collects updates until discoverUntil, so that it starts with the
// newest version that other hosts have.
func (k *Keeper) handleUpdate(m msgs.ListsUpdate, now time.Time) {
	if k.active.Update.Version == 0 && now.Before(k.discoverUntil) {
		if lists.Newer(m.Update, k.pending) {
			k.pending = m.Update
		}
		return
	}
	k.activate(m.Update, m.CommittedAt)
	k.sendHelloToAll()
}

// activatePending activates the newest version collected until discoverUntil.
func (k *Keeper) activatePending(now time.Time) {
	if k.pending.Version == 0 || now.Before(k.discoverUntil) {
		return
	}
	k.activate(k.pending, time.Time{})
	k.pending = lists.Update{}
}

// sendHellos announces the active version every helloInterval: to the hosts of this
// data centre, the members of the lists group, and hellosInTurn hosts in rotation.
func (k *Keeper) sendHellos(now time.Time) {
	if now.Sub(k.lastHello) < helloInterval {
		return
	}
	first := k.lastHello.IsZero()
	k.lastHello = now
	if first {
		k.sendHelloToAll() // the first round goes to all hosts, since the address may be new
		return
	}
	for i, h := range k.Hosts {
		always := h.DataCentre == k.Self.DataCentre || k.isMember(h.Name)
		inTurn := (i+k.helloOffset)%len(k.Hosts) < hellosInTurn
		if always || inTurn {
			k.sendHello(h.Name)
		}
	}
	k.helloOffset += hellosInTurn
}

// sendHelloToAll announces the active version to every other host.
func (k *Keeper) sendHelloToAll() {
	for _, h := range k.Hosts {
		k.sendHello(h.Name)
	}
}

func (k *Keeper) sendHello(host string) {
	if host == k.Self.Name {
		return
	}
	m := msgs.Hello{
		Host:         k.Self.Name,
		Address:      k.Self.Address,
		Incarnation:  k.Self.Incarnation,
		ListsVersion: k.active.Update.Version,
	}
	_ = k.Send(host, msgs.ServiceLists, m) // the next hello replaces a lost one
}

// handleHello records the active version of another host, and sends it the local one
// if that is newer.
func (k *Keeper) handleHello(m msgs.Hello, now time.Time) {
	p, ok := k.peers[m.Host]
	if !ok {
		return
	}
	if m.ListsVersion < k.active.Update.Version && p.needsUpdate(k.active.Update.Version, now) {
		k.sendUpdate(m.Host, time.Time{})
	}
	k.Hooks.HelloReceived(m.Host, m.Address)
	if before := p.processes.Current; p.processes.Observe(m.Incarnation) && before != 0 && before != m.Incarnation {
		k.Hooks.Restarted(m.Host)
	}
	p.version = m.ListsVersion
	p.seen = now
	p.reachable = true
	k.checkReplicated(now)
}

// handlePeerState records whether a host is reachable. A host that became reachable
// is sent the active version if it lags.
func (k *Keeper) handlePeerState(m PeerState) {
	p, ok := k.peers[m.Host]
	if !ok {
		return
	}
	recovered := m.Reachable && !p.reachable
	p.reachable = m.Reachable
	if recovered && p.version < k.active.Update.Version {
		k.sendUpdate(m.Host, time.Time{})
	}
}

// checkReplicated records the time at which the active version is active on all
// reachable hosts.
func (k *Keeper) checkReplicated(now time.Time) {
	if k.replication.done || k.replication.version == 0 {
		return
	}
	for _, p := range k.peers {
		if p.reachable && p.version < k.replication.version {
			return
		}
	}
	k.replication.done = true
	k.replication.duration = now.Sub(k.replication.startedAt)
	k.Hooks.Replicated(k.replication.version, k.replication.duration)
}
