package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// lease is this host's permission to start tasks.
type lease struct {
	primary    string
	generation uint64
	view       uint64
	fence      uint64
	until      time.Time
	reported   bool // the primary of the view knows what is outstanding here
	alone      bool // given by this host itself, which serves alone
}

func (r *Runner) leaseHolds() bool {
	return r.lease.primary != "" && r.Now().Before(r.lease.until)
}

// renew sends a sign of life to the primary, or to every host of the data centre
// when no primary answers: whichever leads answers with a lease.
func (r *Runner) renew(now time.Time) {
	if !r.renewDue(now) {
		return
	}
	r.renewedAll = r.lease.primary == "" || r.alone.HasServed() || !r.renewAnswered()
	r.lastRenew = now
	m := msgs.Renew{
		Host:         r.Self.Name,
		Incarnation:  r.incarnation,
		SentAt:       now.Sub(r.origin),
		Generation:   r.lease.generation,
		View:         r.lease.view,
		ListsVersion: r.force.Update.Version,
		Installation: r.installation,
		Promised:     r.promised,
		Alone:        r.alone.Serving(),
	}
	if !r.lease.reported {
		m.Reported = true
		m.Outstanding = r.outstanding()
	}
	for _, h := range r.Hosts {
		if h.Name == r.lease.primary || r.renewedAll && h.DataCentre == r.Self.DataCentre {
			_ = r.Send(h.Name, msgs.ServiceGroup, m) // the next renewal makes up for a lost one
		}
	}
}

// renewDue reports whether a renewal is due: after each heartbeat, and sooner
// when the primary alone was asked and has not answered.
func (r *Runner) renewDue(now time.Time) bool {
	since := now.Sub(r.lastRenew)
	if since >= r.Heartbeat {
		return true
	}
	return !r.renewedAll && !r.renewAnswered() && since >= r.Heartbeat/2
}

// renewAnswered reports whether the last renewal was answered.
func (r *Runner) renewAnswered() bool {
	return r.newestRenew >= r.lastRenew.Sub(r.origin)
}

func (r *Runner) outstanding() []msgs.Grant {
	var all []msgs.Grant
	for _, g := range r.grants {
		all = append(all, g.msg)
	}
	return all
}

// leased takes the primary's answer to a renewal.
func (r *Runner) leased(m msgs.Lease) {
	if m.SentAt < r.newestRenew {
		return // overtaken, perhaps by a lease of another generation
	}
	if m.SentAt > r.Now().Sub(r.origin) {
		return // for the process before, which counted from another time
	}
	r.newestRenew = m.SentAt
	if m.Alone {
		r.leasedAlone(m)
		return
	}
	newGeneration := m.Generation != r.lease.generation
	if m.View < r.lease.view && !newGeneration {
		return
	}
	r.promise(m)
	if m.Expelled {
		r.startOver()
		return
	}
	changed := r.lease.alone || newGeneration || m.View != r.lease.view || m.Primary != r.lease.primary
	if changed {
		r.lease = lease{primary: m.Primary, generation: m.Generation, view: m.View}
		r.lastRenew = time.Time{} // the primary waits for the report
		r.Count.Primary(m.Primary, m.View)
	}
	r.lease.fence = max(r.lease.fence, m.Fence)
	r.lease.reported = !m.NeedReport
	until := r.origin.Add(m.SentAt + m.Duration)
	if until.After(r.lease.until) {
		r.lease.until = until
	}
	if changed {
		r.sendUnsent()
		r.askAgain()
	}
}

// askAgain tells a new primary of everything that an earlier one was told.
func (r *Runner) askAgain() {
	for _, j := range r.jobs {
		r.resend(j)
	}
}

func (r *Runner) resend(j *job) {
	switch j.stage {
	case stageAsking, stageJoined:
		r.ask(j, true)
	case stageRunning:
		if len(j.waiting()) > 0 {
			r.ask(j, true)
		}
	case stageFinishing:
		r.sendFinish(j)
	}
}

// checkLease notices that the lease has ended.
func (r *Runner) checkLease(now time.Time) {
	if r.lease.primary == "" || now.Before(r.lease.until) {
		return
	}
	r.Count.Lost(r.lease.view)
	r.lease.primary = ""
	r.lease.alone = false
	r.lease.reported = false
}

// startOver follows an expulsion: the group has decided that all claimed jobs of
// this incarnation failed, or that an earlier outcome stands. Jobs without a
// claim go on under the next lease.
func (r *Runner) startOver() {
	r.incarnation = r.Random()
	r.lease = lease{generation: r.lease.generation, view: r.lease.view}
	r.lastRenew = time.Time{}
	for _, j := range r.jobs {
		if j.keyed && j.stage != stageAsking {
			j.stage = stageJoined
		}
	}
}
