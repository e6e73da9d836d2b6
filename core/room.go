package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// roomInterval is the time between two tries to write to a disk that was full.
const roomInterval = 500 * time.Millisecond

// room is how a host stands whose disk takes no more. Its replica stands still,
// as that of a frozen host: it acknowledges nothing and votes for nothing. The
// rest of the host goes on by what the leader tells.
type room struct {
	full  bool
	told  bool // the leader has told who places
	since time.Time
	tryAt time.Time
}

// lacksRoom tells whether the log waits for room on the disk.
func (n *Node) lacksRoom(now time.Time) bool {
	err := n.log.Blocked()
	if err == nil || n.room.full {
		return err != nil
	}
	n.room = room{full: true, since: now, tryAt: now.Add(roomInterval)}
	n.Hooks.Full(0, err)
	n.answerBegun(Answer{Full: true})
	if n.watch != nil {
		n.leadNoMore(n.replica.Status(now).View)
	}
	if n.leader == n.Self {
		n.leader = ""
	}
	return true
}

// tryDisk tries to write again when it is time, and tells whether the host goes
// on.
func (n *Node) tryDisk(now time.Time) bool {
	if n.failed {
		return false
	}
	if now.Before(n.room.tryAt) {
		return false
	}
	n.room.tryAt = now.Add(roomInterval)
	n.log.Retry(now)
	if n.failed {
		return false
	}
	if n.log.Blocked() != nil {
		n.askCore(msgs.CoreJoin{Host: n.Self})
		return false
	}
	n.Hooks.Full(now.Sub(n.room.since), nil)
	n.room = room{}
	n.outside = time.Time{}
	return true
}

// toldMeanwhile takes from the leader who places, while this host has no room to
// learn it.
func (n *Node) toldMeanwhile(m msgs.CoreJoined) {
	if !n.room.full || m.Host != m.Leader {
		return
	}
	n.room.told = true
	n.leader, n.members, n.others = m.Leader, m.Members, m.Placements
}
