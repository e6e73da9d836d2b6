package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/quorum"
)

const (
	// leaderTimeout is how long a read of an operator waits for a leader of the core. An election takes
	// less, and operators ask another host after a second.
	leaderTimeout = 800 * time.Millisecond

	maxHeld = 256 // reads that wait for a leader
)

// lapse is the state of a leader whose lease has expired, as after it stood still, until a quorum
// acknowledges it again or it has left the view. Until then no other host can have led.
type lapse struct {
	watch    *fleet.Watch // nil if the lease hasn't lapsed
	proposer proposer     // views are numbered anew in each generation
}

// proposer identifies the view in which this host has made its pending proposals.
type proposer struct {
	generation uint64
	view       uint64
}

func proposerOf(status quorum.Status) proposer {
	return proposer{generation: status.Generation, view: status.View}
}

// beginLeadership continues a leadership whose lease had lapsed in the same view, or begins a new one.
func (n *Core) beginLeadership(status quorum.Status, now time.Time) {
	if n.lapse.watch != nil && n.lapse.proposer == proposerOf(status) {
		n.watch = n.lapse.watch
		n.watch.Resume(now)
	} else {
		n.watch = fleet.NewWatch(now)
		clear(n.waiting)
	}
	n.ledSince = now // acknowledgements of members may still wait
	n.lapse = lapse{}
	n.Hooks.Leading(true, status.View)
}

// suspendLeadership ends the leadership. If only the lease has lapsed, it keeps the view of the entry hosts.
func (n *Core) suspendLeadership(status quorum.Status) {
	if status.Lapsed {
		n.lapse = lapse{watch: n.watch, proposer: proposerOf(status)}
	}
	n.watch = nil
	n.Hooks.Leading(false, status.View)
}

// checkProposals fails the pending proposals once this host can't commit them any more. While only the
// lease has lapsed it can: they stay in the log unless a quorum leaves the view.
func (n *Core) checkProposals(status quorum.Status) {
	current := proposerOf(status)
	if (status.Leading || status.Lapsed) && current == n.proposer {
		return
	}
	n.proposer = current
	if n.watch == nil {
		n.lapse = lapse{}
	}
	n.failProposals(Answer{LeadershipLost: true})
}

// heldRequest is a read of an operator that waits for a leader of the core.
type heldRequest struct {
	command fleet.Command
	reply   func(Answer)
	expires time.Time
}

// canPropose reports whether proposals of this host commit once a majority acknowledges them.
func (n *Core) canPropose(now time.Time) bool {
	if n.replica == nil || n.failed {
		return false
	}
	status := n.replica.Status(now)
	return (status.Leading || status.Lapsed) && n.proposer == proposerOf(status)
}

// refer replies with the name of the leader. While no leader is known, or the lease of this one has
// lapsed, a read waits: a leader that is asked again at once refuses again, and the operator would find all
// hosts of the core refusing within some milliseconds. A change is refused: its document may be large,
// and an evacuation that waited could come after the order that reverts it.
func (n *Core) refer(r heldRequest, now time.Time) {
	switch {
	case n.leader != "" && n.leader != n.Self:
		r.reply(Answer{Leader: n.leader})
	case n.failed, r.command.Kind != fleet.KindRead, !now.Before(r.expires), len(n.held) >= maxHeld:
		r.reply(Answer{})
	default:
		n.held = append(n.held, r)
	}
}

// retryHeld carries out the reads that wait for a leader if there is one by now, and refuses those that
// have waited for leaderTimeout.
func (n *Core) retryHeld(now time.Time) {
	if len(n.held) == 0 {
		return
	}
	held := n.held
	n.held = nil
	for _, r := range held {
		if n.canPropose(now) || n.fullDisk.active {
			n.propose(r.command, r.reply, now)
		} else {
			n.refer(r, now)
		}
	}
	n.process(now)
}
