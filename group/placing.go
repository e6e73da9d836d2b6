package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// handleAnnounce records the announcement of a backend server. Every member does so, so that the
// next primary knows the server.
func (n *Member) handleAnnounce(b model.BackendServer, now time.Time) {
	b.Lease = min(b.Lease, n.BackendLease)
	known, ok := n.backends[b.Name]
	if !ok || known.server.Address != b.Address {
		n.Hooks.Announced(b)
	}
	b.Slots = min(b.Slots, n.hostConnections(b.Connections))
	n.backends[b.Name] = announcement{server: b, expires: now.Add(b.Lease)}
	if p := n.activePlacer(); p != nil {
		p.placer.Announce(b, now)
	}
}

// hostConnections returns how many connections to a backend server one entry host of the data centre
// may open. The number of used slots is limited to the same number, so that no call waits for a
// connection.
func (n *Member) hostConnections(connections int) int {
	return max(connections/len(n.Members), 1)
}

func (n *Member) removeBackend(name string, now time.Time) {
	delete(n.backends, name)
	n.Hooks.BackendLeft(name)
	if p := n.activePlacer(); p != nil {
		p.placer.Leave(name, now)
	}
}

func (n *Member) expireBackends(now time.Time) {
	for name, a := range n.backends {
		if now.After(a.expires) {
			delete(n.backends, name)
		}
	}
}

func (n *Member) setLists(l model.Lists, now time.Time) {
	n.lists = l
	n.plans = plansByCustomer(l)
	if p := n.activePlacer(); p != nil {
		p.placer.SetLists(l, now)
		n.setShares(now)
	}
}

// handleDone processes the completion of a granted task. A task that certainly did not start is
// queued again within the retry budgets.
func (n *Member) handleDone(m msgs.Done, now time.Time) {
	p := n.activePlacer()
	g, ok := p.grants[m.Grant]
	if !ok {
		return
	}
	delete(p.grants, m.Grant)
	p.placer.Complete(place.Completion{Grant: m.Grant, Result: placeResult(m.Result), RunTime: m.Ran}, now)
	if m.Result != msgs.ResultNotStarted {
		return
	}
	shape := place.Shape{Index: g.Task, Service: g.Service, MemoryBytes: g.MemoryBytes, Accelerators: g.Accelerators}
	if refusal := p.placer.Retry(g.Job, shape, now); refusal != nil && refusal.Code != model.CodeNotFound {
		n.countRefusal(g.Customer, refusal.Code)
		_ = n.Send(g.Host, msgs.ServiceJobs, msgs.JobRefused{Job: g.Job, Refusal: refusal})
	}
}

// sendPlacements sends the grants and refusals that the placer decided.
func (n *Member) sendPlacements() {
	p := n.activePlacer()
	if p == nil {
		return
	}
	out := p.placer.Drain()
	for _, g := range out.Grants {
		p.grants[g.ID] = g
		_ = n.Send(g.Host, msgs.ServiceJobs, n.wireGrant(g))
	}
	for _, r := range out.Refusals {
		n.countRefusal(r.Customer, r.Refusal.Code)
		_ = n.Send(r.Host, msgs.ServiceJobs, msgs.JobRefused{Job: r.Job, Refusal: r.Refusal})
	}
	for _, e := range out.Events {
		if e.Kind == place.Released {
			delete(p.grants, e.Grant)
		}
		n.Hooks.Placed(e)
	}
}

// wireGrant returns the message for a grant. It divides the connections of the backend server among
// the entry hosts of the data centre.
func (n *Member) wireGrant(g place.Grant) msgs.Grant {
	return msgs.Grant{
		ID:            g.ID,
		Job:           g.Job,
		Task:          g.Task,
		BackendServer: g.BackendServer,
		Address:       g.Address,
		Connections:   n.hostConnections(g.Connections),
		View:          n.activePlacer().view,
		Fence:         n.registry.Fence(),
		Host:          g.Host,
		Incarnation:   g.Incarnation,
		Service:       g.Service,
		Customer:      g.Customer,
		Expected:      g.Expected,
		MemoryBytes:   g.MemoryBytes,
		Accelerators:  g.Accelerators,
	}
}

func placeGrant(g msgs.Grant) place.Grant {
	return place.Grant{
		ID:            g.ID,
		Job:           g.Job,
		Task:          g.Task,
		Customer:      g.Customer,
		Host:          g.Host,
		Incarnation:   g.Incarnation,
		BackendServer: g.BackendServer,
		Address:       g.Address,
		Service:       g.Service,
		Connections:   g.Connections,
		Expected:      g.Expected,
		MemoryBytes:   g.MemoryBytes,
		Accelerators:  g.Accelerators,
	}
}

func placeResult(r msgs.Result) place.Result {
	switch r {
	case msgs.ResultSucceeded:
		return place.Succeeded
	case msgs.ResultFailed:
		return place.Failed
	case msgs.ResultNotStarted:
		return place.NotStarted
	case msgs.ResultWithdrawn:
		return place.Withdrawn
	default:
		return place.Unknown
	}
}
