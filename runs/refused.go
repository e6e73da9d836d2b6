package runs

import (
	"slices"
	"time"
)

// awayJob is a job that was refused here, so that its entry hosts may have handed
// it to another data centre.
type refusedJob struct {
	hosts []string
	until time.Time // its callers have left then
}

// sendAway remembers that a job was refused.
func (p *Placer) recordRefusal(j *job) {
	a := p.refused[j.ID]
	if until := j.Arrived.Add(j.Expires); until.After(a.until) {
		a.until = until
	}
	for _, w := range j.waiters {
		a.hosts = append(a.hosts, w.host)
	}
	p.refused[j.ID] = a
}

// isAway tells whether a copy of the job, from another entry host, may be with
// another data centre. This copy is to follow it: the placers there know it.
func (p *Placer) refusedElsewhere(j *job, now time.Time) bool {
	a, ok := p.refused[j.ID]
	return ok && j.Strict && now.Before(a.until) && !slices.Contains(a.hosts, j.Host)
}
