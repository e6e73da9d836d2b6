package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// updateAlone starts or stops serving alone as the jobs service of this host requests, and answers
// the request with a lease from this host.
func (n *Member) updateAlone(m msgs.Renew, now time.Time) {
	if !m.Alone || n.primary != nil {
		n.alone = nil
		return
	}
	if n.alone == nil {
		alone := newPlacerState(msgs.AloneView, place.New(place.FirstGrant(n.Random()>>1)))
		n.alone = &alone
		n.initPlacer(alone.placer, now)
		n.restoreGrants(m, now)
	}
	_ = n.Send(n.Self.Name, msgs.ServiceJobs, msgs.Lease{
		Primary: n.Self.Name, View: msgs.AloneView, Fence: n.registry.Fence(), SentAt: m.SentAt, Duration: n.Lease, Alone: true,
	})
}

// serveAlone processes the messages of this host's own jobs that need no claim while it serves alone,
// and refuses all others.
func (n *Member) serveAlone(msg any, now time.Time) {
	if n.alone == nil {
		n.refuseNotLeading(msg)
		return
	}
	switch m := msg.(type) {
	case msgs.Ask:
		if m.Host == n.Self.Name && !m.Keyed {
			n.admitAlone(m, now)
		}
	case msgs.Done:
		n.handleDone(m, now)
	case msgs.Drop:
		n.alone.placer.Cancel(m.Job, now)
	default:
		n.refuseNotLeading(msg)
	}
}

// admitAlone admits a job, or refuses it if the reserve of this host allows no task of its customer.
func (n *Member) admitAlone(m msgs.Ask, now time.Time) {
	limits, known := n.limitsOf(m.Customer)
	allowed := n.usableLimits(m.Customer, limits, now)
	if !known || allowed.MaxRunning > 0 && allowed.StartsPerSecond > 0 {
		n.admit(m, now)
		return
	}
	n.sendVerdict(m, msgs.Verdict{Kind: msgs.VerdictClaimed})
	n.countRefusal(m.Customer, model.CodeQuotaExhausted)
	refusal := &model.RefusalError{
		Code:   model.CodeQuotaExhausted,
		Reason: "the entry host " + n.Self.Name + " serves alone, and its part of the plan lets no task start",
		NotRun: true,
	}
	_ = n.Send(m.Host, msgs.ServiceJobs, msgs.JobRefused{Job: m.Job, Refusal: refusal})
}
