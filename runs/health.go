package runs

import "time"

const (
	strikeLimit  = 2               // failures in a row, of different jobs, that eject a server
	firstPause   = 2 * time.Second // for which it is ejected; doubles with each time
	longestPause = 8 * time.Second
	standFactor  = 4.0                    // a run stands still when it takes this many times as long as expected
	standLeast   = 400 * time.Millisecond // and this much longer
)

// health is how a server has treated its tasks.
type health struct {
	slow    float64 // logarithm of its run times over those of its kind
	strikes int     // failures in a row
	lastJob string  // whose task failed last
	until   time.Time
	pause   time.Duration
	probing bool // ejected until its next task succeeds
}

// allows tells whether the server may get a task besides those that it runs.
func (h *health) allows(runs int, now time.Time) bool {
	if now.Before(h.until) {
		return false
	}
	return !h.probing || runs == 0
}

// blame counts a failed task against its server, unless the job fails elsewhere
// as well.
func (p *Placer) blame(s *server, job string, now time.Time) {
	if s.health.lastJob == job {
		return
	}
	s.health.lastJob = job
	s.health.strikes++
	if s.health.strikes >= strikeLimit || s.health.probing {
		p.strike(s, "fails", now)
	}
}

// strike ejects a server for a while, unless too many are ejected already.
func (p *Placer) strike(s *server, reason string, now time.Time) {
	h := &s.health
	if now.Before(h.until) || !p.mayEject(s, now) {
		return
	}
	h.pause = min(max(2*h.pause, firstPause), longestPause)
	h.until, h.probing = now.Add(h.pause), true
	p.event(Event{Kind: EventEjected, Server: s.Name, Reason: reason, Interval: h.pause})
}

// mayEject keeps at least two thirds of the servers of a service.
func (p *Placer) mayEject(s *server, now time.Time) bool {
	all, ejected := 0, 1
	for _, other := range p.order {
		if other.Service != s.Service {
			continue
		}
		all++
		if now.Before(other.health.until) {
			ejected++
		}
	}
	return 3*ejected <= all
}

func (p *Placer) succeeded(s *server) {
	h := &s.health
	h.strikes, h.lastJob = 0, ""
	if h.probing {
		h.probing, h.pause = false, 0
		p.event(Event{Kind: EventRestored, Server: s.Name})
	}
}

// stands tells whether a run takes so long that its task is better begun anew
// elsewhere.
func (p *Placer) stands(r *run, now time.Time) bool {
	if r.task == nil {
		return !r.stopAt.IsZero() && now.After(r.stopAt) // found, and claimed by no one
	}
	limit := max(time.Duration(standFactor*float64(r.expected)), r.expected+standLeast)
	return now.Sub(r.began) > limit
}
