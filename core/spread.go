package core

import (
	"cmp"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/quorum"
)

const (
	// waitingTimeout is the time after which a host that has sent no join request no longer waits: three
	// requests may be lost.
	waitingTimeout = 4 * joinInterval

	// settledAfter is how long a host must have waited without a break before a member of another data
	// centre that is well is replaced by it.
	settledAfter = 2 * memberTimeout
)

// waitingHost is a host that waits for a place in the core.
type waitingHost struct {
	dataCentre string
	since      time.Time // first of the join requests without a break
	seen       time.Time // latest join request
}

// vacancy is the state from which the leader decides which host replaces which member.
type vacancy struct {
	members []quorum.Member // by slot; an empty data centre is unknown
	lost    []bool          // by slot
	current bool            // all members have acknowledged the leader within a lease
	self    string          // the leader, which can't be replaced
	waiting []quorum.Member // hosts that wait for a place, the longest first
	settled []quorum.Member // those that have waited for settledAfter
}

// choose returns the slot to fill next and the host for it; the slot is -1 if there is none. It keeps the
// members spread over data centres under the loss of hosts and of whole data centres: a lost member is
// replaced by a host of its own data centre if one waits, or else by one of another, unless that would
// give a data centre a majority, with which it could decide alone while it is partitioned. When all are
// current, a host whose data centre has too few members replaces one of another.
func (v vacancy) choose() (slot int, host quorum.Member) {
	for slot, m := range v.members {
		if !v.lost[slot] || m.Name == v.self {
			continue
		}
		for _, w := range v.waiting {
			if w.DataCentre != "" && w.DataCentre == m.DataCentre {
				return slot, w
			}
		}
	}
	if v.current {
		return v.rebalance()
	}
	for slot, m := range v.members {
		if !v.lost[slot] || m.Name == v.self {
			continue
		}
		candidates := slices.DeleteFunc(slices.Clone(v.waiting), func(w quorum.Member) bool { return !v.mayReplace(slot, w) })
		if len(candidates) > 0 {
			return slot, slices.MinFunc(candidates, func(a, b quorum.Member) int { return cmp.Compare(v.count(a.DataCentre), v.count(b.DataCentre)) })
		}
	}
	return -1, quorum.Member{}
}

// mayReplace reports whether the replacement of a lost member leaves each data centre without a majority,
// apart from one that has it already.
func (v vacancy) mayReplace(slot int, w quorum.Member) bool {
	if w.DataCentre == "" {
		return true
	}
	majority, n := len(v.members)/2+1, v.count(w.DataCentre)
	return n+1 < majority || n >= majority || v.members[slot].DataCentre == w.DataCentre
}

// rebalance returns a replacement that makes the numbers of members per data centre more equal.
func (v vacancy) rebalance() (slot int, host quorum.Member) {
	for _, w := range v.settled {
		if w.DataCentre == "" {
			continue
		}
		for slot, m := range slices.Backward(v.members) {
			if m.Name != v.self && m.DataCentre != "" && v.count(m.DataCentre) >= v.count(w.DataCentre)+2 {
				return slot, w
			}
		}
	}
	return -1, quorum.Member{}
}

// count returns the number of members in a data centre, 0 if it is unknown.
func (v vacancy) count(dataCentre string) (n int) {
	for _, m := range v.members {
		if dataCentre != "" && m.DataCentre == dataCentre {
			n++
		}
	}
	return n
}

// noteWaiting records a join request and the data centre of its host.
func (n *Core) noteWaiting(host, dataCentre string, now time.Time) {
	if dataCentre != "" {
		n.dataCentres[host] = dataCentre
	}
	w := n.waiting[host]
	if now.Sub(w.seen) > waitingTimeout {
		w.since = now
	}
	w.dataCentre, w.seen = dataCentre, now
	n.waiting[host] = w
}

// vacancy returns the state of the members and of the hosts that wait.
func (n *Core) vacancy(status quorum.Status, now time.Time) vacancy {
	v := vacancy{
		members: n.located(status.Members), lost: make([]bool, len(status.Members)), self: n.Self,
		current: status.Current == len(status.Members),
	}
	for slot, m := range v.members {
		silentSince := n.lastContact[m.Name]
		if silentSince.Before(n.ledSince) {
			silentSince = n.ledSince // a new leader gives each member the time to answer
		}
		v.lost[slot] = !v.current && now.Sub(silentSince) >= memberTimeout
	}
	for host, w := range n.waiting {
		if now.Sub(w.seen) > waitingTimeout {
			delete(n.waiting, host)
			continue
		}
		if !slices.Contains(n.members, host) {
			v.waiting = append(v.waiting, quorum.Member{Name: host, DataCentre: w.dataCentre})
		}
	}
	slices.SortFunc(v.waiting, func(a, b quorum.Member) int {
		return cmp.Or(n.waiting[a.Name].since.Compare(n.waiting[b.Name].since), cmp.Compare(a.Name, b.Name))
	})
	for _, w := range v.waiting {
		if now.Sub(n.waiting[w.Name].since) >= settledAfter {
			v.settled = append(v.settled, w)
		}
	}
	return v
}

// located returns the members with the data centres that this host knows. Logs of older versions don't
// name them.
func (n *Core) located(members []quorum.Member) []quorum.Member {
	members = slices.Clone(members)
	for i, m := range members {
		members[i].DataCentre = cmp.Or(m.DataCentre, n.dataCentres[m.Name])
	}
	return members
}

// fillVacancy starts the replacement of a member if the host is the one to be chosen, and returns its
// slot, -1 if it isn't.
func (n *Core) fillVacancy(status quorum.Status, host string, now time.Time) int {
	slot, chosen := n.vacancy(status, now).choose()
	if slot < 0 || chosen.Name != host || n.replica.Replace(slot, chosen, now) != nil {
		return -1
	}
	return slot
}
