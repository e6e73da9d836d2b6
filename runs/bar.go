package runs

import (
	"maps"
	"slices"
	"time"
)

// A start that got no answer may be carried out up to maxOrderDelay later, if its server doesn't answer the stop either
// because it is cut off. The placer that ordered it waits for that with copies of the job. It also tells the placers
// to which copies may go, which bar the job until the start can't be carried out any more.

const (
	// barDelay is how long a job has been given up before others are told: the answer to a stop takes less, and a
	// caller resends the job after 1.3 s.
	barDelay = 200 * time.Millisecond

	// barInterval is the time after which they are told again, as a placer may have begun since.
	barInterval = time.Second

	maxBars = 4096 // bounds the jobs with bars that are kept
)

// Bar bars a job for some time, or lifts the bar if Remaining is 0.
type Bar struct {
	Job       string
	Remaining time.Duration
}

// reportLateStarts tells the other placers which jobs that were given up have starts that may still be carried out.
func (p *Placer) reportLateStarts(now time.Time) {
	if len(p.orphans) == 0 && len(p.barsSent) == 0 {
		return
	}
	until := map[string]time.Time{}
	for _, runs := range p.orphans {
		for _, r := range runs {
			end := r.sent.Add(maxOrderDelay)
			if r.mayStillStart() && now.Sub(r.orphanedAt) >= barDelay && end.After(now) && end.After(until[jobOf(r.name)]) {
				until[jobOf(r.name)] = end
			}
		}
	}
	for _, job := range slices.Sorted(maps.Keys(until)) {
		if now.Sub(p.barsSent[job]) >= barInterval {
			if p.barsSent[job].IsZero() {
				p.event(Event{Kind: EventBarred, Job: job, Reason: "given up here", Interval: until[job].Sub(now)})
			}
			p.barsSent[job] = now
			p.out.Bars = append(p.out.Bars, Bar{Job: job, Remaining: until[job].Sub(now)})
		}
	}
	for _, job := range slices.Sorted(maps.Keys(p.barsSent)) {
		if until[job].IsZero() {
			delete(p.barsSent, job)
			p.out.Bars = append(p.out.Bars, Bar{Job: job})
		}
	}
}

// Bar handles a bar of another placer, the source. Copies of the job wait until it ends.
func (p *Placer) Bar(b Bar, source string, now time.Time) {
	bars := p.bars[b.Job]
	switch {
	case b.Remaining <= 0:
		delete(bars, source)
		if len(bars) == 0 {
			delete(p.bars, b.Job)
		}
		return
	case bars == nil && len(p.bars) >= maxBars:
		return
	case bars == nil:
		bars = map[string]time.Time{}
		p.bars[b.Job] = bars
	}
	bars[source] = now.Add(min(b.Remaining, maxOrderDelay))
}

// barred reports whether a start of the job that another placer ordered may still be carried out.
func (p *Placer) barred(job string) bool {
	return len(p.bars[job]) > 0
}

// expireBars removes the bars that are over.
func (p *Placer) expireBars(now time.Time) {
	for job, bars := range p.bars {
		maps.DeleteFunc(bars, func(_ string, until time.Time) bool { return !now.Before(until) })
		if len(bars) == 0 {
			delete(p.bars, job)
		}
	}
}
