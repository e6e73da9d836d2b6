package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// Put asks to commit a version of the routes.
type Put struct {
	Routes model.RoutesText
	Reply  func(Answer)
}

// Read asks for the newest committed routes.
type Read struct {
	Reply func(Answer)
}

// Answer is what became of a Put or a Read. When Done is false, Leader names the
// host to ask instead, if one is known; nothing was decided here, unless Full or
// Lost tells what became of this host after it had begun.
type Answer struct {
	Done           bool
	DiskFull       bool // the disk of this host is full
	LeadershipLost bool // this host leads no more, so the next leader may decide it or not
	Leader         string
	Routes         model.RoutesText // newest, when Done
}

func (n *Node) put(m Put, now time.Time) {
	n.propose(fleet.Command{Kind: fleet.KindRoutes, Routes: &m.Routes}, m.Reply, now)
}

// read commits an entry first: only that proves that no other host has taken the
// lead and more has been committed since, also after this machine was suspended.
func (n *Node) read(m Read, now time.Time) {
	n.propose(fleet.Command{Kind: fleet.KindRead}, m.Reply, now)
}

func (n *Node) propose(c fleet.Command, reply func(Answer), now time.Time) {
	if n.fullDisk.active {
		reply(Answer{DiskFull: true})
		return
	}
	if n.replica == nil || n.failed || !n.replica.Status(now).Leading {
		leader := n.leader
		if leader == n.Self {
			leader = ""
		}
		reply(Answer{Leader: leader})
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
		reply(Answer{Done: true, Routes: r.Routes})
	})
}
