package placer

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// answered is the answer to an order, for the epoch that gave it.
type callResult struct {
	epoch  uint64
	sentAt time.Time
	wait   time.Duration
	apply  func(p *runs.Placer, now time.Time)
}

func (n *Node) handleResult(m callResult, now time.Time) {
	if m.wait == 0 {
		n.latency.observe(now.Sub(m.sentAt))
	}
	if n.placer != nil && n.placer.Epoch() == m.epoch {
		m.apply(n.placer, now)
	}
}

// carryOut sends the orders and ends that the placer returns.
func (n *Node) executeOrders(now time.Time) {
	if n.placer == nil {
		return
	}
	out := n.placer.Drain(now)
	for _, o := range out.Starts {
		n.call(0, func(ctx context.Context) func(*runs.Placer, time.Time) {
			a := n.Calls.Start(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Started(a, now) }
		})
	}
	for _, o := range out.Stops {
		n.call(0, func(ctx context.Context) func(*runs.Placer, time.Time) {
			a := n.Calls.Stop(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Stopped(a, now) }
		})
	}
	for _, o := range out.Looks {
		n.call(o.Wait, func(ctx context.Context) func(*runs.Placer, time.Time) {
			seen := n.Calls.Poll(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Looked(seen, now) }
		})
	}
	for _, e := range out.Events {
		n.Hooks.RunEvent(n.placer.Epoch(), e)
	}
	for _, e := range out.Ends {
		n.Hooks.JobEnded(e)
		// An entry host that can't be reached resends the job under its id.
		_ = n.Send(e.Host, msgs.ServiceEntry, msgs.JobEnded{
			Job: e.Job, Host: n.Self, Epoch: n.placer.Epoch(), State: e.State, Reason: e.Reason, RetryAfter: e.RetryAfter,
			Incarnation: e.Incarnation, Hand: e.Hand,
		})
	}
	if out.Fenced {
		n.stopPlacing("fenced off")
		n.fencedAt = now
	}
}

// call makes a call in a child and hands its answer to the placer that ordered it.
// Waits is how long the answer is meant to wait.
func (n *Node) call(waits time.Duration, do func(ctx context.Context) func(*runs.Placer, time.Time)) {
	epoch, sent := n.placer.Epoch(), n.task.Env.Now()
	limit := waits + n.latency.timeout()
	n.task.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		take := do(ctx)
		n.task.Self.Reply(callResult{epoch: epoch, sentAt: sent, wait: waits, apply: take})
	})
}
