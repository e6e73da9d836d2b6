package placer

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// callTime is how long a server may take to answer an order, and to answer a
// look besides the time that it waits for an end. Servers answer within a few
// milliseconds, and a start that is given up too soon costs a look only.
const callTime = 60 * time.Millisecond

// answered is the answer to an order, for the epoch that gave it.
type answered struct {
	epoch uint64
	take  func(p *runs.Placer, now time.Time)
}

func (n *Node) answered(m answered, now time.Time) {
	if n.placer != nil && n.placer.Epoch() == m.epoch {
		m.take(n.placer, now)
	}
}

// carryOut sends the orders and ends that the placer returns.
func (n *Node) carryOut(now time.Time) {
	if n.placer == nil {
		return
	}
	out := n.placer.Drain(now)
	for _, o := range out.Starts {
		n.call(callTime, func(ctx context.Context) func(*runs.Placer, time.Time) {
			a := n.Calls.Start(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Started(a, now) }
		})
	}
	for _, o := range out.Stops {
		n.call(callTime, func(ctx context.Context) func(*runs.Placer, time.Time) {
			a := n.Calls.Stop(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Stopped(a, now) }
		})
	}
	for _, o := range out.Looks {
		n.call(callTime+o.Wait, func(ctx context.Context) func(*runs.Placer, time.Time) {
			seen := n.Calls.Look(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Looked(seen, now) }
		})
	}
	for _, e := range out.Events {
		n.Hooks.Event(e)
	}
	for _, e := range out.Ends {
		n.Hooks.End(e)
		// An entry host that can't be reached resends the job under its id.
		_ = n.Send(e.Host, msgs.ServiceEntry, msgs.JobEnded{
			Job: e.Job, Host: n.Self, Epoch: n.placer.Epoch(), State: e.State, Reason: e.Reason, RetryAfter: e.RetryAfter,
		})
	}
	if out.Fenced {
		n.stop("fenced off")
	}
}

// call makes a call in a child and hands its answer to the placer that ordered it.
func (n *Node) call(limit time.Duration, do func(ctx context.Context) func(*runs.Placer, time.Time)) {
	epoch := n.placer.Epoch()
	n.task.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		n.task.Self.Reply(answered{epoch: epoch, take: do(ctx)})
	})
}
