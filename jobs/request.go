package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// request is an outstanding request to another host.
type request struct {
	host     string
	expires  time.Time
	onAnswer func(msg any, refusal *model.RefusalError)
}

// addRequest registers a request, which expires after wait, and returns its number.
func (r *Runner) addRequest(host string, wait time.Duration, onAnswer func(msg any, refusal *model.RefusalError)) uint64 {
	r.nextRequest++
	r.requests[r.nextRequest] = &request{host: host, expires: r.Now().Add(wait), onAnswer: onAnswer}
	return r.nextRequest
}

func (r *Runner) completeRequest(id uint64, msg any) {
	req, ok := r.requests[id]
	if !ok {
		return
	}
	delete(r.requests, id)
	req.onAnswer(msg, nil)
}

// handleRequest handles requests of the front and of other hosts, and all responses.
func (r *Runner) handleRequest(msg any) {
	switch m := msg.(type) {
	case RelayLost:
		r.relayLost(m)
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
		r.serveUsage(m)
	case msgs.StatusAsk:
		r.serveStatus(m)
	case msgs.Relay:
		r.relayReceived(m)
	case msgs.Recall:
		r.handleRecall(m)
	case msgs.Fetch:
		r.serveFetch(m)
	case msgs.CancelAsk:
		r.serveCancel(m)
	default:
		r.handleResponse(msg)
	}
}

// handleResponse handles the responses of other hosts.
func (r *Runner) handleResponse(msg any) {
	switch m := msg.(type) {
	case msgs.UsageDone:
		r.completeRequest(m.Request, m)
	case msgs.StatusDone:
		r.completeRequest(m.Request, m)
	case msgs.Relayed:
		r.completeRequest(m.Request, m)
	case msgs.Fetched:
		r.completeRequest(m.Request, m)
	case msgs.CancelDone:
		r.completeRequest(m.Request, m)
	case msgs.SessionDone:
		r.completeRequest(m.Request, m)
	}
}

// expireRequests fails the requests that have timed out.
func (r *Runner) expireRequests(now time.Time) {
	for id, req := range r.requests {
		if now.After(req.expires) {
			r.failRequest(id, req, "no answer came in time")
		}
	}
}

func (r *Runner) failRequest(id uint64, req *request, reason string) {
	delete(r.requests, id)
	req.onAnswer(nil, &model.RefusalError{Code: model.CodeOutcomeUnknown, Reason: reason, RetryAfter: retryAfter})
}

// peerState records whether a host is reachable, and fails the requests to an unreachable host.
func (r *Runner) peerState(m PeerState) {
	if m.Reachable {
		delete(r.unreachable, m.Host)
		return
	}
	r.unreachable[m.Host] = true
	for id, req := range r.requests {
		if req.host == m.Host {
			r.failRequest(id, req, unreachableReason(m.Host))
		}
	}
}

// relayLost fails the request of a Relay that was not delivered. PeerState does not cover this case:
// it is reported only when heartbeats fail too, and few hosts of different data centres exchange
// heartbeats.
func (r *Runner) relayLost(m RelayLost) {
	if req, ok := r.requests[m.Request]; ok {
		r.failRequest(m.Request, req, unreachableReason(m.Host))
	}
}

func unreachableReason(host string) string {
	return "the entry host " + host + " can't be reached"
}

// pickHost picks a reachable host of a data centre in round-robin order.
func (r *Runner) pickHost(dataCentre string) (string, *model.RefusalError) {
	var candidates []string
	for _, h := range r.Hosts {
		if h.DataCentre == dataCentre && !r.unreachable[h.Name] {
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

// requestPrimary sends a request to the primary of this data centre. It is refused
// immediately if there is no primary or the primary is known to be unreachable.
func (r *Runner) requestPrimary(wait time.Duration, build func(request uint64) any, onAnswer func(msg any, refusal *model.RefusalError)) {
	if !r.leaseHolds() || !r.hasPrimary() || r.unreachable[r.lease.primary] {
		onAnswer(nil, r.noPrimaryRefusal())
		return
	}
	r.requestHost(r.lease.primary, msgs.ServiceGroup, wait, build, onAnswer)
}

// requestDataCentre sends a request to the primary of this data centre, or to a host of another data
// centre, which forwards it to its own primary.
func (r *Runner) requestDataCentre(dataCentre string, wait time.Duration, build func(request uint64) any, onAnswer func(msg any, refusal *model.RefusalError)) {
	if dataCentre == r.Self.DataCentre {
		r.requestPrimary(wait, build, onAnswer)
		return
	}
	r.requestRemote(dataCentre, wait, build, onAnswer)
}

// requestRemote sends a request to a host of another data centre.
func (r *Runner) requestRemote(dataCentre string, wait time.Duration, build func(request uint64) any, onAnswer func(msg any, refusal *model.RefusalError)) {
	host, refusal := r.pickHost(dataCentre)
	if refusal != nil {
		onAnswer(nil, refusal)
		return
	}
	r.requestHost(host, msgs.ServiceJobs, wait, build, onAnswer)
}

func (r *Runner) requestHost(host, service string, wait time.Duration, build func(request uint64) any, onAnswer func(msg any, refusal *model.RefusalError)) {
	id := r.addRequest(host, wait, onAnswer)
	if err := r.Send(host, service, build(id)); err != nil {
		delete(r.requests, id)
		onAnswer(nil, &model.RefusalError{Code: model.CodeOverloaded, Reason: err.Error(), NotRun: true, RetryAfter: retryAfter})
	}
}

func (r *Runner) openSession(m OpenSession) {
	build := func(id uint64) any {
		return msgs.SessionAsk{Request: id, Host: r.Self.Name, Customer: m.Customer}
	}
	r.requestPrimary(r.RequestTimeout, build, func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			m.Reply("", refusal)
			return
		}
		done := msg.(msgs.SessionDone)
		m.Reply(done.Session, done.Refusal)
	})
}
