package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/quota"
)

const (
	expiryMarginDivisor    = 5 // a host is expelled a fifth of a lease after its lease has expired, as clocks may drift
	installationWaitLeases = 5 // leases to wait for the state of the members' data folders
)

// updateLeadership becomes the primary or steps down, following the replica's status.
func (n *Member) updateLeadership(now time.Time) {
	s := n.replica.Status(now)
	switch {
	case n.primary != nil && (!s.Leading || s.View != n.primary.view || s.Generation != n.primary.generation):
		n.stepDown()
	case n.primary == nil && s.Leading:
		n.becomePrimary(s, now)
	}
	if n.primary != nil {
		n.proposeBegin(s.Generation, now)
		n.updatePromises(now)
	}
}

func (n *Member) stepDown() {
	n.learned = n.primary.placer.Learned()
	n.primary = nil
	n.log.DropPending()
}

// becomePrimary sets up the state of the primary. The placer grants nothing until every member has
// reported its outstanding grants, or its lease from the previous primary has expired. Grant IDs
// start at a random number, since a group that lost its state reuses earlier view numbers.
func (n *Member) becomePrimary(s quorum.Status, now time.Time) {
	n.alone = nil
	recoverUntil := now.Add(n.Lease + n.Lease/expiryMarginDivisor)
	var names []string
	for _, m := range n.Members {
		names = append(names, m.Name)
	}
	n.primary = &primaryState{
		placerState:    newPlacerState(s.View, place.New(place.RecoverUntil(recoverUntil, names...), place.FirstGrant(n.Random()>>1))),
		generation:     s.Generation,
		electedAt:      now,
		epochStartedAt: now,
		hosts:          map[string]*hostState{},
		joinedHosts:    map[string][]string{},
		pendingFetches: map[string][]pendingFetch{},
		loans:          newLoans(n.loanOptions()),
		promises:       quota.NewPromises(n.Alone),
		promiseValid:   make([]bool, len(n.Members)),
		learnedSentAt:  now,
	}
	for _, h := range n.registry.Hosts() {
		n.primary.hosts[h.Name] = &hostState{incarnation: h.Incarnation, renewedAt: now}
	}
	n.initPlacer(n.primary.placer, now)
	if _, begun := n.registry.Generation(); begun {
		n.enqueue(claim.Command{Kind: claim.KindNewView, View: s.View}, nil)
		n.enqueueQuota(quota.Command{Kind: quota.KindNewView}, func(quota.Result) { n.setShares(n.Now()) })
	}
}

// initPlacer passes the lists, the shares, the backend servers and the run times learned by the
// latest primary to a new placer.
func (n *Member) initPlacer(p *place.Placer, now time.Time) {
	p.SetLists(n.lists, now)
	n.setShares(now)
	for _, a := range n.backends {
		p.Announce(a.server, now)
	}
	p.SetLearned(n.learned)
}

// proposeBegin initializes the claim registry and the quota ledger of a group that has none. It
// waits until it is known whether this is a first installation, for at most installationWaitLeases
// leases.
func (n *Member) proposeBegin(generation uint64, now time.Time) {
	if _, begun := n.registry.Generation(); begun || n.primary.beginProposed {
		return
	}
	if !n.installationsKnown() && now.Sub(n.primary.electedAt) < installationWaitLeases*n.Lease {
		return
	}
	n.primary.beginProposed = true
	fresh := n.freshInstallation()
	if fresh {
		n.primary.promises.MarkUnused(now)
	}
	n.enqueue(claim.Command{
		Kind:              claim.KindBegin,
		Generation:        generation,
		Epoch:             n.Random(),
		Fence:             uint64(now.UnixMilli()), // greater than any fence of an earlier generation
		FirstInstallation: fresh,
	}, nil)
	n.enqueueQuota(quota.Command{
		Kind:              quota.KindBegin,
		DataCentres:       n.DataCentres,
		FirstInstallation: fresh,
	}, func(quota.Result) { n.setShares(n.Now()) })
}

// installationsKnown reports whether the state of all data folders is known.
func (n *Member) installationsKnown() bool {
	for _, name := range n.DiskMembers {
		if n.installations[name] == msgs.InstallationUnknown {
			return false
		}
	}
	return true
}

// freshInstallation reports whether the data centre has at least one data folder and all of them
// show that it has never run before.
func (n *Member) freshInstallation() bool {
	for _, name := range n.DiskMembers {
		if n.installations[name] != msgs.InstallationFresh {
			return false
		}
	}
	return len(n.DiskMembers) > 0
}

// rotateEpoch starts a new epoch of sessions when the current one is older than SessionEpoch.
func (n *Member) rotateEpoch(now time.Time) {
	if now.Sub(n.primary.epochStartedAt) < n.SessionEpoch {
		return
	}
	n.primary.epochStartedAt = now
	n.enqueue(claim.Command{Kind: claim.KindRotate, Epoch: n.Random()}, nil)
}
