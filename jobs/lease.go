package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// lease is this host's permission to start tasks. An empty primary means that there is none.
type lease struct {
	primary        string
	generation     uint64
	view           uint64
	fence          uint64
	expires        time.Time
	grantsReported bool // the primary of the view has the report of outstanding grants
	alone          bool // issued by this host itself, which serves alone
}

func (r *Runner) leaseHolds() bool {
	return r.lease.primary != "" && r.Now().Before(r.lease.expires)
}

// sendRenewal sends a renewal to the primary, or to every host of the data centre when no primary
// answers: the host that is primary answers with a lease.
func (r *Runner) sendRenewal(now time.Time) {
	if !r.renewalDue(now) {
		return
	}
	r.renewalBroadcast = r.lease.primary == "" || r.alone.HasServed() || !r.renewalAcked()
	r.lastRenewal = now
	m := msgs.Renew{
		Host:         r.Self.Name,
		Incarnation:  r.incarnation,
		SentAt:       now.Sub(r.startedAt),
		Generation:   r.lease.generation,
		View:         r.lease.view,
		ListsVersion: r.lists.Update.Version,
		Installation: r.installation,
		Promised:     r.promised,
		Alone:        r.alone.Serving(),
	}
	if !r.lease.grantsReported {
		m.Reported = true
		m.Outstanding = r.outstandingGrants()
	}
	for _, h := range r.Hosts {
		if h.Name == r.lease.primary || r.renewalBroadcast && h.DataCentre == r.Self.DataCentre {
			_ = r.Send(h.Name, msgs.ServiceGroup, m) // a lost renewal is replaced by the next one
		}
	}
}

// renewalDue reports whether a renewal is due: after a heartbeat interval, or after half of one when
// only the primary was sent the last renewal and has not answered.
func (r *Runner) renewalDue(now time.Time) bool {
	since := now.Sub(r.lastRenewal)
	if since >= r.Heartbeat {
		return true
	}
	return !r.renewalBroadcast && !r.renewalAcked() && since >= r.Heartbeat/2
}

// renewalAcked reports whether the last renewal was answered.
func (r *Runner) renewalAcked() bool {
	return r.lastAcked >= r.lastRenewal.Sub(r.startedAt)
}

func (r *Runner) outstandingGrants() []msgs.Grant {
	var all []msgs.Grant
	for _, g := range r.grants {
		all = append(all, g.msg)
	}
	return all
}

// leased handles the answer to a renewal.
func (r *Runner) leased(m msgs.Lease) {
	if m.SentAt < r.lastAcked {
		return // overtaken by a newer lease, perhaps of another generation
	}
	if m.SentAt > r.Now().Sub(r.startedAt) {
		return // answers the previous process of this host, whose startedAt differed
	}
	r.lastAcked = m.SentAt
	if m.Alone {
		r.leasedAlone(m)
		return
	}
	newGeneration := m.Generation != r.lease.generation
	if m.View < r.lease.view && !newGeneration {
		return
	}
	r.updatePromise(m)
	if m.Expelled {
		r.resetAfterExpulsion()
		return
	}
	changed := r.lease.alone || newGeneration || m.View != r.lease.view || m.Primary != r.lease.primary
	if changed {
		r.lease = lease{primary: m.Primary, generation: m.Generation, view: m.View}
		r.lastRenewal = time.Time{} // renew immediately: the primary waits for the report of outstanding grants
		r.Hooks.PrimaryChanged(m.Primary, m.View)
	}
	r.lease.fence = max(r.lease.fence, m.Fence)
	r.lease.grantsReported = !m.NeedReport
	expires := r.startedAt.Add(m.SentAt + m.Duration)
	if expires.After(r.lease.expires) {
		r.lease.expires = expires
	}
	if changed {
		r.flushPendingDone()
		r.resendAll()
	}
}

// resendAll sends the state of every job to a new primary.
func (r *Runner) resendAll() {
	for _, j := range r.jobs {
		r.resend(j)
	}
}

func (r *Runner) resend(j *job) {
	switch j.stage {
	case stageClaiming, stageJoined:
		r.sendAsk(j, true)
	case stageRunning:
		if len(j.waitingShapes()) > 0 {
			r.sendAsk(j, true)
		}
	case stageCommitting:
		r.sendFinish(j)
	}
}

// checkLease drops the lease once it has expired.
func (r *Runner) checkLease(now time.Time) {
	if r.lease.primary == "" || now.Before(r.lease.expires) {
		return
	}
	r.Hooks.LeaseLost(r.lease.view)
	r.lease.primary = ""
	r.lease.alone = false
	r.lease.grantsReported = false
}

// resetAfterExpulsion starts a new incarnation after the group has expelled this host. The group has
// failed all claimed jobs of the old incarnation or keeps their earlier outcomes, so they wait for
// these. Jobs without a claim continue under the next lease.
func (r *Runner) resetAfterExpulsion() {
	r.incarnation = r.Random()
	r.lease = lease{generation: r.lease.generation, view: r.lease.view}
	r.lastRenewal = time.Time{}
	for _, j := range r.jobs {
		if j.keyed && j.stage != stageClaiming {
			j.stage = stageJoined
		}
	}
}
