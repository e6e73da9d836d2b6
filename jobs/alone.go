package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// promise promises the primary not to serve alone, unless the reserve of this
// host may be in use. It ends serving alone.
func (r *Runner) updatePromise(m msgs.Lease) {
	if r.alone.Serving() {
		r.Hooks.ServingAlone(false)
	}
	r.promised = 0
	if r.alone.Leased(r.aloneCalls(), m.Unused, r.Now()) && !m.Expelled {
		r.promised = m.PromiseAt
	}
}

// runningAlone returns how many calls are outstanding that this host began
// while it served alone.
func (r *Runner) aloneCalls() int {
	n := 0
	for _, g := range r.grants {
		if g.msg.View == msgs.AloneView {
			n++
		}
	}
	return n
}

// checkAlone begins to serve alone once no primary can count on the promise of
// this host.
func (r *Runner) checkAlone(now time.Time) {
	if r.leaseHolds() || r.lists.Update.Version == 0 || !r.alone.Begin(now) {
		return
	}
	r.Hooks.ServingAlone(true)
	r.lastRenewal = time.Time{} // the group service of this host waits for it
}

// leasedAlone takes the lease that this host's own group service gives while
// the host serves alone. The fence stays the last one that is known.
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

// view returns the view of the grants that count now.
func (r *Runner) grantView() uint64 {
	if r.lease.alone {
		return msgs.AloneView
	}
	return r.lease.view
}

// decides reports whether the group can decide on claims: there is a primary.
func (r *Runner) hasPrimary() bool {
	return r.lease.primary != "" && !r.lease.alone
}

// undecided refuses what needs a decision of the group.
func (r *Runner) noPrimaryRefusal() *model.RefusalError {
	reason := "no group of entry hosts in " + r.Self.DataCentre + " can decide at the moment"
	return &model.RefusalError{Code: model.CodeUnavailable, Reason: reason, NotRun: true, RetryAfter: retryAfter}
}
