package keeper

import (
	"errors"
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Request is an operator's request to the lists group. It is retried at other
// members of the group until one answers, which is safe because an edit is
// identified by its id. Reply is called with the answer, or with an Unavailable
// refusal after Config.RequestTimeout.
type Request struct {
	Ask   msgs.ListsAsk
	Reply func(msgs.ListsDone)
}

// pendingRequest is a Request without an answer yet.
type pendingRequest struct {
	request  Request
	expires  time.Time
	retryAt  time.Time
	attempts int // number of times it was sent
}

const (
	retryInterval    = 700 * time.Millisecond // before a request is sent to another member
	unavailableDelay = 50 * time.Millisecond  // before a retry when the group has no primary
	maxHops          = 2                      // forwards of a request on its way to the primary
)

func (k *Keeper) submit(m Request, now time.Time) {
	k.nextRequest++
	m.Ask.Request = k.nextRequest
	m.Ask.Host = k.Self.Name
	q := &pendingRequest{request: m, expires: now.Add(k.RequestTimeout)}
	k.requests[m.Ask.Request] = q
	k.sendToNext(q, now)
}

// sendToNext sends a request to the next reachable member of the group. The first
// attempt on a member is local.
func (k *Keeper) sendToNext(q *pendingRequest, now time.Time) {
	q.retryAt = now.Add(retryInterval)
	if q.attempts == 0 && k.isMember(k.Self.Name) {
		q.attempts++
		k.serve(q.request.Ask)
		return
	}
	q.attempts++
	for range k.Members {
		k.nextMember++
		host := k.Members[k.nextMember%len(k.Members)]
		p, other := k.peers[host]
		if !other {
			k.serve(q.request.Ask)
			return
		}
		if p.reachable && k.Send(host, msgs.ServiceLists, q.request.Ask) == nil {
			return
		}
	}
}

func (k *Keeper) retryRequests(now time.Time) {
	for id, q := range k.requests {
		switch {
		case now.After(q.expires):
			delete(k.requests, id)
			q.request.Reply(msgs.ListsDone{Refusal: &model.RefusalError{
				Code:   model.CodeUnavailable,
				Reason: "no majority of the lists group answered in time; a resend with the same edit id is safe",
			}})
		case now.After(q.retryAt):
			k.sendToNext(q, now)
		}
	}
}

// completeRequest passes the group's answer to the requester. An Unavailable answer
// comes from a host that knows no primary and has decided nothing, so the request
// is retried after unavailableDelay.
func (k *Keeper) completeRequest(m msgs.ListsDone) {
	q, ok := k.requests[m.Request]
	if !ok {
		return
	}
	if m.Refusal != nil && m.Refusal.Code == model.CodeUnavailable {
		q.retryAt = k.Now().Add(unavailableDelay)
		return
	}
	delete(k.requests, m.Request)
	q.request.Reply(m)
}

// serve answers a request as a member of the lists group, or forwards it to the
// primary.
func (k *Keeper) serve(m msgs.ListsAsk) {
	if k.replica == nil {
		k.reply(m, msgs.ListsDone{Refusal: unavailable("the host keeps no lists")})
		return
	}
	status := k.replica.Status(k.Now())
	if !status.Leading {
		k.forward(m, status.Primary, status.Recovering)
		return
	}
	switch m.Kind {
	case msgs.ListsPut:
		k.put(m)
	case msgs.ListsText:
		k.text(m)
	case msgs.ListsHistory:
		k.reply(m, msgs.ListsDone{Version: k.registry.Update().Version, Changes: k.registry.Changes()})
	}
}

// forward sends a request to the primary. It refuses the request if this replica is
// recovering or knows no other primary, or if the request was forwarded maxHops times.
func (k *Keeper) forward(m msgs.ListsAsk, primary int, recovering bool) {
	primaryKnown := primary >= 0 && primary < len(k.Members) && k.Members[primary] != k.Self.Name
	if recovering || !primaryKnown || m.Hops >= maxHops {
		k.reply(m, msgs.ListsDone{Refusal: unavailable("the lists group has no primary at the moment")})
		return
	}
	m.Hops++
	if err := k.Send(k.Members[primary], msgs.ServiceLists, m); err != nil {
		k.reply(m, msgs.ListsDone{Refusal: unavailable(err.Error())})
	}
}

func unavailable(reason string) *model.RefusalError {
	return &model.RefusalError{Code: model.CodeUnavailable, Reason: reason}
}

func (k *Keeper) put(m msgs.ListsAsk) {
	c := lists.Command{
		Kind:        lists.KindPut,
		List:        m.List,
		BaseVersion: m.BaseVersion,
		EditID:      m.EditID,
		Operator:    m.Operator,
		Text:        m.Text,
	}
	k.log.Enqueue(c, func(r lists.Result) {
		k.reply(m, msgs.ListsDone{Version: r.Version, InForce: r.InForce, Refusal: r.Refusal})
	})
}

func (k *Keeper) text(m msgs.ListsAsk) {
	text, err := k.registry.Text(m.List, m.Version)
	var refusal *model.RefusalError
	if errors.As(err, &refusal) {
		k.reply(m, msgs.ListsDone{Refusal: refusal})
		return
	}
	k.reply(m, msgs.ListsDone{Version: text.Changed, Text: text.Content})
}

func (k *Keeper) reply(m msgs.ListsAsk, done msgs.ListsDone) {
	done.Request = m.Request
	if m.Host == k.Self.Name {
		k.completeRequest(done)
		return
	}
	_ = k.Send(m.Host, msgs.ServiceLists, done) // the requesting host retries
}
