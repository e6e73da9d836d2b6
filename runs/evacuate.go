package runs

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// EvacuationGrace is how long after the order to evacuate its data centre a job that has
	// running tasks may start the others. No task may start 5 s after the acknowledgement
	// of the order, of which its propagation takes less than EvacuationSettle.
	EvacuationGrace = 2 * time.Second

	// EvacuationSettle bounds the time between two hosts that learn of the same change of the
	// evacuations. They are told at once; if the leader of the core is lost at that moment, an
	// election takes 0.35 to 0.7 s, entry hosts ask the other hosts of the core after 0.5 s,
	// and renew every 0.2 s. Until it has passed, entry hosts still hand jobs to the placer of
	// the data centre first, and the placer refuses jobs: copies of a job from entry hosts
	// that know the change and ones that don't take the same way.
	EvacuationSettle = 1500 * time.Millisecond
)

const (
	reasonEvacuated       = "its data centre is evacuated"
	reasonEvacuationGrace = "its data centre is evacuated, and tasks of it had not started in time"
)

// evacuation is the state of the evacuation of the placer's data centre.
type evacuation struct {
	on           bool
	graceEnd     time.Time // until then, jobs that have started may start their other tasks
	settledAfter time.Time // until then, jobs are refused even though the order was reverted
}

// active reports whether the placer refuses jobs of which nothing has started.
func (e evacuation) active(now time.Time) bool {
	return e.on || now.Before(e.settledAfter)
}

// allows reports whether tasks of a job may start.
func (e evacuation) allows(j *job, now time.Time) bool {
	if !e.active(now) {
		return true
	}
	return j.started && (!e.on || now.Before(e.graceEnd))
}

// Evacuate ends the placing of jobs of which nothing has started: their entry hosts hand them over to
// other data centres. Runs continue to their end. Since is the latest time at which the evacuation was
// surely not ordered yet, and zero if that is unknown.
func (p *Placer) Evacuate(since time.Time) {
	if !p.evacuation.on {
		p.evacuation = evacuation{on: true, graceEnd: since.Add(EvacuationGrace)}
	}
}

// EndEvacuation records that the order to evacuate the data centre was reverted at a given time. Jobs
// are placed again EvacuationSettle later.
func (p *Placer) EndEvacuation(at time.Time) {
	p.evacuation = evacuation{settledAfter: at.Add(EvacuationSettle)}
}

// evacuateJobs ends the waiting jobs that must not start any task. A job that has not started but has
// runs of its tasks that no job holds waits until these have ended, because it might otherwise be
// started elsewhere beside them.
func (p *Placer) evacuateJobs(now time.Time) {
	if !p.evacuation.active(now) {
		return
	}
	for _, j := range slices.Clone(p.waiting) {
		switch {
		case j.pending == 0: // all of its tasks were adopted
		case !j.started && !p.hasOrphans(j):
			p.end(j, model.JobEndRefused, reasonEvacuated, now)
		case j.started && !p.evacuation.allows(j, now):
			p.end(j, model.JobEndUnknown, reasonEvacuationGrace, now)
		}
	}
}
