package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// fail ends a job as failed and stops its other tasks.
func (r *Runner) fail(j *job, code model.Code, reason string) {
	refusal := &model.RefusalError{Code: code, Reason: reason, NotRun: !j.started}
	r.decide(j, model.Answer{Job: j.id, State: model.JobFailed, Refusal: refusal})
}

// decide sets the outcome of a job. The outcome of a claimed job is returned to callers only once
// it has been committed.
func (r *Runner) decide(j *job, answer model.Answer) {
	if answer.State == model.JobFailed {
		r.stopTasks(j)
	}
	if !j.keyed {
		r.end(j, answer)
		return
	}
	j.stage = stageCommitting
	j.answer = &answer
	r.sendFinish(j)
}

func (r *Runner) stopTasks(j *job) {
	if len(j.waitingShapes()) > 0 && j.remote.request == 0 {
		r.sendDrop(j.id)
	}
	r.sendRecall(j)
	for id, g := range r.grants {
		if g.job == j.id {
			r.Revoke(Revoke{Grant: id})
		}
	}
}

func (r *Runner) sendFinish(j *job) {
	if !r.hasPrimary() {
		return // sent again with the next lease
	}
	j.askedAt = r.Now()
	body := msgs.Finish{Job: j.id, Host: r.Self.Name, Incarnation: r.incarnation, Answer: *j.answer, Release: j.releaseKey}
	_ = r.Send(r.lease.primary, msgs.ServiceGroup, body)
}

// finished handles the committed outcome of a job that runs or was joined on this host.
func (r *Runner) finished(m msgs.Finished) {
	if j, ok := r.jobs[m.Job]; ok {
		r.deliverOutcome(j, m.Answer)
	}
	for _, j := range r.joined[m.Job] {
		if _, ok := r.jobs[j.id]; ok {
			r.end(j, m.Answer)
		}
	}
	delete(r.joined, m.Job)
}

// deliverOutcome returns the committed outcome of a job to its callers. A job that released its key
// is answered as refused, since the key may be submitted again.
func (r *Runner) deliverOutcome(j *job, answer model.Answer) {
	if j.releaseKey && answer.Refusal != nil && answer.Refusal.NotRun {
		r.remove(j)
		j.reply(nil, answer.Refusal)
		return
	}
	r.end(j, answer)
}

// jobRefused handles the placer's refusal to place the tasks of a job.
func (r *Runner) jobRefused(m msgs.JobRefused) {
	j, ok := r.jobs[m.Job]
	if !ok || j.stage != stageRunning || j.remote.dataCentre != "" {
		return
	}
	refusal := *m.Refusal
	refusal.NotRun = refusal.NotRun && !j.started
	if r.rerouteRefused(j, &refusal) {
		return
	}
	if !j.keyed && refusal.NotRun {
		r.remove(j)
		j.reply(nil, &refusal)
		return
	}
	j.releaseKey = refusal.NotRun && !j.acknowledged
	r.decide(j, model.Answer{Job: j.id, State: model.JobFailed, Refusal: &refusal})
}

// revokeJob stops a cancelled job.
func (r *Runner) revokeJob(m msgs.RevokeJob) {
	j, ok := r.jobs[m.Job]
	if ok && (j.stage == stageRunning || j.stage == stageClaiming) {
		r.fail(j, model.CodeCancelled, "the job was cancelled")
	}
}

// end removes a job and returns its outcome to the callers.
func (r *Runner) end(j *job, answer model.Answer) {
	r.remove(j)
	code := model.Code("")
	if answer.Refusal != nil {
		code = answer.Refusal.Code
	}
	r.Hooks.JobEnded(answer.State, code, j.ratio(r.Now()))
	j.reply(&answer, nil)
}

// ratio returns the response time over the run time of the slowest task.
func (j *job) ratio(now time.Time) float64 {
	if j.longestRun <= 0 {
		return 0
	}
	return now.Sub(j.acceptedAt).Seconds() / j.longestRun.Seconds()
}

// remove removes a job. Its outstanding calls continue, and their slots are returned when they end.
func (r *Runner) remove(j *job) {
	r.sendRecall(j)
	delete(r.jobs, j.id)
	r.unjoin(j)
}

// unjoin removes a job from those that wait for the outcome of an earlier job.
func (r *Runner) unjoin(j *job) {
	kept := without(r.joined[j.original], j)
	if len(kept) == 0 {
		delete(r.joined, j.original)
	} else {
		r.joined[j.original] = kept
	}
	j.original = ""
}

func without(list []*job, j *job) []*job {
	var kept []*job
	for _, other := range list {
		if other != j {
			kept = append(kept, other)
		}
	}
	return kept
}
