package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// handleAsk claims a job and queues its tasks. A job without a key needs no claim.
func (n *Member) handleAsk(m msgs.Ask, now time.Time) {
	if !n.isMember(m.Host, m.Incarnation) {
		return // the host retries with the incarnation that it joins with
	}
	if !m.Keyed {
		n.admit(m, now)
		return
	}
	c := claim.Command{
		Kind:          claim.KindClaim,
		Customer:      m.Customer,
		Session:       m.Session,
		Key:           m.Key,
		Digest:        m.Digest,
		Job:           m.Job,
		Host:          m.Host,
		Incarnation:   m.Incarnation,
		Group:         m.Group,
		NonIdempotent: m.NonIdempotent,
		Tasks:         m.Count,
	}
	n.enqueue(c, func(r claim.Result) { n.handleClaimResult(m, r, now) })
}

func (n *Member) handleClaimResult(m msgs.Ask, r claim.Result, acceptedAt time.Time) {
	switch r.Verdict {
	case claim.VerdictClaimed:
		n.admit(m, acceptedAt)
	case claim.VerdictJoined:
		n.primary.joinedHosts[r.Job] = append(n.primary.joinedHosts[r.Job], m.Host)
		n.sendVerdict(m, msgs.Verdict{Kind: msgs.VerdictJoined, Owner: r.Host, Original: r.Job})
	case claim.VerdictAnswered:
		n.sendVerdict(m, msgs.Verdict{Kind: msgs.VerdictAnswered, Answer: r.Answer})
	default:
		n.sendRefusal(m, r.Refusal)
	}
}

// admit queues the tasks of a job that is claimed or needs no claim.
func (n *Member) admit(m msgs.Ask, acceptedAt time.Time) {
	n.sendVerdict(m, msgs.Verdict{Kind: msgs.VerdictClaimed})
	if len(m.Tasks) == 0 {
		return
	}
	if refusal := n.activePlacer().placer.Submit(placeRequest(m, acceptedAt), n.Now()); refusal != nil {
		n.countRefusal(m.Customer, refusal.Code)
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.JobRefused{Job: m.Job, Refusal: refusal})
	}
}

func placeRequest(m msgs.Ask, acceptedAt time.Time) place.Request {
	r := place.Request{
		Job:           m.Job,
		Host:          m.Host,
		Incarnation:   m.Incarnation,
		Customer:      m.Customer,
		NonIdempotent: m.NonIdempotent,
		AcceptedAt:    acceptedAt,
	}
	if m.Deadline > 0 {
		r.Deadline = acceptedAt.Add(m.Deadline)
	}
	for _, t := range m.Tasks {
		r.Tasks = append(r.Tasks, place.Shape(t))
	}
	return r
}

func (n *Member) sendVerdict(m msgs.Ask, v msgs.Verdict) {
	v.Job = m.Job
	_ = n.Send(m.Host, msgs.ServiceJobs, v)
}

func (n *Member) sendRefusal(m msgs.Ask, refusal *model.RefusalError) {
	n.countRefusal(m.Customer, refusal.Code)
	n.sendVerdict(m, msgs.Verdict{Kind: msgs.VerdictRefused, Refusal: refusal})
}

func (n *Member) countRefusal(customer string, code model.Code) {
	n.Hooks.Refused(code)
	refused := n.activePlacer().refusalCounts
	byCode := refused[customer]
	if byCode == nil {
		byCode = map[model.Code]uint64{}
		refused[customer] = byCode
	}
	byCode[code]++
}

// handleFinish commits the outcome of a job and sends it to all hosts that wait for it.
func (n *Member) handleFinish(m msgs.Finish) {
	c := claim.Command{
		Kind:        claim.KindFinish,
		Job:         m.Job,
		Host:        m.Host,
		Incarnation: m.Incarnation,
		Answer:      m.Answer,
		Release:     m.Release,
	}
	n.enqueue(c, func(r claim.Result) {
		if r.Released {
			n.notifyWaiters(m.Job, m.Host, &m.Answer)
			return
		}
		if r.Verdict == claim.VerdictRefused {
			n.sendVerdict(msgs.Ask{Job: m.Job, Host: m.Host}, msgs.Verdict{Kind: msgs.VerdictRefused, Refusal: r.Refusal})
			return
		}
		n.sendOutcome(m.Job, m.Host)
	})
}

