package jobs

import (
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// submit checks a job and runs it here, or relays it: to the home data centre of its key, or without
// a key to the data centre where it starts soonest.
func (r *Runner) submit(m Submit) {
	if refusal := r.admit(m.Submission); refusal != nil {
		m.Reply(nil, refusal)
		return
	}
	dataCentre, refusal := r.homeDataCentre(m.Submission.Session, m.Submission.Customer, m.Submission.Key)
	if refusal != nil {
		m.Reply(nil, refusal)
		return
	}
	remoteDC := ""
	switch {
	case dataCentre == r.Self.DataCentre:
		remoteDC = r.chooseDataCentre(m.Submission) // the claim stays in this data centre
	case dataCentre == "" && m.origin == (origin{}):
		dataCentre = r.chooseDataCentre(m.Submission)
	}
	if dataCentre != "" && dataCentre != r.Self.DataCentre {
		r.relay(dataCentre, m)
		return
	}
	r.begin(m, remoteDC)
}

// admit makes the checks that need no other host.
func (r *Runner) admit(sub model.Submission) *model.RefusalError {
	if refusal := r.checkSize(sub); refusal != nil {
		return refusal
	}
	if refusal := r.checkPlan(sub); refusal != nil {
		refusal.NotRun = sub.Key == ""
		return refusal
	}
	if r.stopping {
		return r.retryableRefusal(sub, model.CodeStopping, "this entry host is stopping; another one will take the request")
	}
	if len(r.jobs) >= r.MaxJobs {
		return r.retryableRefusal(sub, model.CodeOverloaded, fmt.Sprintf("this entry host has %d jobs in flight, as many as it may", len(r.jobs)))
	}
	return nil
}

// retryableRefusal refuses a request that another host may serve, or this one later. NotRun is set
// only without a key: an earlier submission with the same key may have run.
func (r *Runner) retryableRefusal(sub model.Submission, code model.Code, reason string) *model.RefusalError {
	return &model.RefusalError{Code: code, Reason: reason, NotRun: sub.Key == "", RetryAfter: retryAfter}
}

// retryAfter is the delay suggested to callers when a host or group is temporarily unable to serve
// them.
const retryAfter = 200 * time.Millisecond

func (r *Runner) checkSize(sub model.Submission) *model.RefusalError {
	refuse := func(code model.Code, field, reason string) *model.RefusalError {
		return &model.RefusalError{Code: code, Field: field, Reason: reason, NotRun: sub.Key == ""}
	}
	switch {
	case sub.Customer == "":
		return refuse(model.CodeBadRequest, "Customer", "is missing")
	case sub.Session != "" && sub.Key == "":
		return refuse(model.CodeBadRequest, "Key", "is missing: a session serves only submissions with a key")
	case len(sub.Key) > maxKeyBytes:
		return refuse(model.CodeTooLarge, "Key", fmt.Sprintf("is longer than %d bytes", maxKeyBytes))
	case len(sub.Group) > maxKeyBytes:
		return refuse(model.CodeTooLarge, "Group", fmt.Sprintf("is longer than %d bytes", maxKeyBytes))
	case len(sub.Tasks) == 0:
		return refuse(model.CodeBadRequest, "Tasks", "is empty")
	case len(sub.Tasks) > r.MaxTasks:
		return refuse(model.CodeJobTooLarge, "Tasks", fmt.Sprintf("holds %d tasks, more than %d", len(sub.Tasks), r.MaxTasks))
	}
	for i, t := range sub.Tasks {
		if t.Service == "" {
			return refuse(model.CodeBadRequest, fmt.Sprintf("Tasks[%d].Service", i), "is missing")
		}
		if len(t.Body) > r.MaxBody {
			return refuse(model.CodeTooLarge, fmt.Sprintf("Tasks[%d].Body", i), fmt.Sprintf("is longer than %d bytes", r.MaxBody))
		}
	}
	return nil
}

// maxKeyBytes is the maximum length of keys and group names.
const maxKeyBytes = 256

// begin registers the job on this host and sends it to the primary. Its tasks run in the data centre
// remoteDC, or in this one if that is empty.
func (r *Runner) begin(m Submit, remoteDC string) {
	id := r.newID()
	unkeyed := m.Submission.Key == ""
	if m.Submission.Key == "" && (m.NoWait || m.Submission.Group != "") {
		m.Submission.Key = id // a claim stores the outcome for Fetch and lets a cancel find the job
	}
	if !r.leaseHolds() || m.Submission.Key != "" && !r.hasPrimary() {
		refusal := r.noPrimaryRefusal()
		refusal.NotRun = unkeyed
		m.Reply(nil, refusal)
		return
	}
	j := newJob(id, m.Submission, r.Now())
	j.remote.dataCentre = remoteDC
	if !j.keyed {
		j.origin = m.origin
		j.remote.attempted = m.origin != (origin{})
	}
	if m.NoWait {
		j.acks = append(j.acks, m.Reply)
	} else {
		j.replies = append(j.replies, m.Reply)
	}
	r.jobs[id] = j
	r.sendAsk(j, false)
}

func (r *Runner) newID() string {
	return fmt.Sprintf("%s.%s.%016x", r.Self.DataCentre, r.Self.Name, r.Random())
}

// sendAsk asks the primary to claim a keyed job and to place the tasks that hold no grant.
func (r *Runner) sendAsk(j *job, resend bool) {
	if r.lease.primary == "" || j.keyed && !r.hasPrimary() {
		return // sent again with the next lease
	}
	j.askedAt = r.Now()
	m := msgs.Ask{
		Job:           j.id,
		Host:          r.Self.Name,
		Incarnation:   r.incarnation,
		Customer:      j.sub.Customer,
		Session:       j.sub.Session,
		Key:           j.sub.Key,
		Group:         j.sub.Group,
		NonIdempotent: j.sub.NonIdempotent,
		Digest:        j.digest,
		Keyed:         j.keyed,
		Again:         resend,
		Count:         len(j.sub.Tasks),
	}
	if j.remote.dataCentre == "" {
		m.Tasks = j.waitingShapes()
	}
	if !j.deadline.IsZero() {
		m.Deadline = max(j.deadline.Sub(j.askedAt), 1)
	}
	if err := r.Send(r.lease.primary, msgs.ServiceGroup, m); err != nil && !resend {
		r.remove(j)
		j.reply(nil, r.retryableRefusal(j.sub, model.CodeOverloaded, "the primary of the data centre holds as many requests as it may"))
	}
}

// verdict handles the primary's answer to an Ask.
func (r *Runner) verdict(m msgs.Verdict) {
	j, ok := r.jobs[m.Job]
	if !ok || j.stage == stageCommitting {
		return
	}
	switch m.Kind {
	case msgs.VerdictClaimed:
		r.claimed(j)
	case msgs.VerdictJoined:
		r.join(j, m.Original)
	case msgs.VerdictAnswered:
		r.end(j, *m.Answer)
	case msgs.VerdictRefused:
		r.remove(j)
		j.reply(nil, m.Refusal)
	}
}

func (r *Runner) claimed(j *job) {
	if j.stage == stageJoined && (j.started || j.answer != nil) {
		r.remove(j)
		j.reply(nil, &model.RefusalError{Code: model.CodeOutcomeUnknown, Reason: "the group lost the claim of this job after it had started or ended"})
		return
	}
	r.unjoin(j)
	j.stage = stageRunning
	j.acknowledge(j.id)
	if j.remote.dataCentre != "" {
		r.runRemotely(j)
	}
}

// join has a job wait for the outcome of an earlier submission of its key.
func (r *Runner) join(j *job, original string) {
	if j.stage != stageJoined || j.original != original {
		r.unjoin(j)
		r.joined[original] = append(r.joined[original], j)
	}
	j.stage = stageJoined
	j.original = original
	j.acknowledge(original)
}
