package place

import (
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Submit queues the tasks of a job, or returns why the whole job is refused. Tasks of
// the job that are already waiting or running are left unchanged.
func (p *Placer) Submit(req Request, now time.Time) *model.RefusalError {
	if req.AcceptedAt.IsZero() {
		req.AcceptedAt = now
	}
	c := p.customers[req.Customer]
	tasks := p.newTasks(req)
	if r := p.admit(c, req, tasks, now); r != nil {
		if c != nil {
			c.refused++
		}
		return r
	}
	j := p.jobs[req.Job]
	if j == nil {
		j = p.newJob(req.Job, hostKey{req.Host, req.Incarnation}, c, req.Deadline, req.AcceptedAt)
	}
	j.nonIdempotent = req.NonIdempotent
	j.size += len(tasks)
	for _, t := range tasks {
		p.enqueue(j, t, nil, now)
	}
	if !req.Deadline.IsZero() {
		j.deadline, j.due = req.Deadline, req.Deadline
	}
	p.scheduleDeadline(j)
	p.updateJobOrder(j)
	p.dispatch(now)
	return nil
}

// updateJobOrder moves the task groups of a job to their positions in the queues and
// activates their subflows.
func (p *Placer) updateJobOrder(j *job) {
	p.reorder(j)
	for _, tg := range j.groups {
		p.updateActive(tg.subflow)
	}
}

// newTasks returns the tasks of a request that are neither waiting nor running.
func (p *Placer) newTasks(req Request) []Shape {
	j := p.jobs[req.Job]
	if j == nil {
		return req.Tasks
	}
	seen := map[int]bool{}
	for _, g := range j.grants {
		seen[g.Task] = true
	}
	for _, tg := range j.groups {
		for _, t := range tg.tasks[tg.next:] {
			seen[t.index] = true
		}
	}
	var tasks []Shape
	for _, t := range req.Tasks {
		if !seen[t.Index] {
			tasks = append(tasks, t)
		}
	}
	return tasks
}

// admit checks a request against the plan of its customer, the announced servers and its
// deadline. It returns nil if the job is admitted.
func (p *Placer) admit(c *customer, req Request, tasks []Shape, now time.Time) *model.RefusalError {
	switch {
	case c == nil || !c.known:
		return refusal(model.CodeUnknownCustomer, "Customer",
			"customer %q isn't in the list of customers", req.Customer)
	case len(req.Tasks) == 0:
		return refusal(model.CodeBadRequest, "Tasks", "the job has no tasks")
	case len(req.Tasks) > c.plan.MaxJobTasks:
		return refusal(model.CodeJobTooLarge, "Tasks", "the job has %d tasks; MaxJobTasks in %s is %d",
			len(req.Tasks), c.planRef(), c.plan.MaxJobTasks)
	case c.plan.MaxRunning <= 0 || c.plan.StartsPerSecond <= 0:
		return refusal(model.CodeQuotaExhausted, "", "%s allows no task to start", c.planRef())
	}
	for i := range tasks {
		if r := p.admitTask(c, &tasks[i], now); r != nil {
			return r
		}
	}
	if c.waiting+len(tasks) > c.plan.MaxQueued {
		r := refusal(model.CodeQueueFull, "Tasks", "the job has %d tasks and %d wait already; MaxQueued in %s is %d",
			len(tasks), c.waiting, c.planRef(), c.plan.MaxQueued)
		r.RetryAfter = retryAfter
		return r
	}
	return p.admitDeadline(c, req, tasks, now)
}

// retryAfter is the delay suggested to callers whose queue is full.
const retryAfter = time.Second

func (c *customer) planRef() string { return lineOf("plans", c.planLine, c.plan.Name) }

func (p *Placer) admitTask(c *customer, t *Shape, now time.Time) *model.RefusalError {
	if !c.services[t.Service] {
		return refusal(model.CodeServiceNotInPlan, t.field(), "service %q isn't among the Services in %s",
			t.Service, c.planRef())
	}
	if !p.Ready(now) {
		return nil
	}
	s := p.services[t.Service]
	if s == nil || s.announced == 0 {
		return refusal(model.CodeNoBackendServer, t.field(), "no backend server announces service %q at the moment", t.Service)
	}
	if !s.canRun(resourcesOf(*t)) {
		return refusal(model.CodeCannotRun, t.field(),
			"no backend server of service %q has the %d accelerators and %d bytes of memory that the task declares",
			t.Service, t.Accelerators, t.MemoryBytes)
	}
	return nil
}

func (t *Shape) field() string { return fmt.Sprintf("Tasks[%d]", t.Index) }

// canRun reports whether an announced server could run a task with these needs if it were idle.
func (s *service) canRun(res resources) bool {
	if q := s.findQueue(res); q != nil {
		return q.capable > 0
	}
	for _, m := range s.members {
		if m.announced() && m.server.couldRun(res) {
			return true
		}
	}
	return false
}

func refusal(code model.Code, field, format string, args ...any) *model.RefusalError {
	return &model.RefusalError{Code: code, Field: field, Reason: fmt.Sprintf(format, args...), NotRun: true}
}
