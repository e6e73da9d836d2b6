package runs

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// lateFactor is how many times its objective a job may take and still be worth
// something.
const lateFactor = 3

// useful returns until when since it came a job has to begin to be of use.
func (j *job) useful() time.Duration {
	return min(lateFactor*j.Objective, j.Expires) - j.Demand.Expected
}

// enqueue puts a job among those that wait, by the latest start that meets its
// objective.
func (p *Placer) enqueue(j *job) {
	j.due = j.Came.Add(j.Objective - j.Demand.Expected)
	i, _ := slices.BinarySearchFunc(p.waiting, j, func(a, b *job) int { return a.due.Compare(b.due) })
	p.waiting = slices.Insert(p.waiting, i, j)
}

func (p *Placer) unqueue(j *job) {
	if i := slices.Index(p.waiting, j); i >= 0 {
		p.waiting = slices.Delete(p.waiting, i, i+1)
	}
	if i := slices.Index(p.again, j); i >= 0 {
		p.again = slices.Delete(p.again, i, i+1)
	}
}

// pump starts tasks while servers have room: first of jobs that can still meet
// their objective, then of the others.
func (p *Placer) pump(now time.Time) {
	if len(p.waiting) == 0 {
		return
	}
	for _, late := range []bool{false, true} {
		for _, j := range slices.Clone(p.waiting) {
			if now.After(j.due) == late {
				p.place(j, now)
			}
		}
	}
	p.waiting = slices.DeleteFunc(p.waiting, func(j *job) bool { return j.idle == 0 })
}

// place starts what it can of a job's waiting tasks.
func (p *Placer) place(j *job, now time.Time) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.done || t.run != nil {
			continue
		}
		s := p.choose(t, now)
		if s == nil {
			return
		}
		p.startOn(t, s, now)
	}
}

// choose returns the server with room on which the task ends first; among equals
// the fullest, which leaves room for large tasks elsewhere.
func (p *Placer) choose(t *task, now time.Time) *server {
	var best *server
	var least time.Duration
	for _, s := range p.servers {
		if s.Service != t.job.Service || !s.usable(now) || !s.hasRoom(t.job.Demand) || !p.allowed(t, s) {
			continue
		}
		expected := p.speeds.expected(t.job.Demand.Expected, s)
		if s.Name == t.avoid {
			expected *= standFactor
		}
		if best == nil || expected < least || (expected == least && better(s, best)) {
			best, least = s, expected
		}
	}
	return best
}

// better orders servers that are equally fast.
func better(a, b *server) bool {
	left, right := a.CPU-a.used.CPU, b.CPU-b.used.CPU
	if left != right {
		return left < right
	}
	return a.Name < b.Name
}

// allowed tells whether the job's own demands let the task run on the server.
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

// impossible returns why no server that is known could ever run the job, or
// nothing. A placer that knows no server of the service can't tell.
func (p *Placer) impossible(j *job) string {
	seen := false
	for _, s := range p.servers {
		if s.Service != j.Service {
			continue
		}
		seen = true
		d := j.Demand
		fits := d.CPU <= s.CPU && d.MemoryMB <= s.MemoryMB && d.Accelerators <= s.Accelerators
		if fits && (d.Label == "" || slices.Contains(s.Labels, d.Label)) {
			return ""
		}
	}
	if !seen {
		return ""
	}
	return "no backend server is large enough or has the label"
}

// retryAfter returns how long the work that waits will take.
func (p *Placer) retryAfter(j *job) time.Duration {
	work, rate := time.Duration(0), 0.0
	for _, other := range p.waiting {
		work += time.Duration(other.idle) * other.Demand.Expected
	}
	for _, s := range p.servers {
		if s.Service == j.Service && j.Demand.CPU > 0 {
			rate += float64(s.CPU/j.Demand.CPU) / p.speeds.factor(s)
		}
	}
	if rate == 0 {
		return time.Second
	}
	return max(time.Duration(float64(work)/rate), model.LeastRetryAfter)
}
