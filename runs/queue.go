package runs

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// lateFactor is the multiple of its objective that a job may take and still be useful.
const lateFactor = 3

const (
	// quietMargin is the multiple of the expected run time that has to remain for a
	// server to suffice, since the tasks of a job differ.
	quietMargin = 1.3
	busyMargin  = 1.0 // the same while more than busyJobs jobs wait
	busyJobs    = 2

	declaredError    = 0.2                   // usual error of a declared run time, as a fraction
	fastServerMargin = 50 * time.Millisecond // spare time needed to wait for a faster server: one is free within a few ms

	// priorityStep is by how much a job yields to one of the next higher priority. Most
	// objectives leave twice that.
	priorityStep = 80 * time.Millisecond
)

// latestUsefulStart returns the time since Arrived by which a job has to start to be useful.
func (j *job) latestUsefulStart() time.Duration {
	return min(lateFactor*j.Objective, j.Expires) - j.Demand.Expected
}

// latestStart returns the time by which the job has to start to meet its objective.
func (j *job) latestStart() time.Time {
	return j.Arrived.Add(j.Objective - j.Demand.Expected)
}

// enqueue queues a job by its latest start that meets the objective, which counts as
// later the lower its priority is.
func (p *Placer) enqueue(j *job) {
	j.due = j.latestStart()
	j.queueBy = j.due.Add(time.Duration(j.Priority) * priorityStep)
	if latest := j.Arrived.Add(j.latestUsefulStart()); latest.Before(j.queueBy) && p.byCost(j, p.lastInput) {
		j.queueBy = latest // its caller leaves before its objective
	}
	i, _ := slices.BinarySearchFunc(p.waiting, j, func(a, b *job) int { return a.queueBy.Compare(b.queueBy) })
	p.waiting = slices.Insert(p.waiting, i, j)
}

func (p *Placer) dequeue(j *job) {
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	if i := slices.Index(p.deferred, j); i >= 0 {
		p.deferred = slices.Delete(p.deferred, i, i+1)
	}
}

// dispatch starts tasks while servers have room: first of jobs that can meet their
// objective, then of the others. Above the capacity, jobs that are late anyway, or whose
// lateness costs least, would otherwise make all others late too.
func (p *Placer) dispatch(now time.Time) {
	if len(p.waiting) == 0 || !p.tryResume(now) {
		return
	}
	p.noRoomCPU, p.eligible = map[string]int64{}, map[string]*eligible{}
	var late []*job
	for _, j := range p.waiting {
		if j.late(now) && !j.cost.finish || j.cost.yields {
			late = append(late, j)
			continue
		}
		p.startTasks(j, now)
	}
	for _, j := range late {
		p.startTasks(j, now)
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool { return j.pending == 0 })
}

// late reports whether a job can no longer meet its objective. Its declared run time is
// only an estimate, so a job that is slightly late may still be on time.
func (j *job) late(now time.Time) bool {
	return now.After(j.due.Add(time.Duration(declaredError * float64(j.Demand.Expected))))
}

// startTasks starts as many of a job's pending tasks as possible.
func (p *Placer) startTasks(j *job, now time.Time) {
	if now.Sub(j.lastConfirmed()) > startWindow || !p.evacuation.allows(j, now) || p.barred(j.ID) {
		return // no entry host is known to wait for it, the data centre is evacuated, or a start elsewhere may be carried out
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.run != nil || len(p.orphans[t.name]) > 0 {
			continue
		}
		if least, full := p.noRoomCPU[j.Service]; full && j.Demand.CPU >= least {
			return
		}
		s, room := p.choose(t, now)
		if !room && j.Demand.Label == "" && j.Demand.Accelerators == 0 {
			p.noRoomCPU[j.Service] = j.Demand.CPU
		}
		if s == nil {
			return
		}
		p.startOn(t, s, now)
	}
}

// choose returns the server with room on which the task ends first. If only a faster
// server suffices for a task, the task waits for one while it can, and s is nil. room
// reports whether any server had room.
func (p *Placer) choose(t *task, now time.Time) (s *server, room bool) {
	margin := quietMargin
	if len(p.waiting) > busyJobs {
		margin = busyMargin
	}
	remaining := t.job.Arrived.Add(t.job.Objective).Sub(now)
	suffices := func(expected, remaining time.Duration) bool {
		return time.Duration(margin*float64(expected)) <= remaining
	}
	first, fastest := p.options(t, now)
	switch {
	case first.server == nil:
		return nil, false
	case !suffices(first.expected, remaining) && suffices(fastest, remaining-fastServerMargin):
		return nil, true
	default:
		return first.server, true
	}
}

