package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// updatePromise ends serving alone and promises the primary not to serve alone, unless the reserve
// of this host may be in use.
func (r *Runner) updatePromise(m msgs.Lease) {
	if r.alone.Serving() {
		r.Hooks.ServingAlone(false)
	}
	r.promised = 0
	if r.alone.OnLease(r.aloneCalls(), m.Unused, r.Now()) && !m.Expelled {
		r.promised = m.PromiseAt
	}
}

// aloneCalls returns the number of outstanding calls that this host started while it served alone.
func (r *Runner) aloneCalls() int {
	n := 0
	for _, g := range r.grants {
		if g.msg.View == msgs.AloneView {
			n++
		}
	}
	return n
}

// checkAlone starts serving alone once no primary can rely on this host's promise any longer.
func (r *Runner) checkAlone(now time.Time) {
	if r.leaseHolds() || r.lists.Update.Version == 0 || !r.alone.TryStart(now) {
		return
	}
	r.Hooks.ServingAlone(true)
	r.lastRenewal = time.Time{} // renew immediately: this host's group service issues the lease in answer
}

// leasedAlone handles the lease that this host's own group service issues while the host serves
// alone. The last known fence stays in use.
func (r *Runner) leasedAlone(m msgs.Lease) {
	if !r.alone.Serving() {
		return
	}
	r.lease.expires = r.startedAt.Add(m.SentAt + m.Duration)
	r.lease.fence = max(r.lease.fence, m.Fence)
	if r.lease.alone {
		return
	}
	r.lease.primary = m.Primary
	r.lease.alone = true
	r.flushPendingDone()
	r.resendAll()
}

// grantView returns the view whose grants are valid now.
func (r *Runner) grantView() uint64 {
	if r.lease.alone {
		return msgs.AloneView
	}
	return r.lease.view
}

// hasPrimary reports whether there is a primary that can decide on claims. This host's own group
// service is not one while the host serves alone.
func (r *Runner) hasPrimary() bool {
	return r.lease.primary != "" && !r.lease.alone
}

// noPrimaryRefusal refuses a request that needs a primary.
func (r *Runner) noPrimaryRefusal() *model.RefusalError {
	reason := "no group of entry hosts in " + r.Self.DataCentre + " can decide at the moment"
	return &model.RefusalError{Code: model.CodeUnavailable, Reason: reason, NotRun: true, RetryAfter: retryAfter}
}
