package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// remoteRun says where the tasks of a job run if in another data centre. The claim and the outcome
// stay in this one.
type remoteRun struct {
	dataCentre string
	host       string
	request    uint64 // the Relay to the host, 0 while there is none
	attempted  bool   // no further data centre is tried
}

// origin identifies the Relay with which another host sent a job.
type origin struct {
	host    string
	request uint64
}

// runRemotely relays the tasks of a job to a host of the chosen data centre, as a job without a key.
func (r *Runner) runRemotely(j *job) {
	if j.remote.request != 0 {
		return
	}
	host, refusal := r.pickHost(j.remote.dataCentre)
	if refusal != nil || !r.leaseHolds() {
		r.placeLocally(j)
		return
	}
	sub := r.unkeyedSubmission(j)
	j.remote.host = host
	j.started = true // tasks may run there, unless the answer says NotRun
	build := func(id uint64) any {
		j.remote.request = id
		return msgs.Relay{Request: id, Host: r.Self.Name, Submission: sub}
	}
	r.requestHost(host, msgs.ServiceJobs, r.relayTimeout(sub), build, func(msg any, refusal *model.RefusalError) {
		r.remoteEnded(j, msg, refusal)
	})
}

// unkeyedSubmission returns the submission of a job without its key, session and group, which belong
// to the claim, and with the remaining time as the deadline.
func (r *Runner) unkeyedSubmission(j *job) model.Submission {
	sub := j.sub
	sub.Key, sub.Session, sub.Group = "", "", ""
	if !j.deadline.IsZero() {
		sub.Deadline = max(j.deadline.Sub(r.Now()), time.Nanosecond)
	}
	return sub
}

// remoteEnded handles the answer to a job that was relayed to another data centre.
func (r *Runner) remoteEnded(j *job, msg any, refusal *model.RefusalError) {
	if r.jobs[j.id] != j || j.stage != stageRunning {
		return
	}
	j.remote.request = 0
	var answer *model.Answer
	if refusal == nil {
		relayed := msg.(msgs.Relayed)
		answer, refusal = relayed.Answer, relayed.Refusal
	}
	if answer != nil && answer.Refusal != nil {
		refusal = answer.Refusal
	}
	switch {
	case refusal != nil && refusal.NotRun:
		j.started = false
		r.placeLocally(j)
	case refusal != nil:
		r.fail(j, refusal.Code, refusal.Reason)
	default:
		r.decide(j, model.Answer{Job: j.id, State: answer.State, Results: answer.Results})
	}
}

// placeLocally asks the primary to place the tasks in this data centre after another one could not
// be used.
func (r *Runner) placeLocally(j *job) {
	j.remote = remoteRun{attempted: true}
	r.Hooks.Retried("NotTakenAway")
	r.sendAsk(j, true)
}

// rerouteRefused relays a job that can't be placed here to another data centre that has the service,
// and reports whether there is one. This happens at most once per job, and only before any task has
// started.
func (r *Runner) rerouteRefused(j *job, refusal *model.RefusalError) bool {
	if j.remote.attempted || !refusal.NotRun || refusal.Code != model.CodeNoBackendServer {
		return false
	}
	j.remote = remoteRun{dataCentre: r.chooseRemote(j.sub), attempted: true}
	if j.remote.dataCentre == "" {
		return false
	}
	r.runRemotely(j)
	return true
}

// sendRecall stops a job that runs in another data centre and ignores its answer.
func (r *Runner) sendRecall(j *job) {
	if j.remote.request == 0 {
		return
	}
	_ = r.Send(j.remote.host, msgs.ServiceJobs, msgs.Recall{Request: j.remote.request, Host: r.Self.Name})
	delete(r.requests, j.remote.request)
	j.remote.request = 0
}

// handleRecall stops a job that another host relayed.
func (r *Runner) handleRecall(m msgs.Recall) {
	source := origin{host: m.Host, request: m.Request}
	for _, j := range r.jobs {
		if j.origin == source && j.stage <= stageRunning {
			r.fail(j, model.CodeCancelled, "the host that handed the job over has given it up")
		}
	}
}
