package core

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

const (
	// maxNeighbours is the number of entry hosts that are asked for the members while no member answers.
	maxNeighbours = 4

	// neighbourInterval is the time between such requests.
	neighbourInterval = time.Second
)

// loadMembers sets the members that this host knew before its start: those of its replica or, if it had
// none, those that it has stored.
func (n *Core) loadMembers() {
	n.members, n.memberEpoch = n.Disk.Members, n.Disk.MemberEpoch
	if n.Disk.Saved != nil {
		n.noteMembers(n.Disk.Saved.Vote.Members)
	}
	if s := n.Disk.Saved; s != nil && len(s.Vote.Members) > 0 && (len(n.members) == 0 || s.Vote.Epoch > n.memberEpoch) {
		n.members, n.memberEpoch = memberNames(s.Vote.Members), s.Vote.Epoch
	}
}

// adoptMembers takes over the members from a reply and reports whether it did. Those of a host that is no
// member may be outdated and are only asked, too.
func (n *Core) adoptMembers(m msgs.CoreJoined, now time.Time) bool {
	switch {
	case len(m.Members) == 0:
		return false
	case !slices.Contains(m.Members, m.Host):
		n.hints = m.Members
		return false
	case m.Epoch < n.memberEpoch:
		return false
	}
	changed := m.Epoch != n.memberEpoch || !slices.Equal(m.Members, n.members)
	n.members, n.memberEpoch, n.memberContact, n.hints = m.Members, m.Epoch, now, nil
	if changed && n.Disk.StoreMembers != nil {
		if err := n.Disk.StoreMembers(m.Epoch, m.Members); err != nil {
			n.Hooks.MembersNotStored(err)
		}
	}
	return true
}

// sendJoin sends a join request to the members, or to all hosts of which this one has heard if it knows
// no member or none has answered for memberTimeout.
func (n *Core) sendJoin(m msgs.CoreJoin, now time.Time) {
	hosts := slices.Clone(n.members)
	if silent := now.Sub(n.memberContact) >= memberTimeout; silent || len(hosts) == 0 {
		hosts = slices.Concat(hosts, n.hints, n.Seeds)
		n.askNeighbours(now)
	}
	slices.Sort(hosts)
	for _, host := range slices.Compact(hosts) {
		if host != n.Self {
			_ = n.Send(host, msgs.ServiceCore, m) // retried after joinInterval
		}
	}
}

// addNeighbour records an entry host that has renewed here.
func (n *Core) addNeighbour(host string) {
	if slices.Contains(n.neighbours, host) {
		return
	}
	if n.neighbours = append(n.neighbours, host); len(n.neighbours) > maxNeighbours {
		n.neighbours = n.neighbours[1:]
	}
}

// askNeighbours asks entry hosts for the members.
func (n *Core) askNeighbours(now time.Time) {
	if now.Before(n.neighboursAt) {
		return
	}
	n.neighboursAt = now.Add(neighbourInterval)
	for _, host := range n.neighbours {
		_ = n.Send(host, msgs.ServiceEntry, msgs.CoreJoin{Host: n.Self}) // sent again after neighbourInterval
	}
}

// memberList returns the members with these names, in the order of their slots.
func memberList(names []string) []quorum.Member {
	members := make([]quorum.Member, len(names))
	for i, name := range names {
		members[i] = quorum.Member{Name: name}
	}
	return members
}

func memberNames(members []quorum.Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	return names
}
