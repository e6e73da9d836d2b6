package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// request is a question to another host that waits for its answer.
type request struct {
	host    string
	expires time.Time
	answer  func(msg any, refusal *model.RefusalError)
}

// question registers a request and returns its number.
func (r *Runner) question(host string, wait time.Duration, answer func(msg any, refusal *model.RefusalError)) uint64 {
	r.nextRequest++
	r.requests[r.nextRequest] = &request{host: host, expires: r.Now().Add(wait), answer: answer}
	return r.nextRequest
}

func (r *Runner) answered(id uint64, msg any) {
	q, ok := r.requests[id]
	if !ok {
		return
	}
	delete(r.requests, id)
	q.answer(msg, nil)
}

// exchange takes the questions of the front and of other hosts, and answers.
func (r *Runner) exchange(msg any) {
	switch m := msg.(type) {
	case Lost:
		r.lost(m)
	case Fetch:
		r.fetch(m)
	case Cancel:
		r.cancel(m)
	case OpenSession:
		r.openSession(m)
	case Usage:
		r.usage(m)
	case Status:
		r.status(m)
	case msgs.UsageAsk:
		r.usageFor(m)
	case msgs.StatusAsk:
		r.statusFor(m)
	case msgs.Relay:
		r.relayedIn(m)
	case msgs.Recall:
		r.recalled(m)
	case msgs.Fetch:
		r.fetchFor(m)
	case msgs.CancelAsk:
		r.cancelFor(m)
	default:
		r.exchanged(msg)
	}
}

// exchanged takes the answers of other hosts.
func (r *Runner) exchanged(msg any) {
	switch m := msg.(type) {
	case msgs.UsageDone:
		r.answered(m.Request, m)
	case msgs.StatusDone:
		r.answered(m.Request, m)
	case msgs.Relayed:
		r.answered(m.Request, m)
	case msgs.Fetched:
		r.answered(m.Request, m)
	case msgs.CancelDone:
		r.answered(m.Request, m)
	case msgs.SessionDone:
		r.answered(m.Request, m)
	}
}

// expireRequests gives up on questions that nobody answered in time.
func (r *Runner) expireRequests(now time.Time) {
	for id, q := range r.requests {
		if now.After(q.expires) {
			r.unanswered(id, q, "no answer came in time")
		}
	}
}

func (r *Runner) unanswered(id uint64, q *request, reason string) {
	delete(r.requests, id)
	q.answer(nil, &model.RefusalError{Code: model.CodeOutcomeUnknown, Reason: reason, RetryAfter: retryAfter})
}

// peerState notes whether a host can be reached, and gives up on what it owes.
func (r *Runner) peerState(m PeerState) {
	if m.Reachable {
		delete(r.downs, m.Host)
		return
	}
	r.downs[m.Host] = true
	for id, q := range r.requests {
		if q.host == m.Host {
			r.unanswered(id, q, cantReach(m.Host))
		}
	}
}

// lost gives up on a job that was lost on its way to another host. That the host
// can't be reached is told only when signs of life are lost, too, which few hosts
// of different data centres exchange.
func (r *Runner) lost(m Lost) {
	if q, ok := r.requests[m.Request]; ok {
		r.unanswered(m.Request, q, cantReach(m.Host))
	}
}

func cantReach(host string) string {
	return "the entry host " + host + " can't be reached"
}

// hostIn chooses a host of a data centre, in turn, that can be reached.
func (r *Runner) hostIn(dataCentre string) (string, *model.RefusalError) {
	var candidates []string
	for _, h := range r.Hosts {
		if h.DataCentre == dataCentre && !r.downs[h.Name] {
			candidates = append(candidates, h.Name)
		}
	}
	if len(candidates) == 0 {
		return "", &model.RefusalError{
			Code:       model.CodeOutcomeUnknown,
			Reason:     "the data centre " + dataCentre + ", where the key belongs, can't be reached",
			RetryAfter: retryAfter,
		}
	}
	r.nextRelay++
	return candidates[r.nextRelay%len(candidates)], nil
}

// askPrimary sends a question to the primary of this data centre, unless it is
// known that the primary can't be reached.
func (r *Runner) askPrimary(wait time.Duration, build func(request uint64) any, answer func(msg any, refusal *model.RefusalError)) {
	if !r.leaseHolds() || !r.decides() || r.downs[r.lease.primary] {
		answer(nil, r.undecided())
		return
	}
	r.askHost(r.lease.primary, msgs.ServiceGroup, wait, build, answer)
}

// askAt sends a question to the primary of this data centre, or to a host of
// another one, which passes it on to its own.
func (r *Runner) askAt(home string, wait time.Duration, build func(request uint64) any, answer func(msg any, refusal *model.RefusalError)) {
	if home == r.Self.DataCentre {
		r.askPrimary(wait, build, answer)
		return
	}
	r.askAway(home, wait, build, answer)
}

// askAway sends a question to a host of another data centre.
func (r *Runner) askAway(home string, wait time.Duration, build func(request uint64) any, answer func(msg any, refusal *model.RefusalError)) {
	host, refusal := r.hostIn(home)
	if refusal != nil {
		answer(nil, refusal)
		return
	}
	r.askHost(host, msgs.ServiceJobs, wait, build, answer)
}

func (r *Runner) askHost(host, service string, wait time.Duration, build func(request uint64) any, answer func(msg any, refusal *model.RefusalError)) {
	id := r.question(host, wait, answer)
	if err := r.Send(host, service, build(id)); err != nil {
		delete(r.requests, id)
		answer(nil, &model.RefusalError{Code: model.CodeOverloaded, Reason: err.Error(), NotRun: true, RetryAfter: retryAfter})
	}
}

func (r *Runner) openSession(m OpenSession) {
	build := func(id uint64) any {
		return msgs.SessionAsk{Request: id, Host: r.Self.Name, Customer: m.Customer}
	}
	r.askPrimary(r.Patience, build, func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			m.Reply("", refusal)
			return
		}
		done := msg.(msgs.SessionDone)
		m.Reply(done.Session, done.Refusal)
	})
}
