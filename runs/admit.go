package runs

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// refusalReason returns why a job is refused immediately, or "". It sheds load above the
// capacity: a job that would wait too long is refused before it has waited, while
// another data centre may have room or its caller can resend it in time. Neither may
// run a job that still has orphans here.
func (p *Placer) refusalReason(j *job, now time.Time) string {
	if j.Again || p.hasOrphans(j) {
		return ""
	}
	if p.evacuation.active(now) {
		return reasonEvacuated
	}
	if p.mayBeElsewhere(j, now) {
		return reasonMayBeElsewhere
	}
	if reason := p.roomReason(j, now); reason != "" {
		return reason
	}
	if p.lacksServers(j, now) {
		return reasonNoServer
	}
	limit, reason := j.latestUsefulStart(), "the work ahead of it takes too long"
	if j.Strict {
		limit, reason = j.Objective-j.Demand.Expected, "the work ahead of it takes too long for its objective"
	}
	wait := time.Duration(0) // a job that is compared by cost waits as long as the next plan says
	if !p.byCost(j, now) {
		wait = p.estimateWait(j, now)
	}
	if now.Add(wait).Sub(j.Arrived) > limit {
		return reason
	}
	return ""
}

// estimateWait estimates how long a job waits for its last task to start: the work of
// the jobs before it and its own, at the rate at which the servers work. Jobs
// that can no longer meet their objective yield to it.
func (p *Placer) estimateWait(j *job, now time.Time) time.Duration {
	rate, room := p.rate(j, now)
	ahead := time.Duration(0)
	due := j.latestStart()
	for _, other := range p.waiting {
		if other.Service == j.Service && !other.due.After(due) && !other.late(now) {
			ahead += other.work()
		}
	}
	own := time.Duration(max(int64(j.Tasks)-room, 0)) * j.Demand.Expected
	if ahead+own == 0 || rate == 0 {
		return 0 // a placer without servers learns of some soon
	}
	return time.Duration(float64(ahead+own) / rate)
}

// rate returns how much declared run time the servers complete per unit of time with
// tasks as large as the job's, and for how many of these tasks there is room.
func (p *Placer) rate(j *job, now time.Time) (rate float64, room int64) {
	for _, s := range p.order {
		if s.Service != j.Service || !s.usable(now) || !fits(j.Demand, s) {
			continue
		}
		slots := s.slots(j.Demand)
		rate += float64(slots) / p.speeds.factorOf(s)
		room += max(slots-int64(len(s.runs)), 0)
	}
	return rate, room
}

// work returns the declared run time of the pending tasks.
func (j *job) work() time.Duration {
	return time.Duration(j.pending) * j.Demand.Expected
}

// refuseLate refuses jobs that can no longer meet their objective, that have not
// started, and whose turn won't come while it is useful: above the capacity they would
// wait and still be refused. Jobs that are compared by cost aren't judged here.
func (p *Placer) refuseLate(now time.Time) {
	ahead := map[string]time.Duration{} // work before the next late job, by service
	rates := map[string]float64{}
	for _, j := range p.waiting {
		if !j.late(now) {
			ahead[j.Service] += j.work()
		}
	}
	for _, j := range slices.Clone(p.waiting) {
		if !j.late(now) || p.byCost(j, now) {
			continue
		}
		rate, ok := rates[j.Service]
		if !ok {
			rate, _ = p.rate(j, now)
			rates[j.Service] = rate
		}
		wait := time.Duration(float64(ahead[j.Service]) / max(rate, 1))
		if !j.started && rate > 0 && now.Sub(j.Arrived)+wait > j.latestUsefulStart() && !p.hasOrphans(j) {
			p.end(j, model.JobEndRefused, "the work ahead of it takes too long", now)
			continue
		}
		ahead[j.Service] += j.work()
	}
}

// slots returns how many such tasks the server can run at the same time.
func (s *server) slots(d model.Demand) int64 {
	n := int64(1 << 20)
	if d.CPU > 0 {
		n = min(n, s.CPU/d.CPU)
	}
	if d.MemoryMB > 0 {
		n = min(n, s.MemoryMB/d.MemoryMB)
	}
	if d.Accelerators > 0 {
		n = min(n, s.Accelerators/d.Accelerators)
	}
	return n
}

// fits reports whether an empty server could run such a task.
func fits(d model.Demand, s *server) bool {
	return s.slots(d) > 0 && (d.Label == "" || slices.Contains(s.Labels, d.Label))
}

// usableServers returns how many servers could get a task if they had room.
func (p *Placer) usableServers(now time.Time) int {
	n := 0
	for _, s := range p.order {
		if s.usable(now) {
			n++
		}
	}
	return n
}
