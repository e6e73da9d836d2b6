package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// roomInterval is the time between two tries to write to a disk that was full.
const diskRetryInterval = 500 * time.Millisecond

// room is how a host stands whose disk takes no more. Its replica stands still,
// as that of a frozen host: it acknowledges nothing and votes for nothing. The
// rest of the host goes on by what the leader tells.
type fullDisk struct {
	active          bool
	placementsKnown bool // the leader has told who places
	since           time.Time
	retryAt         time.Time
}

// lacksRoom tells whether the log waits for room on the disk.
func (n *Node) checkDisk(now time.Time) bool {
	err := n.log.Blocked()
	if err == nil || n.fullDisk.active {
		return err != nil
	}
	n.fullDisk = fullDisk{active: true, since: now, retryAt: now.Add(diskRetryInterval)}
	n.Hooks.DiskFull(0, err)
	n.failProposals(Answer{DiskFull: true})
	if n.watch != nil {
		n.endLeadership(n.replica.Status(now).View)
	}
	if n.leader == n.Self {
		n.leader = ""
	}
	return true
}

// tryDisk tries to write again when it is time, and tells whether the host goes
// on.
func (n *Node) retryDisk(now time.Time) bool {
	if n.failed {
		return false
	}
	if now.Before(n.fullDisk.retryAt) {
		return false
	}
	n.fullDisk.retryAt = now.Add(diskRetryInterval)
	n.log.Retry(now)
	if n.failed {
		return false
	}
	if n.log.Blocked() != nil {
		n.sendJoin(msgs.CoreJoin{Host: n.Self})
		return false
	}
	n.Hooks.DiskFull(now.Sub(n.fullDisk.since), nil)
	n.fullDisk = fullDisk{}
	n.removedSince = time.Time{}
	return true
}

// toldMeanwhile takes from the leader who places, while this host has no room to
// learn it.
func (n *Node) followLeader(m msgs.CoreJoined) {
	if !n.fullDisk.active || m.Host != m.Leader {
		return
	}
	n.fullDisk.placementsKnown = true
	n.leader, n.members, n.reportedPlacements = m.Leader, m.Members, m.Placements
}
