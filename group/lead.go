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
	leaseMargin  = 5 // a host is given up a fifth of a lease after its lease has ended
	diskPatience = 5 // leases to wait for what the members' data folders show
)

// lead follows the replica in taking up and laying down the lead.
func (n *Node) lead(now time.Time) {
	s := n.replica.Status(now)
	switch {
	case n.leading != nil && (!s.Leading || s.View != n.leading.view || s.Generation != n.leading.generation):
		n.layDown()
	case n.leading == nil && s.Leading:
		n.takeUp(s, now)
	}
	if n.leading != nil {
		n.begin(s.Generation, now)
		n.checkPromises(now)
	}
}

func (n *Node) layDown() {
	n.learned = n.leading.placer.Learned()
	n.leading = nil
	n.log.DropPending()
}

// takeUp begins to lead. Nothing is granted before the members have reported
// what they have outstanding, or their leases from the last primary have ended.
// Grants are counted from a random number, since a group that lost its memory
// comes to views that it has had before.
func (n *Node) takeUp(s quorum.Status, now time.Time) {
	n.alone = nil
	settled := now.Add(n.Lease + n.Lease/leaseMargin)
	var names []string
	for _, m := range n.Members {
		names = append(names, m.Name)
	}
	n.leading = &leading{
		placing:     newPlacing(s.View, place.New(place.RecoverUntil(settled, names...), place.FirstGrant(n.Random()>>1))),
		generation:  s.Generation,
		since:       now,
		rotated:     now,
		hosts:       map[string]*member{},
		joins:       map[string][]string{},
		fetches:     map[string][]waiting{},
		loans:       newLoans(n.loanOptions()),
		promises:    quota.NewPromises(n.Alone),
		held:        make([]bool, len(n.Members)),
		learnedSent: now,
	}
	for _, h := range n.book.Hosts() {
		n.leading.hosts[h.Name] = &member{incarnation: h.Incarnation, seen: now}
	}
	n.fill(n.leading.placer, now)
	if _, begun := n.book.Generation(); begun {
		n.enqueue(claim.Command{Kind: claim.KindNewView, View: s.View}, nil)
		n.enqueueQuota(quota.Command{Kind: quota.KindNewView}, func(quota.Result) { n.setShares(n.Now()) })
	}
}

// fill tells a new placer the lists, the shares, the backend servers and what
// the latest primary has learned.
func (n *Node) fill(p *place.Placer, now time.Time) {
	p.SetLists(n.lists, now)
	n.setShares(now)
	for _, a := range n.backends {
		p.Announce(a.server, now)
	}
	p.SetLearned(n.learned)
}

// begin starts the book of a group that has none yet, once it is known whether
// this is a first installation.
func (n *Node) begin(generation uint64, now time.Time) {
	if _, begun := n.book.Generation(); begun || n.leading.beginning {
		return
	}
	if !n.disksKnown() && now.Sub(n.leading.since) < diskPatience*n.Lease {
		return
	}
	n.leading.beginning = true
	fresh := n.freshInstallation()
	if fresh {
		n.leading.promises.MarkUnused(now)
	}
	n.enqueue(claim.Command{
		Kind:              claim.KindBegin,
		Generation:        generation,
		Epoch:             n.Random(),
		Fence:             uint64(now.UnixMilli()), // above any of an earlier generation
		FirstInstallation: fresh,
	}, nil)
	n.enqueueQuota(quota.Command{
		Kind:              quota.KindBegin,
		DataCentres:       n.DataCentres,
		FirstInstallation: fresh,
	}, func(quota.Result) { n.setShares(n.Now()) })
}

// disksKnown reports whether it is known what all data folders show.
func (n *Node) disksKnown() bool {
	for _, name := range n.Disks {
		if n.shown[name] == msgs.InstallationUnknown {
			return false
		}
	}
	return true
}

// freshInstallation reports whether every data folder of the data centre, and at
// least one, shows that it never ran before.
func (n *Node) freshInstallation() bool {
	for _, name := range n.Disks {
		if n.shown[name] != msgs.InstallationFresh {
			return false
		}
	}
	return len(n.Disks) > 0
}

// rotate starts a new epoch of sessions when the current one is old.
func (n *Node) rotate(now time.Time) {
	if now.Sub(n.leading.rotated) < n.SessionEpoch {
		return
	}
	n.leading.rotated = now
	n.enqueue(claim.Command{Kind: claim.KindRotate, Epoch: n.Random()}, nil)
}
