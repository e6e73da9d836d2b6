package runs

import "time"

const (
	stallGap  = 200 * time.Millisecond // without any input, though Tick comes every 20 ms: half of what it takes to be superseded
	stallWait = 200 * time.Millisecond // in which servers answer, before a placer that stood still starts anything
)

// awake notes that the placer runs. After it stood still another host may place,
// and a server that was restarted meanwhile doesn't know that one's fence. So it
// looks at all servers again before it starts anything: one that follows the
// other placer says so.
func (p *Placer) awake(now time.Time) {
	stood := !p.last.IsZero() && elapsed(p.last, now) > stallGap
	p.last = now
	if !stood {
		return
	}
	p.resumeAt = now.Add(stallWait)
	for _, s := range p.order {
		s.known, s.lookNow = false, true
	}
}

// elapsed returns how long ago a time was. A machine that was suspended since sees
// that on the time of day only.
func elapsed(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// resumed tells whether tasks may be started.
func (p *Placer) resumed(now time.Time) bool {
	if p.resumeAt.IsZero() {
		return true
	}
	for _, s := range p.order {
		if !s.known && now.Before(p.resumeAt) {
			return false
		}
	}
	p.resumeAt = time.Time{}
	return true
}
