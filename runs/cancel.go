package runs

import (
	"iter"
	"maps"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// CancelRetention is how long the id of a cancelled job is kept: copies of its request arrive as late as
	// orders do, and a caller resends it once more after 1.3 s.
	CancelRetention = maxOrderDelay + 2*time.Second

	// MaxCancelled bounds the ids that are kept. At up to 255 bytes each they take about 1 MB.
	MaxCancelled = 4096

	// maxUnknownCancelled bounds the kept ids of jobs that no placer had open, so that a flood of cancels with invented
	// ids leaves room for those of open jobs.
	maxUnknownCancelled = MaxCancelled / 4
)

// CancelResult tells what a cancel has met.
type CancelResult struct {
	Known bool // a placer had the job open when it was cancelled, now or earlier
	Ended bool // the job had ended before
	Kept  bool // false if too many ids are kept already; a job that was open has ended nevertheless
}

type cancelledJob struct {
	at   time.Time
	open bool // a placer had the job open when it was cancelled
}

// CancelledJobs are the ids of the jobs that were cancelled recently. Its zero value is empty.
type CancelledJobs struct {
	jobs    map[string]cancelledJob
	unknown int // ids that no placer is known to have had open
}

// Add keeps an id, and reports whether a placer had its job open then or at an earlier cancel, and whether it is kept.
func (c *CancelledJobs) Add(id string, open bool, now time.Time) (known, kept bool) {
	old, ok := c.jobs[id]
	known = old.open || open
	if !ok && (len(c.jobs) >= MaxCancelled || !known && c.unknown >= maxUnknownCancelled) {
		return known, false
	}
	if ok && !old.open {
		c.unknown--
	}
	if !known {
		c.unknown++
	}
	if c.jobs == nil {
		c.jobs = map[string]cancelledJob{}
	}
	c.jobs[id] = cancelledJob{at: now, open: known}
	return known, true
}

// All returns the ids, with true for those whose jobs a placer had open.
func (c *CancelledJobs) All() iter.Seq2[string, bool] {
	return func(yield func(string, bool) bool) {
		for id, j := range c.jobs {
			if !yield(id, j.open) {
				return
			}
		}
	}
}

// Evict removes the ids that have been kept for CancelRetention.
func (c *CancelledJobs) Evict(now time.Time) {
	maps.DeleteFunc(c.jobs, func(_ string, j cancelledJob) bool {
		expired := now.Sub(j.at) > CancelRetention
		if expired && !j.open {
			c.unknown--
		}
		return expired
	})
}

// Cancel ends a job for all entry hosts that wait for it, and refuses the copies that arrive later. held tells that
// another placer had the job open and has cancelled it. An id alone doesn't count as known: its first cancel may not
// have reached the placer that has the job.
func (p *Placer) Cancel(id string, held bool, now time.Time) CancelResult {
	p.noteInput(now)
	j, open := p.jobs[id]
	known, kept := p.cancelled.Add(id, held || open, now)
	if !kept {
		p.event(Event{Kind: EventCancelNotKept, Job: id})
	}
	if open {
		p.end(j, model.JobEndCancelled, "cancelled by its caller", now)
	}
	_, ended := p.ended[id]
	return CancelResult{Known: known, Ended: ended, Kept: kept}
}

// refuseCancelled ends a copy of a job that was cancelled, and reports whether it was. A job that ended before its
// cancel keeps its end as long as that is kept.
func (p *Placer) refuseCancelled(j Job, now time.Time) bool {
	if _, ended := p.ended[j.ID]; ended {
		return false
	}
	if _, ok := p.cancelled.jobs[j.ID]; !ok {
		return false
	}
	p.out.Ends = append(p.out.Ends, End{
		Job: j.ID, Host: j.Host, Incarnation: j.Incarnation, Hand: j.Hand, Route: j.Route, State: model.JobEndCancelled,
		Reason: "its caller has cancelled it", Took: now.Sub(j.Arrived), Waited: now.Sub(j.Arrived),
	})
	return true
}
