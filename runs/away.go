package runs

import (
	"slices"
	"time"
)

// awayJob is a job that was refused here, so that its entry hosts may have handed
// it to another data centre.
type awayJob struct {
	hosts []string
	until time.Time // its callers have left then
}

// sendAway remembers that a job was refused.
func (p *Placer) sendAway(j *job) {
	a := p.away[j.ID]
	if until := j.Came.Add(j.Expires); until.After(a.until) {
		a.until = until
	}
	for _, w := range j.waiters {
		a.hosts = append(a.hosts, w.host)
	}
	p.away[j.ID] = a
}

// isAway tells whether a copy of the job, from another entry host, may be with
// another data centre. This copy is to follow it: the placers there know it.
func (p *Placer) isAway(j *job, now time.Time) bool {
	a, ok := p.away[j.ID]
	return ok && j.Strict && now.Before(a.until) && !slices.Contains(a.hosts, j.Host)
}
