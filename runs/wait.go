package runs

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// leaseWindow is how long after the last confirmation of an entry host the runs of
	// its jobs may hold a lease. Even on a slow clock it ends 0.2 s before a caller
	// resends a job.
	leaseWindow = 1050 * time.Millisecond

	// startWindow is how long after the last confirmation of an entry host tasks of its
	// jobs start. All runs of a server share its lease, so a new run may hold a lease of
	// leaseTime from its start.
	startWindow = 300 * time.Millisecond

	hostRetention       = 10 * time.Second // for which an entry host without confirmations is kept
	withdrawalRetention = 3 * time.Second  // for which a withdrawal is kept: the handover may be in flight
)

// entryHost is the state of an entry host.
type entryHost struct {
	confirmedAt time.Time             // latest time at which the host is known to have waited for its jobs
	oldestHand  uint64                // earliest handover that the host still waits for, 0 if unknown
	withdrawn   map[string]withdrawal // by job
}

type withdrawal struct {
	hand uint64
	at   time.Time
}

// waiter is an entry host that waits for the end of a job.
type waiter struct {
	*entryHost
	host        string
	incarnation uint64
	hand        uint64
}

// host returns the state of an entry host, which it creates if necessary.
func (p *Placer) host(name string) *entryHost {
	h, ok := p.hosts[name]
	if !ok {
		h = &entryHost{withdrawn: map[string]withdrawal{}}
		p.hosts[name] = h
	}
	return h
}

func (p *Placer) waiterOf(j Job) waiter {
	return waiter{entryHost: p.host(j.Host), host: j.Host, incarnation: j.Incarnation, hand: j.Hand}
}

// ConfirmWait records that at a given time an entry host waited for the jobs that it
// hasn't withdrawn. Runs of its jobs hold leases until leaseWindow after that, even if
// the host, this placer or the next one is lost meanwhile.
func (p *Placer) ConfirmWait(host string, at time.Time) {
	if h := p.host(host); at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// WithdrawBefore records that an entry host has withdrawn all jobs of handovers before
// oldest. Some of these may arrive much later, since a network partition holds back what
// was sent as it began.
func (p *Placer) WithdrawBefore(host string, oldest uint64, now time.Time) {
	h := p.host(host)
	if oldest <= h.oldestHand {
		return
	}
	h.oldestHand = oldest
	withdrawn := func(w waiter) bool { return w.host == host && w.hand < oldest }
	affected := map[string]*job{}
	for id, j := range p.jobs {
		if slices.ContainsFunc(j.waiters, withdrawn) {
			affected[id] = j
		}
	}
	for _, j := range inOrder(affected) {
		p.removeWaiters(j, "withdrawn", now, withdrawn)
	}
}

// addWaiter adds an entry host to the waiters of a known job. The latest request of a
// caller determines how long it waits.
func (p *Placer) addWaiter(known *job, j Job) {
	known.Arrived, known.Expires = j.Arrived, j.Expires
	i := slices.IndexFunc(known.waiters, func(w waiter) bool { return w.host == j.Host })
	if i >= 0 {
		known.waiters[i] = p.waiterOf(j)
		return
	}
	known.waiters = append(known.waiters, p.waiterOf(j))
	p.event(Event{Kind: EventRejoined, Job: j.ID, Reason: j.Host})
}

// Withdraw records that a host no longer waits for a job of a handover, which may not
// have arrived yet.
func (p *Placer) Withdraw(id, host string, hand uint64, now time.Time) {
	h := p.host(host)
	// An earlier withdrawal may arrive late.
	h.withdrawn[id] = withdrawal{hand: max(hand, h.withdrawn[id].hand), at: now}
	if j, ok := p.jobs[id]; ok {
		p.removeWaiters(j, "withdrawn", now, func(w waiter) bool { return w.host == host && w.hand <= hand })
	}
}

// HostLost records that an entry host no longer waits for any job. If the incarnation
// is not 0, this applies only to former processes of the host.
func (p *Placer) HostLost(host string, incarnation uint64, now time.Time) {
	for _, j := range inOrder(p.jobs) {
		if incarnation == 0 {
			p.notifyLost(j, host, now)
		}
		p.removeWaiters(j, "entry host lost", now, func(w waiter) bool {
			return w.host == host && (incarnation == 0 || w.incarnation != incarnation)
		})
	}
	if h, ok := p.hosts[host]; ok {
		*h = entryHost{withdrawn: map[string]withdrawal{}}
	}
}

// notifyLost reports to an entry host that its job may have run. The host counts as lost
// but may be alive, and would wait until its caller's deadline.
func (p *Placer) notifyLost(j *job, host string, now time.Time) {
	for _, w := range j.waiters {
		if w.host == host {
			p.out.Ends = append(p.out.Ends, j.newEnd(model.JobEndUnknown, "nothing was heard of its entry host", now).to(w))
		}
	}
}

// removeWaiters removes waiters from a job, and drops the job if none is left.
func (p *Placer) removeWaiters(j *job, reason string, now time.Time, match func(w waiter) bool) {
	leaseEnd := j.leaseLimit()
	if j.waiters = slices.DeleteFunc(j.waiters, match); len(j.waiters) == 0 {
		if !j.due.IsZero() && j.late(now) { // it was in the queue
			p.noteUnserved(j)
		}
		p.drop(j, leaseEnd, reason, now)
	}
}

// lastConfirmed returns the latest confirmation of the job's entry hosts.
func (j *job) lastConfirmed() time.Time {
	var last time.Time
	for _, w := range j.waiters {
		if w.confirmedAt.After(last) {
			last = w.confirmedAt
		}
	}
	return last
}

// leaseLimit returns when the leases of the job's runs have to end unless one of its
// entry hosts confirms its wait again.
func (j *job) leaseLimit() time.Time {
	confirmed := j.lastConfirmed()
	if confirmed.IsZero() {
		return confirmed
	}
	return confirmed.Add(leaseWindow)
}

// evictHosts removes expired withdrawals and entry hosts. An entry host that waits for
// a job stays, since its waiters refer to its last confirmation.
func (p *Placer) evictHosts(now time.Time) {
	for name, h := range p.hosts {
		maps.DeleteFunc(h.withdrawn, func(_ string, w withdrawal) bool {
			return now.Sub(w.at) > withdrawalRetention && w.hand < h.oldestHand
		})
		if now.Sub(h.confirmedAt) > hostRetention && !p.isWaiting(h) {
			delete(p.hosts, name)
		}
	}
}

// isWaiting reports whether an entry host waits for a job, even if it has not yet
// confirmed that.
func (p *Placer) isWaiting(h *entryHost) bool {
	for _, j := range p.jobs {
		if slices.ContainsFunc(j.waiters, func(w waiter) bool { return w.entryHost == h }) {
			return true
		}
	}
	return false
}

// leaseLimit returns when the run's lease has to end.
func (r *run) leaseLimit() time.Time {
	if r.task != nil {
		return r.task.job.leaseLimit()
	}
	return r.leaseEnd
}

// leaseLimit returns when the lease of the server has to end, which is the earliest limit
// of its runs, but at most latest.
func (s *server) leaseLimit(latest time.Time) time.Time {
	for _, r := range s.runs {
		if end := r.leaseLimit(); end.Before(latest) {
			latest = end
		}
	}
	return latest
}
