package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// Put is a request to commit a version of the routes.
type Put struct {
	Routes model.RoutesText
	Reply  func(Answer)
}

// Fits asks whether routes of a size may be put. Only the leader knows what the entry hosts receive.
type Fits struct {
	Bytes int64
	Reply func(Answer)
}

// Read is a request for the newest committed routes.
type Read struct {
	Reply func(Answer)
}

// Answer is the outcome of a Put, a Read or an Evacuate. If Done is false, Leader names the host to ask instead,
// if one is known. Nothing was proposed then, unless DiskFull or LeadershipLost is set: the failure
// may have come after the proposal, which may still commit.
type Answer struct {
	Done           bool
	DiskFull       bool // the disk of this host is full
	LeadershipLost bool // this host lost the leadership; the next leader may commit the proposal or not
	Observing      bool // this host leads, but doesn't know yet whether the entry hosts can take the routes
	Leader         string
	Refused        bool             // the command would exceed a limit, if Done
	Bytes          int64            // size of the routes, if Limit is set
	Limit          int64            // set if the routes are larger than this size in bytes, so that a host couldn't take them
	Routes         model.RoutesText // newest ones, if Done
}

// handleRequest handles a request of an operator.
func (n *Core) handleRequest(msg any, now time.Time) {
	switch m := msg.(type) {
	case Put:
		n.put(m, now)
	case Fits:
		a := n.fits(m.Bytes, now)
		a.Done = true
		m.Reply(a)
	case Read:
		n.read(m, now)
	case Evacuate:
		n.evacuate(m, now)
	}
}

func (n *Core) put(m Put, now time.Time) {
	if a := n.fits(int64(len(m.Routes.Source)), now); a.Limit > 0 || a.Observing {
		m.Reply(a)
		return
	}
	n.propose(fleet.Command{Kind: fleet.KindRoutes, Routes: &m.Routes}, m.Reply, now)
}

// read commits an entry before it answers. Only that proves that no other host has become the leader
// and committed newer routes in the meantime, even if this host was suspended.
func (n *Core) read(m Read, now time.Time) {
	n.propose(fleet.Command{Kind: fleet.KindRead}, m.Reply, now)
}

// propose proposes a command if this host is the leader; otherwise reply receives the leader's name, once
// a leader is known.
func (n *Core) propose(c fleet.Command, reply func(Answer), now time.Time) {
	if n.fullDisk.active {
		reply(Answer{DiskFull: true})
		return
	}
	if !n.canPropose(now) {
		n.refer(heldRequest{command: c, reply: reply, expires: now.Add(leaderTimeout)}, now)
		return
	}
	n.nextProposal++
	id := n.nextProposal
	if n.proposals == nil {
		n.proposals = map[uint64]func(Answer){}
	}
	n.proposals[id] = reply
	n.log.Enqueue(c, func(r fleet.Result) {
		delete(n.proposals, id)
		reply(Answer{Done: true, Refused: r.Refused, Routes: r.Routes})
	})
}
