package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// handleRenew processes the heartbeat of an entry host and answers with a lease.
func (n *Member) handleRenew(m msgs.Renew, now time.Time) {
	n.installations[m.Host] = m.Installation
	if m.Host == n.Self.Name {
		n.updateAlone(m, now)
	}
	if n.primary == nil {
		return
	}
	h := n.hostState(m, now)
	if _, begun := n.registry.Generation(); !begun {
		return
	}
	if !n.isMember(m.Host, m.Incarnation) {
		n.join(h, m)
		return
	}
	h.renewedAt = now
	current := m.View == n.primary.view && m.Generation == n.primary.generation
	if m.Reported && current && !h.reported {
		n.restoreGrants(m, now)
		h.reported = true
	}
	if m.Promised > 0 && current {
		n.primary.promises.Record(m.Host, n.startedAt.Add(m.Promised))
	}
	n.grantLease(h, m, now)
}

// hostState returns the primary's state of a host, and adds it for a new host.
func (n *Member) hostState(m msgs.Renew, now time.Time) *hostState {
	h, ok := n.primary.hosts[m.Host]
	if !ok {
		h = &hostState{incarnation: m.Incarnation, renewedAt: now}
		n.primary.hosts[m.Host] = h
	}
	return h
}

func (n *Member) isMember(host string, incarnation uint64) bool {
	current, ok := n.registry.Incarnation(host)
	return ok && current == incarnation
}

func (n *Member) grantLease(h *hostState, m msgs.Renew, now time.Time) {
	_ = n.Send(m.Host, msgs.ServiceJobs, msgs.Lease{
		Primary:    n.Self.Name,
		Generation: n.primary.generation,
		View:       n.primary.view,
		Fence:      n.registry.Fence(),
		SentAt:     m.SentAt,
		Duration:   n.Lease,
		NeedReport: !h.reported,
		PromiseAt:  now.Sub(n.startedAt),
		Unused:     n.primary.promises.Unused(m.Host, now),
	})
}

// join admits a new incarnation of a host. The claims of the previous incarnation fail, and its
// queued tasks are removed.
func (n *Member) join(h *hostState, m msgs.Renew) {
	if h.joining {
		return
	}
	h.joining = true
	c := claim.Command{Kind: claim.KindJoin, Host: m.Host, Incarnation: m.Incarnation}
	n.enqueue(c, func(r claim.Result) {
		h.joining = false
		if r.Refusal != nil {
			n.sendExpelled(m)
			return
		}
		if h.incarnation != m.Incarnation {
			n.primary.placer.HostLost(m.Host, h.incarnation, n.Now())
		}
		*h = hostState{incarnation: m.Incarnation, renewedAt: n.Now()}
		n.sendFailedOutcomes(r)
	})
}

// sendExpelled notifies a host that its incarnation was expelled.
func (n *Member) sendExpelled(m msgs.Renew) {
	_ = n.Send(m.Host, msgs.ServiceJobs, msgs.Lease{
		Primary: n.Self.Name, Generation: n.primary.generation, View: n.primary.view, SentAt: m.SentAt, Expelled: true,
	})
}

// sendFailedOutcomes sends the outcomes of the jobs that failed with a host to all that wait for them.
func (n *Member) sendFailedOutcomes(r claim.Result) {
	for _, o := range r.Failed {
		n.sendOutcome(o.Job, o.Host)
	}
}

// restoreGrants records the outstanding grants that a host has from an earlier primary.
func (n *Member) restoreGrants(m msgs.Renew, now time.Time) {
	p := n.activePlacer()
	var grants []place.Grant
	for _, g := range m.Outstanding {
		grants = append(grants, placeGrant(g))
		p.grants[g.ID] = placeGrant(g)
	}
	p.placer.Restore(m.Host, m.Incarnation, grants, now)
}

// expelExpiredHosts expels the hosts whose lease has certainly expired, also by a slow clock.
func (n *Member) expelExpiredHosts(now time.Time) {
	for _, registered := range n.registry.Hosts() {
		h, ok := n.primary.hosts[registered.Name]
		if !ok || h.incarnation != registered.Incarnation || h.joining {
			continue
		}
		if now.Sub(h.renewedAt) <= n.Lease+n.Lease/expiryMarginDivisor {
			continue
		}
		h.joining = true
		n.expelHost(registered)
	}
}

func (n *Member) expelHost(h claim.Host) {
	c := claim.Command{Kind: claim.KindExpel, Host: h.Name, Incarnation: h.Incarnation}
	n.enqueue(c, func(r claim.Result) {
		delete(n.primary.hosts, h.Name)
		n.primary.placer.HostLost(h.Name, h.Incarnation, n.Now())
		n.sendFailedOutcomes(r)
		n.reportRemoval(h, r)
	})
}
