package core

import (
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

// tick is the interval of Core.Tick: two ticks per heartbeat.
const tick = heartbeatInterval / 2

// Service returns the Core as a kernel service whose mailbox holds at most depth messages. The
// function open opens the links to a host that has none yet.
func (n *Core) Service(depth int, open func(host string) error) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServiceCore,
		Depth: depth,
		Every: tick,
		Start: func(t *kernel.Task) error {
			n.Now = t.Env.Now
			n.Random = t.Env.Random
			n.Send = peers.NewMailer(n.Self, t.Find, peers.WithOpen(open)).Send
			n.Start()
			return nil
		},
		Handle: func(_ *kernel.Task, msg any) { n.Handle(msg) },
		Tick:   func(*kernel.Task) { n.Tick() },
		Drain:  n.drain,
	}
}

// drain hands the leadership over before the service stops, and reports whether it may stop.
func (n *Core) drain(*kernel.Task) bool {
	if n.replica == nil || n.failed || n.fullDisk.active {
		return true
	}
	now := n.Now()
	if n.drainBy.IsZero() {
		n.drainBy = now.Add(handoverTimeout)
	}
	if !n.replica.Status(now).Leading || now.After(n.drainBy) {
		return true
	}
	n.replica.Handover(now)
	n.process(now)
	return !n.replica.Status(now).Leading
}

// handoverTimeout is how long a stop waits for another host to become the leader: two elections.
const handoverTimeout = 2 * electionTimeout
