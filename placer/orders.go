package placer

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// callResult is the answer to an order of the placer of an epoch.
type callResult struct {
	epoch  uint64
	sentAt time.Time
	wait   time.Duration // for which the server may hold back its answer to a poll
	apply  func(p *runs.Placer, now time.Time)
}

func (n *PlacingService) handleResult(m callResult, now time.Time) {
	if m.wait == 0 {
		n.latency.observe(now.Sub(m.sentAt))
	}
	if n.placer != nil && n.placer.Epoch() == m.epoch {
		m.apply(n.placer, now)
	}
}

// executeOrders carries out the orders, events and ends of jobs that the placer returns.
func (n *PlacingService) executeOrders(now time.Time) {
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
	for _, o := range out.Polls {
		n.call(o.Wait, func(ctx context.Context) func(*runs.Placer, time.Time) {
			result := n.Calls.Poll(ctx, o)
			return func(p *runs.Placer, now time.Time) { p.Polled(result, now) }
		})
	}
	for _, e := range out.Events {
		n.Hooks.RunEvent(n.placer.Epoch(), e)
	}
	for _, e := range out.Ends {
		n.Hooks.JobEnded(e)
		// If the entry host is unreachable, the caller resends the job under the same id.
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

// call makes a call in a child task and returns its answer to the placer that ordered
// it. The server may hold back its answer for wait, which extends the timeout.
func (n *PlacingService) call(wait time.Duration, do func(ctx context.Context) func(*runs.Placer, time.Time)) {
	epoch, sent := n.placer.Epoch(), n.task.Env.Now()
	timeout := wait + n.latency.timeout()
	n.task.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		apply := do(ctx)
		n.task.Self.Reply(callResult{epoch: epoch, sentAt: sent, wait: wait, apply: apply})
	})
}
