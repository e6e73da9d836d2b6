package group

import (
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
)

// ask claims a job and queues its tasks.
func (n *Node) ask(m msgs.Ask, now time.Time) {
	if !n.isMember(m.Host, m.Incarnation) {
		return // the host will ask again under the incarnation that it joins with
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
	n.enqueue(c, func(r claim.Result) { n.claimed(m, r, now) })
}

func (n *Node) claimed(m msgs.Ask, r claim.Result, asked time.Time) {
	switch r.Verdict {
	case claim.VerdictClaimed:
		n.admit(m, asked)
	case claim.VerdictJoined:
		n.leading.joins[r.Job] = append(n.leading.joins[r.Job], m.Host)
		n.verdict(m, msgs.Verdict{Kind: msgs.VerdictJoined, Owner: r.Host, Original: r.Job})
	case claim.VerdictAnswered:
		n.verdict(m, msgs.Verdict{Kind: msgs.VerdictAnswered, Answer: r.Answer})
	default:
		n.refuse(m, r.Refusal)
	}
}

// admit queues the tasks of a job whose claim holds or that needs none.
func (n *Node) admit(m msgs.Ask, asked time.Time) {
	n.verdict(m, msgs.Verdict{Kind: msgs.VerdictClaimed})
	if len(m.Tasks) == 0 {
		return
	}
	if refusal := n.placing().placer.Submit(wantOf(m, asked), n.Now()); refusal != nil {
		n.count(m.Customer, refusal.Code)
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.JobRefused{Job: m.Job, Refusal: refusal})
	}
}

func wantOf(m msgs.Ask, asked time.Time) place.Request {
	w := place.Request{
		Job:           m.Job,
		Host:          m.Host,
		Incarnation:   m.Incarnation,
		Customer:      m.Customer,
		NonIdempotent: m.NonIdempotent,
		AcceptedAt:    asked,
	}
	if m.Deadline > 0 {
		w.Deadline = asked.Add(m.Deadline)
	}
	for _, t := range m.Tasks {
		w.Tasks = append(w.Tasks, place.Shape(t))
	}
	return w
}

func (n *Node) verdict(m msgs.Ask, v msgs.Verdict) {
	v.Job = m.Job
	_ = n.Send(m.Host, msgs.ServiceJobs, v)
}

func (n *Node) refuse(m msgs.Ask, refusal *model.RefusalError) {
	n.count(m.Customer, refusal.Code)
	n.verdict(m, msgs.Verdict{Kind: msgs.VerdictRefused, Refusal: refusal})
}

func (n *Node) count(customer string, code model.Code) {
	n.Hooks.Refused(code)
	refused := n.placing().refused
	byCode := refused[customer]
	if byCode == nil {
		byCode = map[model.Code]uint64{}
		refused[customer] = byCode
	}
	byCode[code]++
}

// finish commits the outcome of a job and tells everyone who waits for it.
func (n *Node) finish(m msgs.Finish) {
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
			n.tell(m.Job, m.Host, &m.Answer)
			return
		}
		if r.Verdict == claim.VerdictRefused {
			n.verdict(msgs.Ask{Job: m.Job, Host: m.Host}, msgs.Verdict{Kind: msgs.VerdictRefused, Refusal: r.Refusal})
			return
		}
		n.tellOutcome(m.Job, m.Host)
	})
}

// tellOutcome sends the committed outcome of a job to its owner, to the hosts
// that joined it and to those who fetch it.
func (n *Node) tellOutcome(job, owner string) {
	if answer := n.outcome(job); answer != nil {
		n.tell(job, owner, answer)
	}
}

func (n *Node) tell(job, owner string, answer *model.Answer) {
	hosts := append([]string{owner}, n.leading.joins[job]...)
	delete(n.leading.joins, job)
	told := map[string]bool{}
	for _, h := range hosts {
		if !told[h] {
			_ = n.Send(h, msgs.ServiceJobs, msgs.Finished{Job: job, Answer: *answer})
		}
		told[h] = true
	}
	for _, w := range n.leading.fetches[job] {
		_ = n.Send(w.msg.Host, msgs.ServiceJobs, msgs.Fetched{Request: w.msg.Request, Answer: answer})
	}
	delete(n.leading.fetches, job)
}

// outcome returns the committed answer to a job, or nil while it runs.
func (n *Node) outcome(job string) *model.Answer {
	l, ok := n.book.ByJob(job)
	if !ok || l.State == model.JobRunning {
		return nil
	}
	if l.Answer != nil {
		return l.Answer
	}
	refusal := &model.RefusalError{Code: model.CodeNotFound, Reason: "the job is " + l.State.String() + ", but its answer is no longer held"}
	return &model.Answer{Job: job, State: l.State, Refusal: refusal}
}

// fetch answers with the outcome of a job, or waits for it.
func (n *Node) fetch(m msgs.Fetch, now time.Time) {
	reply := msgs.Fetched{Request: m.Request}
	_, known := n.book.ByJob(m.Job)
	reply.Answer = n.outcome(m.Job)
	switch {
	case !known:
		reply.Refusal = &model.RefusalError{Code: model.CodeNotFound, Field: "Job", Reason: "no job of this name is held"}
	case reply.Answer != nil:
	case m.Wait > 0:
		n.leading.fetches[m.Job] = append(n.leading.fetches[m.Job], waiting{msg: m, expires: now.Add(m.Wait)})
		return
	default:
		reply.Answer = &model.Answer{Job: m.Job, State: model.JobRunning}
	}
	_ = n.Send(m.Host, msgs.ServiceJobs, reply)
}

func (n *Node) expireFetches(now time.Time) {
	for job, list := range n.leading.fetches {
		var kept []waiting
		for _, w := range list {
			if now.Before(w.expires) {
				kept = append(kept, w)
				continue
			}
			running := &model.Answer{Job: job, State: model.JobRunning}
			_ = n.Send(w.msg.Host, msgs.ServiceJobs, msgs.Fetched{Request: w.msg.Request, Answer: running})
		}
		n.leading.fetches[job] = kept
		if len(kept) == 0 {
			delete(n.leading.fetches, job)
		}
	}
}

// cancel commits a cancellation and has the jobs in flight stopped.
func (n *Node) cancel(m msgs.CancelAsk) {
	c := claim.Command{Kind: claim.KindCancel, Customer: m.Customer, Session: m.Session, Key: m.Key}
	if m.Group != "" {
		c = claim.Command{Kind: claim.KindCancelGroup, Customer: m.Customer, Group: m.Group}
	}
	n.enqueue(c, func(r claim.Result) {
		for _, o := range r.Revoked {
			n.leading.placer.Cancel(o.Job, n.Now())
			_ = n.Send(o.Host, msgs.ServiceJobs, msgs.RevokeJob{Job: o.Job})
		}
		done := msgs.CancelDone{Request: m.Request, Jobs: len(r.Revoked), Refusal: r.Refusal}
		_ = n.Send(m.Host, msgs.ServiceJobs, done)
	})
}

// openSession opens a session for a customer of the lists.
func (n *Node) openSession(m msgs.SessionAsk) {
	c := claim.Command{Kind: claim.KindOpenSession, Customer: m.Customer, ID: n.Random()}
	n.enqueue(c, func(r claim.Result) {
		done := msgs.SessionDone{Request: m.Request, Session: r.Session, Refusal: r.Refusal}
		_ = n.Send(m.Host, msgs.ServiceJobs, done)
	})
}
