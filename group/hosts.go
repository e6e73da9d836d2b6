package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// renew takes the sign of life of an entry host and answers with a lease.
func (n *Node) renew(m msgs.Renew, now time.Time) {
	n.shown[m.Host] = m.Installation
	if m.Host == n.Self.Name {
		n.followAlone(m, now)
	}
	if n.leading == nil {
		return
	}
	h := n.hear(m, now)
	if _, begun := n.book.Generation(); !begun {
		return
	}
	if !n.isMember(m.Host, m.Incarnation) {
		n.join(h, m)
		return
	}
	h.seen = now
	current := m.View == n.leading.view && m.Generation == n.leading.generation
	if m.Reported && current && !h.reported {
		n.restore(m, now)
		h.reported = true
	}
	if m.Promised > 0 && current {
		n.leading.promises.Record(m.Host, n.origin.Add(m.Promised))
	}
	n.grantLease(h, m, now)
}

// hear returns what the primary knows of a host.
func (n *Node) hear(m msgs.Renew, now time.Time) *member {
	h, ok := n.leading.hosts[m.Host]
	if !ok {
		h = &member{incarnation: m.Incarnation, seen: now}
		n.leading.hosts[m.Host] = h
	}
	return h
}

func (n *Node) isMember(host string, incarnation uint64) bool {
	current, ok := n.book.Incarnation(host)
	return ok && current == incarnation
}

func (n *Node) grantLease(h *member, m msgs.Renew, now time.Time) {
	_ = n.Send(m.Host, msgs.ServiceJobs, msgs.Lease{
		Primary:    n.Self.Name,
		Generation: n.leading.generation,
		View:       n.leading.view,
		Fence:      n.book.Fence(),
		SentAt:     m.SentAt,
		Duration:   n.Lease,
		NeedReport: !h.reported,
		PromiseAt:  now.Sub(n.origin),
		Unused:     n.leading.promises.Unused(m.Host, now),
	})
}

// join admits a new incarnation of a host. The claims of the one before fail, and
// what it queued is dropped.
func (n *Node) join(h *member, m msgs.Renew) {
	if h.joining {
		return
	}
	h.joining = true
	c := claim.Command{Kind: claim.KindJoin, Host: m.Host, Incarnation: m.Incarnation}
	n.enqueue(c, func(r claim.Result) {
		h.joining = false
		if r.Refusal != nil {
			n.sayExpelled(m)
			return
		}
		if h.incarnation != m.Incarnation {
			n.leading.placer.HostLost(m.Host, h.incarnation, n.Now())
		}
		*h = member{incarnation: m.Incarnation, seen: n.Now()}
		n.failed(r)
	})
}

// sayExpelled tells a host that its incarnation was given up.
func (n *Node) sayExpelled(m msgs.Renew) {
	_ = n.Send(m.Host, msgs.ServiceJobs, msgs.Lease{
		Primary: n.Self.Name, Generation: n.leading.generation, View: n.leading.view, SentAt: m.SentAt, Expelled: true,
	})
}

// failed tells everyone who waits of the jobs that failed with a host.
func (n *Node) failed(r claim.Result) {
	for _, o := range r.Failed {
		n.tellOutcome(o.Job, o.Host)
	}
}

// restore books what a host has outstanding from an earlier primary.
func (n *Node) restore(m msgs.Renew, now time.Time) {
	p := n.placing()
	var grants []place.Grant
	for _, g := range m.Outstanding {
		grants = append(grants, placeGrant(g))
		p.grants[g.ID] = placeGrant(g)
	}
	p.placer.Restore(m.Host, m.Incarnation, grants, now)
}

// expel gives up the hosts whose lease has certainly ended.
func (n *Node) expel(now time.Time) {
	for _, booked := range n.book.Hosts() {
		h, ok := n.leading.hosts[booked.Name]
		if !ok || h.incarnation != booked.Incarnation || h.joining {
			continue
		}
		if now.Sub(h.seen) <= n.Lease+n.Lease/leaseMargin {
			continue
		}
		h.joining = true
		n.expelOne(booked)
	}
}

func (n *Node) expelOne(h claim.Host) {
	c := claim.Command{Kind: claim.KindExpel, Host: h.Name, Incarnation: h.Incarnation}
	n.enqueue(c, func(r claim.Result) {
		delete(n.leading.hosts, h.Name)
		n.leading.placer.HostLost(h.Name, h.Incarnation, n.Now())
		n.failed(r)
		n.reportGone(h, r)
	})
}
