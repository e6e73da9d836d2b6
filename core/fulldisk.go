package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// diskRetryInterval is the time between two attempts to write to a full disk.
const diskRetryInterval = 500 * time.Millisecond

// fullDisk is the state of a host while its disk is full. Its replica is paused, as on a suspended
// host: it neither acknowledges nor votes. The rest of the host continues with the placements that
// the leader reports.
type fullDisk struct {
	active          bool
	placementsKnown bool // the leader has reported the placements
	since           time.Time
	retryAt         time.Time
}

// checkDisk reports whether the log is blocked on a full disk. When that begins, it steps down and
// fails the pending proposals.
func (n *Core) checkDisk(now time.Time) bool {
	err := n.log.Blocked()
	if err == nil || n.fullDisk.active {
		return err != nil
	}
	n.fullDisk = fullDisk{active: true, since: now, retryAt: now.Add(diskRetryInterval)}
	n.Hooks.DiskFull(0, err)
	n.failProposals(Answer{DiskFull: true})
	n.lapse = lapse{} // its watch counts on proposals that are dropped now
	if n.watch != nil {
		n.endLeadership(n.replica.Status(now).View)
	}
	if n.leader == n.Self {
		n.leader = ""
	}
	return true
}

// retryDisk retries the blocked write if the interval has passed, and reports whether the disk has
// space again.
func (n *Core) retryDisk(now time.Time) bool {
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
		n.sendJoin(msgs.CoreJoin{Host: n.Self, DataCentre: n.DataCentre}, now)
		return false
	}
	n.Hooks.DiskFull(now.Sub(n.fullDisk.since), nil)
	n.fullDisk = fullDisk{}
	n.removedSince = time.Time{}
	return true
}

// followLeader takes over the placements from the leader's reply while the disk of this host is full,
// since its own replica can't apply them.
func (n *Core) followLeader(m msgs.CoreJoined) {
	if !n.fullDisk.active || m.Host != m.Leader {
		return
	}
	n.fullDisk.placementsKnown = true
	n.leader, n.reportedPlacements = m.Leader, m.Placements
	n.reportedEvacuations = model.Evacuations{DataCentres: m.Evacuated, Version: m.EvacuationVersion}
}
