package jobs

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// granted starts the call of a grant, or returns the slot.
func (r *Runner) granted(m msgs.Grant) {
	if m.View != r.grantView() {
		return // the primary that granted it has been replaced and its slot records are gone
	}
	if _, used := r.grants[m.ID]; used {
		return // a duplicate, or a number used again by a group that has lost its state
	}
	j := r.jobs[m.Job]
	if j == nil || j.stage == stageCommitting {
		r.sendDrop(m.Job) // the placer has not been notified that the job has ended
	}
	r.checkLease(r.Now()) // if the lease has expired, the next one asks again for the waiting tasks
	if !r.mayStart(j, m) {
		r.sendDone(m, msgs.ResultWithdrawn, CallEnded{})
		return
	}
	j.states[m.Task] = taskCalled
	j.calls++
	j.started = true
	r.grants[m.ID] = &grant{msg: m, job: j.id}
	if r.lease.alone {
		r.Hooks.AloneTask()
	}
	m.Fence = max(m.Fence, r.lease.fence)
	r.Call(Call{
		Grant:        m,
		Task:         fmt.Sprintf("%s/%d/%d", j.id, m.Task, m.ID),
		Body:         j.sub.Tasks[m.Task].Body,
		Deadline:     j.deadline,
		LeaseExpires: r.lease.expires,
	})
}

func (r *Runner) mayStart(j *job, m msgs.Grant) bool {
	if j == nil || j.stage != stageRunning || j.remote.dataCentre != "" || !r.leaseHolds() {
		return false
	}
	return m.Incarnation == r.incarnation && m.Task < len(j.states) && j.states[m.Task] == taskWaiting
}

// sendDone returns a slot to the primary that granted it, or queues the message while there is no
// primary.
func (r *Runner) sendDone(m msgs.Grant, result msgs.Result, c CallEnded) {
	body := msgs.Done{Grant: m.ID, View: m.View, Result: result, Ran: c.Ran, Host: r.Self.Name}
	if r.lease.primary == "" || r.lease.alone && m.View != msgs.AloneView {
		r.pendingDone = append(r.pendingDone, body)
		return
	}
	_ = r.Send(r.lease.primary, msgs.ServiceGroup, body)
}

// flushPendingDone returns the slots that were freed while there was no primary. Those of another
// view are dropped: its primary learns of them from the report of outstanding grants. While this host
// serves alone, they are kept for the primary.
func (r *Runner) flushPendingDone() {
	var kept []msgs.Done
	for _, body := range r.pendingDone {
		switch {
		case body.View == r.grantView():
			_ = r.Send(r.lease.primary, msgs.ServiceGroup, body)
		case r.lease.alone:
			kept = append(kept, body)
		}
	}
	r.pendingDone = kept
}

func (r *Runner) sendDrop(job string) {
	if r.lease.primary != "" {
		_ = r.Send(r.lease.primary, msgs.ServiceGroup, msgs.Drop{Job: job, Host: r.Self.Name})
	}
}

// callEnded returns the slot of a finished call and records the result of its task.
func (r *Runner) callEnded(m CallEnded) {
	g, ok := r.grants[m.Grant]
	if !ok {
		return
	}
	delete(r.grants, m.Grant)
	r.Hooks.TaskResult(m.Result)
	r.sendDone(g.msg, m.Result, m)
	j, ok := r.jobs[g.job]
	if !ok {
		return
	}
	j.calls--
	j.longestRun = max(j.longestRun, m.Ran)
	if j.stage == stageRunning {
		r.taskEnded(j, g.msg.Task, m)
	}
}

func (r *Runner) taskEnded(j *job, task int, m CallEnded) {
	switch m.Result {
	case msgs.ResultSucceeded:
		j.states[task] = taskDone
		j.results[task] = m.Output
		j.remaining--
		if j.remaining == 0 {
			r.decide(j, model.Answer{Job: j.id, State: model.JobComplete, Results: j.results})
		}
	case msgs.ResultNotStarted:
		j.states[task] = taskWaiting // the placer retries it or refuses the job
		r.Hooks.Retried("NotStarted")
	case msgs.ResultFailed:
		r.fail(j, model.CodeTaskFailed, fmt.Sprintf("task %d failed on backend server: %s", task, m.Reason))
	default:
		r.fail(j, model.CodeOutcomeUnknown, fmt.Sprintf("task %d may or may not have run: %s", task, m.Reason))
	}
}
