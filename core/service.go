package core

import (
	"time"

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

// drain hands the leadership over before the service stops, and reports whether it may stop. Requests that it
// leaves open are answered first.
func (n *Core) drain(*kernel.Task) bool {
	if !n.handedOver() {
		return false
	}
	n.refuseOpen()
	return true
}

// handedOver hands the leadership over, and reports whether that is done, isn't needed or takes too long.
func (n *Core) handedOver() bool {
	if n.replica == nil || n.failed || n.fullDisk.active {
		return true
	}
	now := n.Now()
	if n.drainBy.IsZero() {
		n.drainBy = now.Add(handoverTimeout)
	}
	if !n.isPrimary(now) || now.After(n.drainBy) {
		return true
	}
	n.replica.Handover(now)
	n.process(now)
	return n.replica == nil || !n.isPrimary(now)
}

// isPrimary reports whether this host leads, or led until its lease expired and no other host can have led since.
func (n *Core) isPrimary(now time.Time) bool {
	status := n.replica.Status(now)
	return status.Leading || status.Lapsed
}

// refuseOpen answers the requests that wait for a commit or a leader.
func (n *Core) refuseOpen() {
	if n.log != nil {
		n.failProposals(Answer{LeadershipLost: true})
	}
	held := n.held
	n.held = nil
	leader := n.leader
	if leader == n.Self {
		leader = ""
	}
	for _, r := range held {
		r.reply(Answer{Leader: leader})
	}
}

// handoverTimeout is how long a stop waits for another host to become the leader: two elections.
const handoverTimeout = 2 * electionTimeout
