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
	server string
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
		n.addVerified(m.server, now)
	}
}

// executeOrders carries out the orders, events and ends of jobs that the placer returns.
func (n *PlacingService) executeOrders(now time.Time) {
	if n.placer == nil {
		return
	}
	out := n.placer.Drain(now)
	for _, o := range out.Starts {
		unknown := runs.Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: runs.OutcomeUnknown}
		call(n, o.Server.Name, 0, func(ctx context.Context) runs.Answer { return n.Calls.Start(ctx, o) }, unknown, (*runs.Placer).Started)
	}
	for _, o := range out.Stops {
		unknown := runs.Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: runs.OutcomeUnknown}
		call(n, o.Server.Name, 0, func(ctx context.Context) runs.Answer { return n.Calls.Stop(ctx, o) }, unknown, (*runs.Placer).Stopped)
	}
	for _, o := range out.Polls {
		unknown := runs.PollResult{Server: o.Server.Name, Seq: o.Seq, Fence: o.Fence, Outcome: runs.OutcomeUnknown}
		call(n, o.Server.Name, o.Wait, func(ctx context.Context) runs.PollResult { return n.Calls.Poll(ctx, o) }, unknown, (*runs.Placer).Polled)
	}
	for _, e := range out.Events {
		n.Hooks.RunEvent(n.placer.Epoch(), e)
	}
	var rooms []msgs.ServiceRoom
	if len(out.Ends) > 0 {
		rooms = n.rooms("", now)
	}
	for _, e := range out.Ends {
		n.Hooks.JobEnded(e)
		n.countChosen(e.Job, e.RoomIn)
		// If the entry host is unreachable, the caller resends the job under the same id.
		_ = n.Send(e.Host, msgs.ServiceEntry, msgs.JobEnded{
			Job: e.Job, Host: n.Self, Epoch: n.placer.Epoch(), State: e.State, Reason: e.Reason, RetryAfter: e.RetryAfter,
			Incarnation: e.Incarnation, Hand: e.Hand, Evacuated: e.Evacuated, RoomIn: e.RoomIn, Rooms: rooms,
			RoomDataCentre: e.RoomDataCentre,
			Unplaceable:    e.Unplaceable,
		})
	}
	clear(n.room.chosen) // a job is refused for room elsewhere at its handover only
	for _, b := range out.Bars {
		_ = n.Send(n.Self, msgs.ServiceEntry, LateStart{Bar: b, Shard: n.shard}) // on this host
	}
	if out.Fenced {
		n.stopPlacing("fenced off")
		n.fencedAt = now
	}
}

// call makes a call to a server in a child task and passes its answer to the placer that ordered it, or
// unknown if the call panics. The server may hold back its answer for wait, which extends
// the timeout.
func call[A any](n *PlacingService, server string, wait time.Duration, do func(ctx context.Context) A, unknown A, process func(p *runs.Placer, a A, now time.Time)) {
	epoch, sent := n.placer.Epoch(), n.task.Env.Now()
	timeout := wait + n.latency.timeout()
	result := func(a A) any {
		return callResult{epoch: epoch, server: server, sentAt: sent, wait: wait, apply: func(p *runs.Placer, now time.Time) { process(p, a, now) }}
	}
	n.task.Call(func(ctx context.Context) any {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return result(do(ctx))
	}, func(error) any { return result(unknown) })
}