// option is a server with room for a task, and how long the task would run there.
type option struct {
	server   *server
	expected time.Duration
}

// eligible are the servers of a service that may get a task in one dispatch.
type eligible struct {
	servers []*server
	fastest float64 // least ratio of measured to declared run times among them
}

// eligibleFor returns the eligible servers of a service. Of what makes a server usable, only the
// number of its runs changes during a dispatch.
func (p *Placer) eligibleFor(service string, now time.Time) *eligible {
	c, ok := p.eligible[service]
	if ok {
		return c
	}
	c = &eligible{}
	p.eligible[service] = c
	for _, s := range p.order {
		if s.Service != service || !s.usable(now) {
			continue
		}
		c.servers = append(c.servers, s)
		if f := p.speeds.factorOf(s); c.fastest == 0 || f < c.fastest {
			c.fastest = f
		}
	}
	return c
}

// options returns the best server with room, and the run time on the fastest server,
// whether it has room or not.
func (p *Placer) options(t *task, now time.Time) (first option, fastest time.Duration) {
	d := t.job.Demand
	c := p.eligibleFor(t.job.Service, now)
	anywhere := d.Label == "" && d.PerServer == 0
	if anywhere && len(c.servers) > 0 {
		fastest = runTime(d.Expected, c.fastest)
	}
	leaseEnd := now.Add(minLease)
	for _, s := range c.servers {
		room := s.hasRoom(d)
		if anywhere && !room || !p.takes(s, t, now) {
			continue
		}
		o := option{server: s, expected: p.speeds.expected(d.Expected, s)}
		if !anywhere && (fastest == 0 || o.expected < fastest) {
			fastest = o.expected
		}
		if !room {
			continue
		}
		if s.Name == t.avoid {
			o.expected *= stuckFactor
		}
		if o.before(first) && !s.leaseLimit(leaseEnd).Before(leaseEnd) {
			first = o
		}
	}
	return first, fastest
}

// before reports whether the option is better than another one, which may be empty.
// Among equally fast servers the fuller one leaves more room elsewhere.
func (o option) before(other option) bool {
	switch {
	case other.server == nil:
		return true
	case o.expected != other.expected:
		return o.expected < other.expected
	default:
		return o.server.CPU-o.server.used.CPU < other.server.CPU-other.server.used.CPU
	}
}

// takes reports whether an eligible server may get the task if it has room.
func (p *Placer) takes(s *server, t *task, now time.Time) bool {
	return s.health.allows(len(s.runs), now) && p.allowed(t, s)
}

// allowed reports whether the job's label and limit per server allow the task on the server.
func (p *Placer) allowed(t *task, s *server) bool {
	d := t.job.Demand
	if d.Label != "" && !slices.Contains(s.Labels, d.Label) {
		return false
	}
	if d.PerServer == 0 {
		return true
	}
	n := 0
	for _, r := range s.runs {
		if r.task != nil && r.task.job == t.job {
			n++
		}
	}
	return n < d.PerServer
}

// unplaceableEnd returns how a job ends that no known server could ever run. The placer of another
// shard may have such a server, so a job that can't have runs here is refused.
func (p *Placer) unplaceableEnd(j *job) model.JobEnd {
	if p.partial && !j.Again && !p.hasOrphans(j) {
		return model.JobEndRefused
	}
	return model.JobEndFailed
}

// unplaceable returns why no known server could ever run the job, or "". A placer that
// knows no server of the service returns "", and so does one whose data centre is
// evacuated, as its servers may have left.
func (p *Placer) unplaceable(j *job, now time.Time) string {
	if p.evacuation.active(now) {
		return ""
	}
	found := false
	for _, s := range p.order {
		if s.Service != j.Service {
			continue
		}
		found = true
		if fits(j.Demand, s) {
			return ""
		}
	}
	if !found {
		return ""
	}
	return reasonUnplaceable
}
