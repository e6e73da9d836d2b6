package quorum

import "slices"

// group is the committed membership and at most one replacement that is in the
// log but not committed yet.
//
// A replacement and the entries after it commit once a majority of the old
// members that doesn't count the replaced one, and the new member, hold them.
// Every majority of the old and of the new members then contains one that knows
// of the replacement, and whoever knows of it asks for a majority of both.
type group struct {
	epoch   uint64 // op of the latest committed replacement
	members []Member
	pending *Entry
}

func (g *group) memberSlot(name string) int {
	return slices.Index(g.members, Member{Name: name})
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

// knows tells whether the host is a member or about to become one.
func (g *group) includes(name string) bool {
	return g.memberSlot(name) >= 0 || (g.pending != nil && g.pending.Replace == name)
}

// others returns the names of all hosts but the given one.
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

// quorum tells whether those for whom has is true are a majority, of both
// memberships while a replacement is pending.
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

// commits tells whether an entry that those hosts hold is committed.
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

// count returns how many members has is true for and whether the one that is
// about to be replaced is among them.
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

// apply takes over a committed replacement, unless it is known already.
func (g *group) applyReplacement(e Entry) {
	if e.Op <= g.epoch {
		return
	}
	g.members = slices.Clone(g.members)
	g.members[e.Slot] = Member{Name: e.Replace}
	g.epoch = e.Op
	if g.pending != nil && g.pending.Op == e.Op {
		g.pending = nil
	}
}

// advance takes over a later membership. That it was committed stays true, so it
// may be used before the own log has come as far: some of every majority of it
// hold all that earlier majorities committed.
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

// slotOf returns the slot of a member or of one that is about to become it.
func (g *group) slotWithPending(name string) int {
	if g.pending != nil && g.pending.Replace == name {
		return g.pending.Slot
	}
	return g.memberSlot(name)
}
