package runs

import "time"

const (
	failureLimit  = 2               // consecutive failures, of different jobs, that eject a server
	firstEjection = 2 * time.Second // doubles with each further ejection
	maxEjection   = 8 * time.Second
	stuckFactor   = 4.0                    // a run is stuck when it takes this many times as long as expected
	stuckMargin   = 400 * time.Millisecond // and this much longer
)

// health records how a server performed on its tasks.
type health struct {
	slowness      float64 // logarithm of its run times relative to those of its kind
	failures      int     // consecutive failures
	lastFailedJob string  // job whose task failed last
	ejectedUntil  time.Time
	ejectionTime  time.Duration
	probing       bool // ejected until its next task succeeds
}

// allows reports whether the server may get a task in addition to its current runs.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.probing || runs == 0
}

// countFailure counts a failed task against its server, but only once in a row for the
// same job, which may fail on every server.
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

// eject gives a server no tasks for a while, unless too many servers are ejected already.
func (p *Placer) eject(s *server, reason string, now time.Time) {
	h := &s.health
	if now.Before(h.ejectedUntil) || !p.mayEject(s, now) {
		return
	}
	h.ejectionTime = min(max(2*h.ejectionTime, firstEjection), maxEjection)
	h.ejectedUntil, h.probing = now.Add(h.ejectionTime), true
	p.event(Event{Kind: EventEjected, Server: s.Name, Reason: reason, Interval: h.ejectionTime})
}

// mayEject reports whether at least two thirds of the servers of the service remain if
// this one is ejected too.
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

// shouldStop reports whether a run has to be stopped: it takes so long that its task is
// better restarted on another server, or it is an orphan that no job has claimed in time.
func (p *Placer) shouldStop(r *run, now time.Time) bool {
	if r.task == nil {
		return !r.dueAt.IsZero() && now.After(r.dueAt)
	}
	limit := max(time.Duration(stuckFactor*float64(r.expected)), r.expected+stuckMargin)
	return now.Sub(r.confirmedAt) > limit
}