// sendOutcome sends the committed outcome of a job, if there is one, to its owner, to the hosts that
// joined it and to pending fetches.
func (n *Member) sendOutcome(job, owner string) {
	if answer := n.outcome(job); answer != nil {
		n.notifyWaiters(job, owner, answer)
	}
}

func (n *Member) notifyWaiters(job, owner string, answer *model.Answer) {
	hosts := append([]string{owner}, n.primary.joinedHosts[job]...)
	delete(n.primary.joinedHosts, job)
	notified := map[string]bool{}
	for _, h := range hosts {
		if !notified[h] {
			_ = n.Send(h, msgs.ServiceJobs, msgs.Finished{Job: job, Answer: *answer})
		}
		notified[h] = true
	}
	for _, fetch := range n.primary.pendingFetches[job] {
		_ = n.Send(fetch.msg.Host, msgs.ServiceJobs, msgs.Fetched{Request: fetch.msg.Request, Answer: answer})
	}
	delete(n.primary.pendingFetches, job)
}

// outcome returns the committed answer to a job, or nil if the job is running or unknown.
func (n *Member) outcome(job string) *model.Answer {
	c, ok := n.registry.ByJob(job)
	if !ok || c.State == model.JobRunning {
		return nil
	}
	if c.Answer != nil {
		return c.Answer
	}
	refusal := &model.RefusalError{Code: model.CodeNotFound, Reason: "the job is " + c.State.String() + ", but its answer is no longer held"}
	return &model.Answer{Job: job, State: c.State, Refusal: refusal}
}

// handleFetch answers with the outcome of a job. While the job runs, it waits for at most m.Wait.
func (n *Member) handleFetch(m msgs.Fetch, now time.Time) {
	reply := msgs.Fetched{Request: m.Request}
	_, known := n.registry.ByJob(m.Job)
	reply.Answer = n.outcome(m.Job)
	switch {
	case !known:
		reply.Refusal = &model.RefusalError{Code: model.CodeNotFound, Field: "Job", Reason: "no job of this name is held"}
	case reply.Answer != nil:
	case m.Wait > 0:
		n.primary.pendingFetches[m.Job] = append(n.primary.pendingFetches[m.Job], pendingFetch{msg: m, expires: now.Add(m.Wait)})
		return
	default:
		reply.Answer = &model.Answer{Job: m.Job, State: model.JobRunning}
	}
	_ = n.Send(m.Host, msgs.ServiceJobs, reply)
}

func (n *Member) expireFetches(now time.Time) {
	for job, list := range n.primary.pendingFetches {
		var kept []pendingFetch
		for _, fetch := range list {
			if now.Before(fetch.expires) {
				kept = append(kept, fetch)
				continue
			}
			running := &model.Answer{Job: job, State: model.JobRunning}
			_ = n.Send(fetch.msg.Host, msgs.ServiceJobs, msgs.Fetched{Request: fetch.msg.Request, Answer: running})
		}
		n.primary.pendingFetches[job] = kept
		if len(kept) == 0 {
			delete(n.primary.pendingFetches, job)
		}
	}
}

// handleCancel commits a cancellation and stops the jobs in flight.
func (n *Member) handleCancel(m msgs.CancelAsk) {
	c := claim.Command{Kind: claim.KindCancel, Customer: m.Customer, Session: m.Session, Key: m.Key}
	if m.Group != "" {
		c = claim.Command{Kind: claim.KindCancelGroup, Customer: m.Customer, Group: m.Group}
	}
	n.enqueue(c, func(r claim.Result) {
		for _, o := range r.Revoked {
			n.primary.placer.Cancel(o.Job, n.Now())
			_ = n.Send(o.Host, msgs.ServiceJobs, msgs.RevokeJob{Job: o.Job})
		}
		done := msgs.CancelDone{Request: m.Request, Jobs: len(r.Revoked), Refusal: r.Refusal}
		_ = n.Send(m.Host, msgs.ServiceJobs, done)
	})
}

// openSession opens a session for a customer.
func (n *Member) openSession(m msgs.SessionAsk) {
	c := claim.Command{Kind: claim.KindOpenSession, Customer: m.Customer, ID: n.Random()}
	n.enqueue(c, func(r claim.Result) {
		done := msgs.SessionDone{Request: m.Request, Session: r.Session, Refusal: r.Refusal}
		_ = n.Send(m.Host, msgs.ServiceJobs, done)
	})
}
