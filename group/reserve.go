package group

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/quota"
)

// hostReserve returns the part of a customer's limits that the member with the given index may use
// while it serves alone. It depends on the settings and the lists only, so that the primary and the
// member agree on it.
func (n *Member) hostReserve(customer string, limits quota.Limits, index int) quota.Limits {
	share := quota.Share(customer, limits, n.DataCentres, n.Self.DataCentre)
	return quota.Reserve(share, len(n.Members), index)
}

// ownIndex returns the index of this host among the members.
func (n *Member) ownIndex() int {
	return slices.IndexFunc(n.Members, func(m model.Host) bool { return m.Name == n.Self.Name })
}

// withheld returns the sum of the reserves of the members that may be serving alone, those without a
// valid promise.
func (n *Member) withheld(customer string, limits quota.Limits) quota.Limits {
	var sum quota.Limits
	for i, valid := range n.primary.promiseValid {
		if !valid {
			sum = sum.Plus(n.hostReserve(customer, limits, i))
		}
	}
	return sum
}

// updatePromises updates the shares when a member's promise not to serve alone becomes valid or
// expires: the primary may use the reserves of members with a valid promise.
func (n *Member) updatePromises(now time.Time) {
	changed := false
	for i, m := range n.Members {
		valid := n.primary.promises.Valid(m.Name, now)
		if valid != n.primary.promiseValid[i] {
			n.primary.promiseValid[i] = valid
			changed = true
		}
	}
	if changed {
		n.setShares(now)
	}
}
