package group

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

const (
	maxTickInterval = 50 * time.Millisecond
	minTickInterval = 2 * time.Millisecond
)

// tick is the timer message that a Member sends to itself.
type tick struct{}

// Service returns the Member as a kernel service whose queue holds at most depth requests.
func (n *Member) Service(depth int) kernel.Service {
	var wakeAt time.Time
	schedule := func(t *kernel.Task) {
		now := t.Env.Now()
		next := n.nextWake(now)
		if wakeAt.After(now) && !next.Before(wakeAt) {
			return
		}
		wakeAt = next
		t.After(next.Sub(now), tick{})
	}
	return kernel.Service{
		Name:  msgs.ServiceGroup,
		Depth: depth,
		Start: func(t *kernel.Task) error {
			if err := n.attach(t); err != nil {
				return err
			}
			schedule(t)
			return nil
		},
		Handle: func(t *kernel.Task, msg any) {
			if msg == (tick{}) {
				n.Tick()
			} else {
				n.Handle(msg)
			}
			schedule(t)
		},
		Drain: n.drain,
	}
}

// nextWake returns when the next tick is due.
func (n *Member) nextWake(now time.Time) time.Time {
	next := now.Add(maxTickInterval)
	p := n.activePlacer()
	if p == nil {
		return next
	}
	wake := p.placer.NextWake(now)
	if wake.IsZero() || wake.After(next) {
		return next
	}
	if soonest := now.Add(minTickInterval); wake.Before(soonest) {
		return soonest
	}
	return wake
}

func (n *Member) attach(t *kernel.Task) error {
	n.Now = t.Env.Now
	n.Random = t.Env.Random
	n.Send = peers.NewMailer(n.Self.Name, t.Find).Send
	n.Spawn = func(work func() any) {
		t.Go(func(context.Context) { t.Self.Reply(work()) })
	}
	n.Start()
	return nil
}

// drain hands leadership over to another member before the service stops. It returns true once
// this host is no longer the primary, or if there is no other member.
func (n *Member) drain(*kernel.Task) bool {
	if n.primary == nil || len(n.Members) == 1 {
		return true
	}
	n.broadcastLearned(handoverInterval, n.Now())
	n.replica.Handover(n.Now())
	n.processOutput(n.Now())
	return n.primary == nil
}
