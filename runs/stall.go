package runs

import "time"

const (
	stallGap  = 200 * time.Millisecond // without any input, though Tick comes every 20 ms: half of what it takes to be superseded
	stallWait = 200 * time.Millisecond // in which servers answer, before a placer that stood still starts anything
)

// awake notes that the placer runs. After it stood still another host may place,
// and a server that was restarted meanwhile doesn't know that one's fence. So it
// looks at all servers again before it starts anything: one that follows the
// other placer says so. A machine that was suspended sees the gap on the time of
// day only.
func (p *Placer) awake(now time.Time) {
	gap := max(now.Sub(p.last), now.Round(0).Sub(p.last.Round(0)))
	stood := !p.last.IsZero() && gap > stallGap
	p.last = now
	if !stood {
		return
	}
	p.resumeAt = now.Add(stallWait)
	for _, s := range p.order {
		s.known, s.lookNow = false, true
	}
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
