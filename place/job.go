package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/pqueue"
)

const (
	dueGranularity       = 5 * time.Second  // jobs without a deadline that arrive within it count as equally old
	idleJobRetention     = 10 * time.Second // time an idle job is kept because a retry may follow
	maxRetryBudgetFactor = 10               // upper bound of a retry budget, in initial budgets
	minJobRetries        = 3                // retries that even the smallest job has
)

// hostKey identifies one incarnation of an entry host.
type hostKey struct {
	name        string
	incarnation uint64
}

// job is a job with waiting or running tasks, or one kept for a possible retry.
type job struct {
	name          string
	host          hostKey
	customer      *customer
	deadline      time.Time // zero for none
	due           time.Time // deadline, or the implied one
	seq           uint64    // order of arrival
	nonIdempotent bool
	size          int
	groups        []*taskGroup
	grants        []*grantRecord
	waiting       int
	granted       int // grants issued so far
	maybeRun      int // of those, the ones whose task may have run
	retries       int
	cancelled     bool
	failedTask    int     // latest task that failed to start
	failedOn      *server // the server on which it failed to start
	expiry        timer   // at the deadline, or at the removal of an idle job
}

// taskGroup holds the waiting tasks of one job that need the same resources.
type taskGroup struct {
	job     *job
	subflow *subflow
	tasks   []waitingTask
	next    int   // first task that is still waiting
	bucket  int64 // of the flow's backlog
	pos     int   // in subflow.jobs, -1 when no task is waiting
}

// waitingTask is one task that is waiting for a slot.
type waitingTask struct {
	index int
	since time.Time
	avoid *server // server on which it failed to start before
}

func newTaskGroups() pqueue.Heap[*taskGroup] {
	return pqueue.Heap[*taskGroup]{
		Less:   groupBefore,
		SetPos: func(tg *taskGroup, pos int) { tg.pos = pos },
	}
}

// groupBefore orders the jobs of one customer: earliest due time first, then fewest
// remaining tasks, then order of arrival.
func groupBefore(a, b *taskGroup) bool {
	switch c := a.job.due.Compare(b.job.due); {
	case c != 0:
		return c < 0
	case a.job.remaining() != b.job.remaining():
		return a.job.remaining() < b.job.remaining()
	default:
		return a.job.seq < b.job.seq
	}
}

func (tg *taskGroup) waiting() int { return len(tg.tasks) - tg.next }

func (j *job) remaining() int { return j.waiting + len(j.grants) }

func (j *job) idle() bool { return j.waiting == 0 && len(j.grants) == 0 }

// impliedDue returns the due time of a job without a deadline. It is rounded so
// that jobs of about the same age are ordered by their remaining tasks.
func impliedDue(at time.Time, implied time.Duration) time.Time {
	return at.Add(implied).Truncate(dueGranularity).Add(dueGranularity)
}

func (p *Placer) newJob(name string, host hostKey, c *customer, deadline, at time.Time) *job {
	p.jobSeq++
	j := &job{name: name, host: host, customer: c, deadline: deadline, due: deadline, seq: p.jobSeq}
	if deadline.IsZero() {
		j.due = impliedDue(at, p.cfg.impliedDeadline)
	}
	j.expiry = newTimer(func(now time.Time) { p.expireJob(j, now) })
	p.jobs[name] = j
	if p.hosts[host] == nil {
		p.hosts[host] = &hostState{jobs: map[*job]struct{}{}}
	}
	p.hosts[host].jobs[j] = struct{}{}
	return j
}

// enqueue adds a waiting task to its job. avoid is the server on which the task failed to
// start before, or nil.
func (p *Placer) enqueue(j *job, t Shape, avoid *server, now time.Time) {
	s := p.service(t.Service)
	f := p.flow(j.customer, s)
	f.run.setPrior(t.Expected)
	s.run.setPrior(t.Expected)
	sf := f.subflow(p.resourceQueue(s, resourcesOf(t), now))
	tg := j.taskGroup(sf)
	if tg.pos < 0 {
		tg.bucket = f.backlog.bucket(j.due, now)
		sf.jobs.Push(tg)
	}
	tg.tasks = append(tg.tasks, waitingTask{index: t.Index, since: now, avoid: avoid})
	p.countWaiting(tg, 1)
	p.updateNoServerTimer(sf.queue, now)
}

