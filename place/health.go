package place

import (
	"math"
	"time"
)

const (
	brokenBadRate       = 0.9                   // probability of a bad outcome on a broken server
	ejectThreshold      = 6.9                   // log-likelihood ratio at which a server is ejected, 1000 to 1
	maxEvidence         = 9.2                   // upper bound of the accumulated evidence, 10000 to 1
	slowFactor          = 8.0                   // run time relative to peers above which a server is ejected
	minSlowSamples      = 5.0                   // completed tasks before a server can be judged slow
	minSlowMembers      = 3                     // servers of a service before one can be judged slow
	inconclusiveRate    = 0.5                   // rate of bad outcomes on peers from which a failed probe is inconclusive
	relapseIntervals    = 10                    // probe intervals after a restoration, after which an ejection counts as the first
	refusalBackoff      = 50 * time.Millisecond // time without grants after a server refused a task
	maxRefusalDoublings = 5                     // of refusalBackoff while the server keeps refusing
	noEvidence          = 0.0                   // evidence against a server without faults
)

// healthState determines whether a member gets tasks.
type healthState int

const (
	healthy healthState = iota
	ejected             // gets no tasks until its next probe is due
	probing             // gets one task at a time
)

// StateHealthy is the State of a member that is neither ejected nor being probed.
const StateHealthy = "Healthy"

// String returns the name shown to operators.
func (s healthState) String() string {
	switch s {
	case ejected:
		return "Ejected"
	case probing:
		return "Probing"
	default:
		return StateHealthy
	}
}

// health accumulates the evidence for and against a member, as cumulative sums (CUSUM)
// of the log-likelihood ratio of a broken to a sound server.
type health struct {
	state            healthState
	failing          float64
	refusing         float64
	cause            Cause
	interval         time.Duration // until the next probe
	restoredAt       time.Time
	probeOutstanding bool
	probeTimer       timer // when the next probe is due
	hasSucceeded     bool  // has completed a task under the current process
	backingOff       bool  // gets no tasks after a refusal or an early failure
	backoffTimer     timer // when it may get tasks again
	refusals         int   // since it last completed a task
}

func (h *health) allows() bool {
	return !h.backingOff && (h.state == healthy || h.state == probing && !h.probeOutstanding)
}

func (h *health) clean() bool { return h.failing == noEvidence && h.refusing == noEvidence }

func (h *health) suspect() bool { return max(h.failing, h.refusing) >= ejectThreshold }

// accumulate adds an outcome to a sum of evidence. A bad outcome weighs more the rarer
// it is on other servers.
func accumulate(sum float64, bad bool, rateElsewhere float64) float64 {
	switch {
	case bad && rateElsewhere < brokenBadRate:
		return min(sum+math.Log(brokenBadRate/rateElsewhere), maxEvidence)
	case bad || sum == noEvidence:
		return sum
	case rateElsewhere < brokenBadRate:
		return max(noEvidence, sum+math.Log((1-brokenBadRate)/(1-rateElsewhere)))
	default:
		return sum
	}
}

// recordOutcome uses the outcome of a task as evidence for or against its backend server.
func (p *Placer) recordOutcome(g *grantRecord, r Result, now time.Time) {
	m, hs := g.member, p.hosts[g.job.host]
	if r != NotStarted {
		g.flow.outcomes.record(m.server, r == Failed || r == Unknown)
	}
	hs.outcomes.record(m.server, r == NotStarted || r == Unknown)
	if g.serverEpoch != m.server.epoch {
		return
	}
	p.applyBackoff(g, r, now)
	if r == Succeeded && !g.Probe && m.health.clean() {
		return
	}
	flowBadRate, hostBadRate := g.flow.outcomes.badRateElsewhere(m.server), hs.outcomes.badRateElsewhere(m.server)
	switch {
	case g.Probe:
		p.endProbe(g, r, max(flowBadRate, hostBadRate), now)
	case m.health.state == healthy:
		p.addEvidence(m, r, flowBadRate, hostBadRate, now)
	}
}

// addEvidence adds an outcome to the evidence on a member and ejects the member when the
// evidence reaches ejectThreshold.
func (p *Placer) addEvidence(m *member, r Result, flowBadRate, hostBadRate float64, now time.Time) {
	h := &m.health
	before := h.suspect()
	switch r {
	case NotStarted:
		h.refusing = accumulate(h.refusing, true, hostBadRate)
	case Unknown:
		h.failing = accumulate(h.failing, true, max(flowBadRate, hostBadRate))
	default:
		h.failing = accumulate(h.failing, r == Failed, flowBadRate)
		h.refusing = accumulate(h.refusing, false, hostBadRate)
	}
	if h.suspect() {
		p.ejectFailing(m, now)
	}
	if h.suspect() != before {
		p.refresh(m)
	}
}

