package runs

import "time"

const (
	stallThreshold = 200 * time.Millisecond // without any input, though Tick comes every 20 ms: half of what it takes to be superseded
	stallPollTime  = 200 * time.Millisecond // in which servers answer, before a placer that stood still starts anything
)

// awake notes that the placer runs. After it stood still another host may place,
// and a server that was restarted meanwhile doesn't know that one's fence. So it
// looks at all servers again before it starts anything: one that follows the
// other placer says so.
func (p *Placer) noteInput(now time.Time) {
	stalled := !p.lastInput.IsZero() && elapsed(p.lastInput, now) > stallThreshold
	p.lastInput = now
	if !stalled {
		return
	}
	p.pollUntil = now.Add(stallPollTime)
	for _, s := range p.order {
		s.polled, s.pollNow = false, true
	}
}

// elapsed returns how long ago a time was. A machine that was suspended since sees
// that on the time of day only.
func elapsed(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// resumed tells whether tasks may be started.
func (p *Placer) startsAllowed(now time.Time) bool {
	if p.pollUntil.IsZero() {
		return true
	}
	for _, s := range p.order {
		if !s.polled && now.Before(p.pollUntil) {
			return false
		}
	}
	p.pollUntil = time.Time{}
	return true
}