func (j *job) taskGroup(sf *subflow) *taskGroup {
	for _, tg := range j.groups {
		if tg.subflow == sf {
			return tg
		}
	}
	tg := &taskGroup{job: j, subflow: sf, pos: -1}
	j.groups = append(j.groups, tg)
	return tg
}

// countWaiting adds n, which may be negative, to all counts of waiting tasks.
func (p *Placer) countWaiting(tg *taskGroup, n int) {
	sf := tg.subflow
	sf.waiting += n
	sf.flow.service.waiting += n
	if sf.pos >= 0 {
		sf.flow.service.eligible += n
	}
	sf.flow.backlog.add(tg.bucket, n)
	sf.flow.customer.waiting += n
	tg.job.waiting += n
}

// reorder moves the task groups of a job after the number of its remaining tasks has changed.
func (p *Placer) reorder(j *job) {
	for _, tg := range j.groups {
		if tg.pos >= 0 {
			tg.subflow.jobs.Fix(tg.pos)
		}
	}
}

// take removes and returns the first waiting task of a task group.
func (p *Placer) take(tg *taskGroup) waitingTask {
	t := tg.tasks[tg.next]
	tg.next++
	p.countWaiting(tg, -1)
	if tg.waiting() == 0 {
		tg.tasks, tg.next = tg.tasks[:0], 0
		tg.subflow.jobs.Remove(tg.pos)
	}
	return t
}

// drop removes all waiting tasks of a job and returns their number.
func (p *Placer) drop(j *job) int {
	n := j.waiting
	for _, tg := range j.groups {
		if tg.pos < 0 {
			continue
		}
		p.countWaiting(tg, -tg.waiting())
		tg.tasks, tg.next = nil, 0
		tg.subflow.jobs.Remove(tg.pos)
		p.updateActive(tg.subflow)
	}
	return n
}

// refuse drops the waiting tasks of a job and reports the refusal to its entry host.
func (p *Placer) refuse(j *job, code model.Code, reason string, now time.Time) {
	if p.drop(j) == 0 {
		return
	}
	j.customer.refused++
	p.out.Refusals = append(p.out.Refusals, Refusal{
		Job: j.name, Host: j.host.name, Incarnation: j.host.incarnation, Customer: j.customer.name,
		Refusal: &model.RefusalError{Code: code, Reason: reason, NotRun: j.granted == 0},
	})
	p.removeIdle(j, false, now)
}

// removeIdle removes a job without waiting or running tasks: after idleJobRetention
// if a retry may follow, immediately otherwise.
func (p *Placer) removeIdle(j *job, mayRetry bool, now time.Time) {
	switch {
	case !j.idle():
	case mayRetry && !j.cancelled:
		p.timers.schedule(&j.expiry, now.Add(idleJobRetention))
	default:
		p.remove(j)
	}
}

func (p *Placer) remove(j *job) {
	p.timers.clear(&j.expiry)
	delete(p.jobs, j.name)
	hs := p.hosts[j.host]
	delete(hs.jobs, j)
	if len(hs.jobs) == 0 && hs.idle() {
		delete(p.hosts, j.host)
	}
}

// scheduleDeadline sets the timer of a job to its deadline.
func (p *Placer) scheduleDeadline(j *job) {
	if j.deadline.IsZero() {
		p.timers.clear(&j.expiry)
		return
	}
	p.timers.schedule(&j.expiry, j.deadline)
}

func (p *Placer) expireJob(j *job, now time.Time) {
	if j.idle() {
		p.remove(j)
		return
	}
	if j.deadline.IsZero() || now.Before(j.deadline) {
		return
	}
	p.refuse(j, model.CodeDeadlinePassed, "the deadline passed while tasks of the job waited for a slot", now)
}
