package runs

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	leaseWindow         = 1050 * time.Millisecond // since an entry host is known to have waited, for which its runs may hold a lease: on a slow clock too it ends 0.2 s before a caller sends a job again
	startWindow         = 300 * time.Millisecond  // since an entry host is known to have waited, in which tasks of its jobs begin: what a server runs shares its lease, so the run may have leaseTime at once
	hostRetention       = 10 * time.Second        // for which an entry host that isn't heard of is remembered
	withdrawalRetention = 3 * time.Second         // for which a withdrawal is remembered: the hand-over may still be on its way
)

// entryHost is what the placer knows of an entry host.
type entryHost struct {
	confirmedAt time.Time             // latest time at which it is known to have waited
	oldestHand  uint64                // earliest hand-over that it waits for, 0 when it hasn't told
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

// host returns what is known of an entry host.
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

// Waits tells that an entry host waited at a time for the jobs that it hasn't
// withdrawn. Runs of its jobs hold leases until waitTime after that, whatever is
// lost since then: the host, this placer or the next one.
func (p *Placer) ConfirmWait(host string, at time.Time) {
	if h := p.host(host); at.After(h.confirmedAt) {
		h.confirmedAt = at
	}
}

// WaitsFrom tells that an entry host has withdrawn all jobs that it handed over
// before a hand-over. Some of these may not have arrived yet, however late it is:
// a cut holds back what was sent as it began.
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

// rejoin lets a host wait for a job that is known. A caller's latest request
// decides how long it waits.
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

// Withdraw tells that a host waits no more for a job that it handed over, which
// may not have arrived yet.
func (p *Placer) Withdraw(id, host string, hand uint64, now time.Time) {
	h := p.host(host)
	h.withdrawn[id] = withdrawal{hand: max(hand, h.withdrawn[id].hand), at: now} // an earlier one may come late
	if j, ok := p.jobs[id]; ok {
		p.removeWaiters(j, "withdrawn", now, func(w waiter) bool { return w.host == host && w.hand <= hand })
	}
}

// HostLost tells that an entry host waits for nothing, or only its process before
// when the incarnation is not 0.
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

// tellLost tells an entry host that its job may have run. It counts as lost but may
// be alive, and would wait until its caller's patience is over.
func (p *Placer) notifyLost(j *job, host string, now time.Time) {
	for _, w := range j.waiters {
		if w.host == host {
			p.out.Ends = append(p.out.Ends, j.newEnd(model.JobEndUnknown, "nothing was heard of its entry host", now).to(w))
		}
	}
}

// leave takes waiters off a job. A job that nobody waits for is dropped.
func (p *Placer) removeWaiters(j *job, reason string, now time.Time, match func(w waiter) bool) {
	until := j.leaseLimit()
	if j.waiters = slices.DeleteFunc(j.waiters, match); len(j.waiters) == 0 {
		p.drop(j, until, reason, now)
	}
}

// heard returns when one of the job's entry hosts is last known to have waited.
func (j *job) lastConfirmed() time.Time {
	var last time.Time
	for _, w := range j.waiters {
		if w.confirmedAt.After(last) {
			last = w.confirmedAt
		}
	}
	return last
}

// until returns when the leases of the job's runs have to end, unless one of its
// entry hosts is heard of.
func (j *job) leaseLimit() time.Time {
	heard := j.lastConfirmed()
	if heard.IsZero() {
		return heard
	}
	return heard.Add(leaseWindow)
}

// forgetHosts drops withdrawals and entry hosts of which nothing is left to know.
// A host that a job waits with stays, since the job reads there when it was heard.
func (p *Placer) forgetHosts(now time.Time) {
	for name, h := range p.hosts {
		maps.DeleteFunc(h.withdrawn, func(_ string, w withdrawal) bool {
			return now.Sub(w.at) > withdrawalRetention && w.hand < h.oldestHand
		})
		if now.Sub(h.confirmedAt) > hostRetention && !p.isWaitedForBy(h) {
			delete(p.hosts, name)
		}
	}
}

// waitedForBy tells whether an entry host waits for a job. It may not have been
// heard of yet.
func (p *Placer) isWaitedForBy(h *entryHost) bool {
	for _, j := range p.jobs {
		if slices.ContainsFunc(j.waiters, func(w waiter) bool { return w.entryHost == h }) {
			return true
		}
	}
	return false
}

// until returns when the run's lease has to end.
func (r *run) leaseLimit() time.Time {
	if r.task != nil {
		return r.task.job.leaseLimit()
	}
	return r.leaseEnd
}

// until returns when the lease of the server has to end, for the run on it that
// is waited for least, but no later than a time.
func (s *server) leaseLimit(latest time.Time) time.Time {
	for _, r := range s.runs {
		if end := r.leaseLimit(); end.Before(latest) {
			latest = end
		}
	}
	return latest
}
