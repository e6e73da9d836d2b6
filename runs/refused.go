package runs

import (
	"slices"
	"time"
)

// refusedJob is a job that was refused here, so that its entry hosts may have handed
// it over to another data centre.
type refusedJob struct {
	hosts []string
	until time.Time // when its callers stop waiting
	to    roomRef   // the shard that it was sent to because that one had room
}

// recordRefusal records that a job was refused.
func (p *Placer) recordRefusal(j *job) {
	a := p.refused[j.ID]
	if until := j.Arrived.Add(j.Expires); until.After(a.until) {
		a.until = until
	}
	if a.to.shard != 0 && j.refusedTo.shard == 0 {
		a.hosts = nil // they were sent to a shard that had room, and don't know of this refusal
	}
	a.to = j.refusedTo
	for _, w := range j.waiters {
		a.hosts = append(a.hosts, w.host)
	}
	p.refused[j.ID] = a
}

// mayBeElsewhere reports whether the job may be in another data centre, because a copy of
// it from another entry host was refused here. This copy has to be handed over there too,
// where the placers know the job.
func (p *Placer) mayBeElsewhere(j *job, now time.Time) bool {
	a, ok := p.refused[j.ID]
	return ok && j.Strict && now.Before(a.until) && !slices.Contains(a.hosts, j.Host)
}
