package runs

import (
	"slices"
	"time"
)

// waiter is an entry host that waits for the end of a job.
type waiter struct {
	host        string
	incarnation uint64
}

func waiterOf(j Job) waiter {
	return waiter{host: j.Host, incarnation: j.Incarnation}
}

// rejoin lets a host wait for a job that is known. A caller's latest request
// decides how long it waits.
func (p *Placer) rejoin(known *job, j Job) {
	known.Came, known.Expires = j.Came, j.Expires
	i := slices.IndexFunc(known.waiters, func(w waiter) bool { return w.host == j.Host })
	if i >= 0 {
		known.waiters[i] = waiterOf(j)
		return
	}
	known.waiters = append(known.waiters, waiterOf(j))
	p.event(Event{Kind: EventRejoined, Job: j.ID, Reason: j.Host})
}

// Withdraw tells that a host waits for a job no more.
func (p *Placer) Withdraw(id, host string, hand uint64, now time.Time) {
	if j, ok := p.jobs[id]; ok {
		p.leave(j, "withdrawn", now, func(w waiter) bool { return w.host == host })
	}
}

// HostLost tells that an entry host waits for nothing, or only its process before
// when the incarnation is not 0.
func (p *Placer) HostLost(host string, incarnation uint64, now time.Time) {
	for _, j := range inOrder(p.jobs) {
		p.leave(j, "entry host lost", now, func(w waiter) bool {
			return w.host == host && (incarnation == 0 || w.incarnation != incarnation)
		})
	}
}

// leave takes waiters off a job. A job that nobody waits for is dropped.
func (p *Placer) leave(j *job, reason string, now time.Time, gone func(w waiter) bool) {
	if j.waiters = slices.DeleteFunc(j.waiters, gone); len(j.waiters) == 0 {
		p.drop(j, reason, now)
	}
}

// Waits tells that an entry host waited at a time for the jobs that it hasn't
// withdrawn.
func (p *Placer) Waits(host string, at, now time.Time) {
}
