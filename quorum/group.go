package quorum

import "slices"

// group is the committed membership and at most one pending replacement, which is in the log but not
// committed yet.
//
// A replacement and the entries after it are committed once the new member and a majority of the
// old members, not counting the replaced one, hold them. Every majority of the old and of the new
// members then contains a member that knows of the replacement, and a member that knows of it
// requires a majority of both.
type group struct {
	epoch   uint64 // op of the latest committed replacement
	members []Member
	pending *Entry // replacement in the log that is not committed yet, or nil
}

// memberSlot returns the slot of a member, -1 for other hosts.
func (g *group) memberSlot(name string) int {
	return slices.IndexFunc(g.members, func(m Member) bool { return m.Name == name })
}

func (g *group) primarySlot(view uint64) int {
	return int(view % uint64(len(g.members)))
}

func (g *group) primary(view uint64) string {
	return g.members[g.primarySlot(view)].Name
}

func (g *group) majority() int {
	return len(g.members)/2 + 1
}

// includes reports whether the host is a member or the new member of the pending replacement.
func (g *group) includes(name string) bool {
	return g.memberSlot(name) >= 0 || (g.pending != nil && g.pending.Replace == name)
}

// others returns the names of all hosts but the given one, including a pending new member.
func (g *group) others(self string) []string {
	names := make([]string, 0, len(g.members)+1)
	for _, m := range g.members {
		if m.Name != self {
			names = append(names, m.Name)
		}
	}
	if g.pending != nil && g.pending.Replace != self {
		names = append(names, g.pending.Replace)
	}
	return names
}

// hasQuorum reports whether the hosts for which has returns true are a majority; while a replacement
// is pending, a majority of both the old and the new members.
func (g *group) hasQuorum(has func(name string) bool) bool {
	oldCount, replaced := g.count(has)
	if oldCount < g.majority() {
		return false
	}
	if g.pending == nil {
		return true
	}
	newCount := oldCount
	if replaced {
		newCount--
	}
	if has(g.pending.Replace) {
		newCount++
	}
	return newCount >= g.majority()
}

// canCommit reports whether an entry that those hosts hold is committed.
func (g *group) canCommit(op uint64, holds func(name string) bool) bool {
	oldCount, replaced := g.count(holds)
	if g.pending == nil || op < g.pending.Op {
		return oldCount >= g.majority()
	}
	if replaced {
		oldCount--
	}
	return oldCount >= g.majority() && holds(g.pending.Replace)
}

// count returns the number of members for which has returns true, and whether the member to be
// replaced is among them.
func (g *group) count(has func(name string) bool) (n int, replaced bool) {
	for i, m := range g.members {
		if !has(m.Name) {
			continue
		}
		n++
		if g.pending != nil && g.pending.Slot == i {
			replaced = true
		}
	}
	return n, replaced
}

// applyReplacement applies a committed replacement unless the membership already includes it.
func (g *group) applyReplacement(e Entry) {
	if e.Op <= g.epoch {
		return
	}
	g.members = slices.Clone(g.members)
	g.members[e.Slot] = Member{Name: e.Replace, DataCentre: e.DataCentre}
	g.epoch = e.Op
	if g.pending != nil && g.pending.Op == e.Op {
		g.pending = nil
	}
}

// adoptNewer adopts a later committed membership and reports whether it did. The replica's log may
// not have reached its epoch yet, which is safe: every majority of the later membership contains
// members that hold all entries that earlier majorities committed.
func (g *group) adoptNewer(epoch uint64, members []Member) bool {
	if epoch <= g.epoch || len(members) == 0 {
		return false
	}
	g.epoch, g.members = epoch, members
	if g.pending != nil && g.pending.Op <= epoch {
		g.pending = nil
	}
	return true
}

// slotWithPending returns the slot of a member or of the pending new member, -1 for other hosts.
func (g *group) slotWithPending(name string) int {
	if g.pending != nil && g.pending.Replace == name {
		return g.pending.Slot
	}
	return g.memberSlot(name)
}
