package runs

import "time"

const (
	// stallThreshold is the time without any input after which the placer counts as
	// stalled, though Tick comes every 20 ms. It is half of what it takes to be superseded.
	stallThreshold = 200 * time.Millisecond

	// stallPollTime is how long servers have to answer before a placer that was stalled
	// starts anything.
	stallPollTime = 200 * time.Millisecond
)

// noteInput detects a stall of the placer. During a stall another host may have become
// the placer, and a server that restarted meanwhile doesn't know the fence of that one.
// So all servers are polled again before anything is started: a server that follows the
// other placer rejects the poll.
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

// elapsed returns how long ago a time was. After the host was suspended only the wall
// clock shows the time that has passed.
func elapsed(at, now time.Time) time.Duration {
	return max(now.Sub(at), now.Round(0).Sub(at.Round(0)))
}

// tryResume reports whether tasks may be started. After a stall it resumes the starts when
// all servers have answered a poll or pollUntil has passed.
func (p *Placer) tryResume(now time.Time) bool {
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
