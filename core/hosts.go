package core

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Seeds tells a Node the seeds of newer settings.
type Seeds struct {
	Hosts []string
}

func (n *Node) handleRenew(m msgs.HostRenew, now time.Time) {
	if n.watch != nil {
		n.watch.Renew(m, now)
	}
	n.notify(m.Host, m.Routes, now)
}

// keep commits the table of a placer: after a loss of all entry hosts the next
// one begins with it.
func (n *Node) commitTable(t model.ServerTable) {
	if n.watch != nil && t.Newer(n.state.Table(t.DataCentre)) {
		n.log.Enqueue(fleet.Command{Kind: fleet.KindTable, Table: &t}, nil)
	}
}

// exchangeTable adds what a placer's host lacks of the table of backend servers,
// or asks it for a newer one.
func (n *Node) exchangeTable(host string, reply *msgs.HostRenewed, now time.Time) {
	if n.watch == nil {
		return
	}
	m, ok := n.watch.Renewal(host)
	p, kept := n.state.Placement(m.DataCentre), n.state.Table(m.DataCentre)
	has := model.ServerTable{Epoch: m.Epoch, Version: m.Servers}
	switch {
	case !ok || p.Host != host || p.Incarnation != m.Incarnation:
	case m.Epoch < p.Epoch && kept.Newer(has):
		reply.Table = &kept
	case m.Epoch == p.Epoch && has.Newer(kept) && now.Sub(n.tableRequestedAt[m.DataCentre]) >= tableInterval:
		n.tableRequestedAt[m.DataCentre] = now
		reply.Keep = true
	}
}

// tellAll tells all hosts what has been committed.
func (n *Node) notifyAll() {
	if n.watch == nil {
		return
	}
	now := n.Now()
	for _, host := range n.watch.Hosts() {
		n.notify(host, n.sent[host].version, now)
	}
}

// tell answers a host with what this one knows to be committed. The document is
// left out when the host has it or was sent it a moment ago.
func (n *Node) notify(host string, has uint64, now time.Time) {
	reply := msgs.HostRenewed{
		Host:       n.Self,
		Leader:     n.leader,
		Members:    n.members,
		Placements: n.placements(),
	}
	newest := n.state.Routes()
	last := n.sent[host]
	if newest.Version > has && (last.version != newest.Version || now.Sub(last.at) > resendAfter) {
		reply.Routes = &newest
		n.sent[host] = sentRoutes{version: newest.Version, at: now}
	}
	n.exchangeTable(host, &reply, now)
	_ = n.Send(host, msgs.ServiceEntry, reply) // the host asks again
}

// askToJoin asks the seeds and the members known in turn until this host can
// take part.
func (n *Node) requestJoin(now time.Time) {
	if now.Before(n.joinAt) {
		return
	}
	n.joinAt = now.Add(joinInterval)
	n.sendJoin(msgs.CoreJoin{Host: n.Self, Founding: n.founders != nil})
	n.bootstrapCore(now)
}

// askCore asks the seeds and the members known.
func (n *Node) sendJoin(m msgs.CoreJoin) {
	hosts := slices.Concat(n.Seeds, n.members)
	slices.Sort(hosts)
	for _, host := range slices.Compact(hosts) {
		if host != n.Self {
			_ = n.Send(host, msgs.ServiceCore, m) // asked again
		}
	}
}

// foundCore begins the core with all hosts that have asked to. Only the first of
// the seeds does, so that there is one list of members.
func (n *Node) bootstrapCore(now time.Time) {
	if n.founders == nil || now.Before(n.bootstrapAt) || n.Self != slices.Min(n.Seeds) || !n.seedsReady() {
		return
	}
	members := slices.Sorted(maps.Keys(n.founders))
	for _, host := range members {
		if host != n.Self {
			_ = n.Send(host, msgs.ServiceCore, msgs.CoreFound{Members: members}) // a host that asks again is told again
		}
	}
	n.bootstrap(members)
}

// seedsAsk tells whether all seeds want to found the core.
func (n *Node) seedsReady() bool {
	for _, seed := range n.Seeds {
		if !n.founders[seed] {
			return false
		}
	}
	return true
}

// found takes part in a core that begins.
func (n *Node) bootstrap(members []string) {
	if n.replica == nil && n.founders != nil && slices.Contains(members, n.Self) {
		n.startReplica(members)
	}
}

func (n *Node) handleJoin(m msgs.CoreJoin, now time.Time) {
	reply := msgs.CoreJoined{Host: n.Self, Leader: n.leader, Members: n.members, Slot: -1, Placements: n.placements()}
	if n.replica == nil {
		if m.Founding && n.founders != nil {
			n.founders[m.Host] = true
		}
		return
	}
	status := n.replica.Status(now)
	if status.Recovering {
		if m.Founding && n.founders != nil && slices.Contains(n.members, m.Host) {
			_ = n.Send(m.Host, msgs.ServiceCore, msgs.CoreFound{Members: n.members}) // the host asks again
		}
		return
	}
	if n.watch != nil && !n.fullDisk.active && !slices.Contains(n.members, m.Host) {
		reply.Slot = n.replaceLost(status, m.Host, now)
	}
	_ = n.Send(m.Host, msgs.ServiceCore, reply) // the host asks again
}

// replace begins to replace a lost member, if there is one, and returns its slot.
func (n *Node) replaceLost(status quorum.Status, host string, now time.Time) int {
	if status.Current == len(status.Members) {
		return -1
	}
	for slot, m := range status.Members {
		if m.Name == n.Self || now.Sub(n.lastContact[m.Name]) < memberTimeout {
			continue
		}
		if err := n.replica.Replace(slot, quorum.Member{Name: host}, now); err != nil {
			continue
		}
		return slot
	}
	return -1
}

// joined takes part as the answer says: as a member that lost its state, or in
// the place of a lost one.
func (n *Node) handleJoined(m msgs.CoreJoined) {
	if n.replica != nil {
		n.followLeader(m)
		return
	}
	n.leader, n.members = m.Leader, m.Members
	n.reportedPlacements = m.Placements
	switch {
	case slices.Contains(m.Members, n.Self):
		n.startReplica(m.Members, quorum.WithRecovering())
	case m.Slot >= 0 && m.Slot < len(m.Members):
		members := slices.Clone(m.Members)
		members[m.Slot] = n.Self
		n.startReplica(members, quorum.WithRecovering(), quorum.WithLearner())
	}
}