// applyBackoff stops grants for a while to a server that refused a task, and to one
// that failed before it has completed any task. The latter lasts as long as the task was
// expected to run, so that a server which fails immediately attracts no more tasks than
// a sound one.
func (p *Placer) applyBackoff(g *grantRecord, r Result, now time.Time) {
	h := &g.member.health
	switch {
	case r == NotStarted:
		p.startBackoff(g.member, now.Add(refusalBackoff<<min(h.refusals, maxRefusalDoublings)))
		h.refusals++
	case r == Succeeded:
		h.hasSucceeded = true
		h.refusals = 0
	case !h.hasSucceeded:
		p.startBackoff(g.member, now.Add(g.Expected))
	}
}

func (p *Placer) startBackoff(m *member, until time.Time) {
	if !p.cfg.eject {
		return
	}
	m.health.backingOff = true
	p.timers.schedule(&m.health.backoffTimer, until)
	p.reindexAll(m)
}

func (p *Placer) endBackoff(m *member) {
	m.health.backingOff = false
	p.reindexAll(m)
}

func (p *Placer) ejectFailing(m *member, now time.Time) {
	cause := CauseFailing
	if m.health.refusing >= ejectThreshold {
		cause = CauseRefusing
	}
	p.eject(m, cause, now)
}

// ejectIfSlow ejects a member that runs tasks far slower than its peers.
func (p *Placer) ejectIfSlow(m *member, now time.Time) {
	s := m.service
	if m.health.state != healthy || m.speed.count < priorSpeedSamples+minSlowSamples || len(s.members) < minSlowMembers {
		return
	}
	if m.logSlowdown() > math.Log(slowFactor) {
		p.eject(m, CauseSlow, now)
	}
}

// logSlowdown returns the logarithm of the run time relative to the peers.
func (m *member) logSlowdown() float64 {
	s := m.service
	peers := (s.logSpeedSum - m.speed.log) / float64(max(len(s.members)-1, 1))
	return m.speed.log - peers
}

// eject stops grants to a member unless too many members of its service are ejected.
func (p *Placer) eject(m *member, cause Cause, now time.Time) {
	s, h := m.service, &m.health
	if !p.cfg.eject || s.ejected()+1 > s.maxEjected(p.cfg.maxEjectedShare) {
		return
	}
	if cause == CauseSlow {
		m.speed.count = priorSpeedSamples
	}
	h.cause = cause
	h.interval = p.nextInterval(h, now)
	p.scheduleProbe(m, now)
	p.event(Event{
		Kind: Ejected, Cause: cause, BackendServer: m.server.info.Name,
		Service: s.name, Interval: h.interval,
	})
}

// maxEjected returns how many members may be ejected: the given share of the announced
// ones, but one of two.
func (s *service) maxEjected(share float64) int {
	if s.announced == 2 {
		return 1
	}
	return int(share * float64(s.announced))
}

// ejected returns how many announced members are ejected or being probed.
func (s *service) ejected() int {
	n := 0
	for _, m := range s.members {
		if m.announced() && m.health.state != healthy {
			n++
		}
	}
	return n
}

// nextInterval returns the probe interval for a new ejection. It doubles if the member was
// restored only recently.
func (p *Placer) nextInterval(h *health, now time.Time) time.Duration {
	recent := !h.restoredAt.IsZero() && now.Sub(h.restoredAt) < relapseIntervals*h.interval
	if h.interval > 0 && recent {
		return min(2*h.interval, p.cfg.maxProbeInterval)
	}
	return p.cfg.probeInterval
}

func (p *Placer) scheduleProbe(m *member, now time.Time) {
	m.health.state, m.health.probeOutstanding = ejected, false
	p.timers.schedule(&m.health.probeTimer, now.Add(m.health.interval))
	p.refresh(m)
}

func (p *Placer) beginProbe(m *member, _ time.Time) {
	m.health.state = probing
	p.refresh(m)
}

// endProbe restores a member whose probe succeeded. Otherwise it schedules the next probe
// after twice the interval, or after the same interval if the probe would probably have
// failed on any server.
func (p *Placer) endProbe(g *grantRecord, r Result, rateElsewhere float64, now time.Time) {
	m := g.member
	if m.health.state != probing {
		return
	}
	slow := m.health.cause == CauseSlow && m.logSlowdown() > math.Log(slowFactor)
	switch {
	case r == Succeeded && !slow:
		p.resetHealth(m)
		m.health.restoredAt = now
		p.refresh(m)
		p.event(Event{Kind: Restored, Cause: m.health.cause, BackendServer: m.server.info.Name, Service: m.service.name})
	case r == Succeeded || rateElsewhere < inconclusiveRate:
		m.health.interval = min(2*m.health.interval, p.cfg.maxProbeInterval)
		p.scheduleProbe(m, now)
	default:
		p.scheduleProbe(m, now)
	}
}

// resetHealth clears the evidence on a member and lets it take tasks.
func (p *Placer) resetHealth(m *member) {
	h := &m.health
	p.timers.clear(&h.probeTimer)
	p.timers.clear(&h.backoffTimer)
	h.state, h.probeOutstanding, h.backingOff = healthy, false, false
	h.failing, h.refusing = noEvidence, noEvidence
}
