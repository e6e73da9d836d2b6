package keeper

import (
	"errors"
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Ask asks the lists group on behalf of an operator. It is repeated to other
// hosts of the group until one answers; that is safe, because an edit is known
// by its id.
type Request struct {
	Ask   msgs.ListsAsk
	Reply func(msgs.ListsDone)
}

// request is an Ask that waits for its answer.
type pendingRequest struct {
	request  Request
	expires  time.Time
	retryAt  time.Time
	attempts int // hosts that were asked
}

const (
	retryInterval    = 700 * time.Millisecond // before another host of the group is asked
	unavailableDelay = 50 * time.Millisecond  // before a group without a primary is asked again
	maxHops          = 2                      // from host to host on the way to the primary
)

func (n *Keeper) submit(m Request, now time.Time) {
	n.nextRequest++
	m.Ask.Request = n.nextRequest
	m.Ask.Host = n.Self.Name
	q := &pendingRequest{request: m, expires: now.Add(n.RequestTimeout)}
	n.requests[m.Ask.Request] = q
	n.sendToNext(q, now)
}

// try sends a request to the next host of the group.
func (n *Keeper) sendToNext(q *pendingRequest, now time.Time) {
	q.retryAt = now.Add(retryInterval)
	if q.attempts == 0 && n.isMember(n.Self.Name) {
		q.attempts++
		n.serve(q.request.Ask)
		return
	}
	q.attempts++
	for range n.Members {
		n.nextMember++
		host := n.Members[n.nextMember%len(n.Members)]
		p, other := n.peers[host]
		if !other {
			n.serve(q.request.Ask)
			return
		}
		if p.reachable && n.Send(host, msgs.ServiceLists, q.request.Ask) == nil {
			return
		}
	}
}

func (n *Keeper) retryRequests(now time.Time) {
	for id, q := range n.requests {
		switch {
		case now.After(q.expires):
			delete(n.requests, id)
			q.request.Reply(msgs.ListsDone{Refusal: &model.RefusalError{
				Code:   model.CodeUnavailable,
				Reason: "no majority of the lists group answered in time; a resend with the same edit id is safe",
			}})
		case now.After(q.retryAt):
			n.sendToNext(q, now)
		}
	}
}

// answered takes the group's answer. A host that knows no primary has not
// decided anything, so the request is tried again shortly.
func (n *Keeper) completeRequest(m msgs.ListsDone) {
	q, ok := n.requests[m.Request]
	if !ok {
		return
	}
	if m.Refusal != nil && m.Refusal.Code == model.CodeUnavailable {
		q.retryAt = n.Now().Add(unavailableDelay)
		return
	}
	delete(n.requests, m.Request)
	q.request.Reply(m)
}

// serve answers a request as a host of the lists group, or passes it on to the
// primary.
func (n *Keeper) serve(m msgs.ListsAsk) {
	if n.replica == nil {
		n.reply(m, msgs.ListsDone{Refusal: unavailable("the host keeps no lists")})
		return
	}
	status := n.replica.Status(n.Now())
	if !status.Leading {
		n.forward(m, status.Primary, status.Recovering)
		return
	}
	switch m.Kind {
	case msgs.ListsPut:
		n.put(m)
	case msgs.ListsText:
		n.text(m)
	case msgs.ListsHistory:
		n.reply(m, msgs.ListsDone{Version: n.registry.Update().Version, Changes: n.registry.Changes()})
	}
}

func (n *Keeper) forward(m msgs.ListsAsk, primary int, recovering bool) {
	known := primary >= 0 && primary < len(n.Members) && n.Members[primary] != n.Self.Name
	if recovering || !known || m.Hops >= maxHops {
		n.reply(m, msgs.ListsDone{Refusal: unavailable("the lists group has no primary at the moment")})
		return
	}
	m.Hops++
	if err := n.Send(n.Members[primary], msgs.ServiceLists, m); err != nil {
		n.reply(m, msgs.ListsDone{Refusal: unavailable(err.Error())})
	}
}

func unavailable(reason string) *model.RefusalError {
	return &model.RefusalError{Code: model.CodeUnavailable, Reason: reason}
}

func (n *Keeper) put(m msgs.ListsAsk) {
	c := lists.Command{
		Kind:        lists.KindPut,
		List:        m.List,
		BaseVersion: m.BaseVersion,
		EditID:      m.EditID,
		Operator:    m.Operator,
		Text:        m.Text,
	}
	n.log.Enqueue(c, func(r lists.Result) {
		n.reply(m, msgs.ListsDone{Version: r.Version, InForce: r.InForce, Refusal: r.Refusal})
	})
}

func (n *Keeper) text(m msgs.ListsAsk) {
	text, err := n.registry.Text(m.List, m.Version)
	var refusal *model.RefusalError
	if errors.As(err, &refusal) {
		n.reply(m, msgs.ListsDone{Refusal: refusal})
		return
	}
	n.reply(m, msgs.ListsDone{Version: text.Changed, Text: text.Content})
}

func (n *Keeper) reply(m msgs.ListsAsk, done msgs.ListsDone) {
	done.Request = m.Request
	if m.Host == n.Self.Name {
		n.completeRequest(done)
		return
	}
	_ = n.Send(m.Host, msgs.ServiceLists, done) // the asker tries again
}
