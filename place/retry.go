package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Retry queues a task again that certainly did not start. The retry counts against the
// budgets of its job and its customer. The refusal sets NotRun only if no task of the job
// may have run.
func (p *Placer) Retry(name string, t Shape, now time.Time) *model.RefusalError {
	j, ok := p.jobs[name]
	if !ok {
		return &model.RefusalError{Code: model.CodeNotFound, Reason: "the job has no tasks that wait or run"}
	}
	if r := p.admitRetry(j, t, now); r != nil {
		r.NotRun = j.maybeRun == 0
		p.removeIdle(j, false, now)
		return r
	}
	j.retries++
	j.customer.retryBudget--
	p.enqueue(j, t, j.lastFailedServer(t.Index), now)
	p.scheduleDeadline(j)
	p.updateJobOrder(j)
	p.dispatch(now)
	return nil
}

func (p *Placer) admitRetry(j *job, t Shape, now time.Time) *model.RefusalError {
	switch {
	case j.cancelled:
		return refusal(model.CodeCancelled, "", "the job was cancelled")
	case !j.deadline.IsZero() && !now.Before(j.deadline):
		return refusal(model.CodeDeadlinePassed, "Deadline", "the deadline passed before a task could be tried again")
	case !j.customer.known || !j.customer.services[t.Service]:
		return refusal(model.CodeServiceNotInPlan, t.field(), "the lists no longer allow the service")
	case j.retries >= max(minJobRetries, j.size):
		return refusal(model.CodeNoBackendServer, "", "no backend server took the task; the %d retries of the job are used up", j.retries)
	case j.customer.retryBudget < 1:
		return refusal(model.CodeQuotaExhausted, "", "the retry budget of customer %q is used up", j.customer.name)
	}
	return nil
}

// lastFailedServer returns the server on which a task failed to start, or nil if it is not known.
// Only the job's latest failure is remembered, so the failure of another task replaces it.
func (j *job) lastFailedServer(index int) *server {
	if j.failedTask == index {
		return j.failedOn
	}
	return nil
}
