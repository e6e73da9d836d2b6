package runs

import "time"

const (
	failureLimit  = 2               // failures in a row, of different jobs, that eject a server
	firstEjection = 2 * time.Second // for which it is ejected; doubles with each time
	maxEjection   = 8 * time.Second
	stuckFactor   = 4.0                    // a run stands still when it takes this many times as long as expected
	stuckMargin   = 400 * time.Millisecond // and this much longer
)

// health is how a server has treated its tasks.
type health struct {
	slowness      float64 // logarithm of its run times over those of its kind
	failures      int     // failures in a row
	lastFailedJob string  // whose task failed last
	ejectedUntil  time.Time
	ejectionTime  time.Duration
	probing       bool // ejected until its next task succeeds
}

// allows tells whether the server may get a task besides those that it runs.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || runs == 0
}

// blame counts a failed task against its server, unless the job fails elsewhere
// as well.
func (p *Placer) countFailure(s *server, job string, now time.Time) {
	if s.health.lastFailedJob == job {
		return
	}
	s.health.lastFailedJob = job
	s.health.failures++
	if s.health.failures >= failureLimit || s.health.probing {
		p.eject(s, "fails", now)
	}
}

// strike ejects a server for a while, unless too many are ejected already.
func (p *Placer) eject(s *server, reason string, now time.Time) {
	h := &s.health
	if now.Before(h.ejectedUntil) || !p.mayEject(s, now) {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, firstEjection), maxEjection)
	h.ejectedUntil, h.probing = now.Add(h.ejectionTime), true
	p.event(Event{Kind: EventEjected, Server: s.Name, Reason: reason, Interval: h.ejectionTime})
}

// mayEject keeps at least two thirds of the servers of a service.
func (p *Placer) mayEject(s *server, now time.Time) bool {
	all, ejected := 0, 1
	for _, other := range p.order {
		if other.Service != s.Service {
			continue
		}
		all++
		if now.Before(other.health.ejectedUntil) {
			ejected++
		}
	}
	return 3*ejected <= all
}

func (p *Placer) noteSuccess(s *server) {
	h := &s.health
	h.failures, h.lastFailedJob = 0, ""
	if h.probing {
		h.probing, h.ejectionTime = false, 0
		p.event(Event{Kind: EventRestored, Server: s.Name})
	}
}

// stands tells whether a run takes so long that its task is better begun anew
// elsewhere.
func (p *Placer) isStuck(r *run, now time.Time) bool {
	if r.task == nil {
		return !r.dueAt.IsZero() && now.After(r.dueAt) // found, and claimed by no one
	}
	limit := max(time.Duration(stuckFactor*float64(r.expected)), r.expected+stuckMargin)
	return now.Sub(r.confirmedAt) > limit
}
