package quorum

import (
	"math"
	"slices"
	"time"
)

// renewLease sets the end of the lease to one lease duration after the latest message that a quorum
// has acknowledged was sent. Each member of that quorum promised at a later time, and for longer
// than the lease, to join no other view.
func (r *Replica) renewLease() {
	sentTimes := make([]time.Duration, 0, len(r.group.members)+1)
	for _, a := range r.primary.acks {
		sentTimes = append(sentTimes, a.sent)
	}
	slices.Sort(sentTimes)
	for _, t := range slices.Backward(sentTimes) {
		has := func(name string) bool {
			a, ok := r.primary.acks[name]
			return name == r.name || (ok && a.sent >= t)
		}
		if r.group.hasQuorum(has) {
			r.primary.leaseEnd = max(r.primary.leaseEnd, t+r.cfg.Lease)
			if r.recovery.tentative {
				r.recovery.tentative = false
				r.primary.heartbeatDue = true // notify the backups without delay
			}
			return
		}
	}
}

// holdsLeaseAt reports whether the replica is a primary with a valid lease at time t.
func (r *Replica) holdsLeaseAt(t time.Duration) bool {
	return r.isPrimary() && !r.primary.steppedDown && t < r.primary.leaseEnd
}

// leadingAt reports whether the replica may decide at time t: it holds the lease, all entries of
// earlier views are committed, and a majority has confirmed the generation.
func (r *Replica) leadingAt(t time.Duration) bool {
	return r.holdsLeaseAt(t) && r.canCommit()
}

// canCommit reports whether the replica is a primary whose new entries commit once a quorum acknowledges
// them: all entries of earlier views are committed, and a majority has confirmed the generation.
func (r *Replica) canCommit() bool {
	return r.isPrimary() && !r.primary.steppedDown && r.primary.confirmed && r.commit >= r.primary.startOp
}

// countCurrent returns the number of members, including the primary itself, that have acknowledged a
// message sent within one lease duration before t. It excludes the slot except unless that is
// negative.
func (r *Replica) countCurrent(t time.Duration, except int) int {
	n := 0
	for i, m := range r.group.members {
		a, ok := r.primary.acks[m.Name]
		if i != except && (m.Name == r.name || (ok && t < a.sent+r.cfg.Lease)) {
			n++
		}
	}
	return n
}

// becomePrimary makes the replica the primary of its view with its current log.
func (r *Replica) becomePrimary() {
	r.status, r.lastNormal = statusNormal, r.view
	r.fetch = nil
	r.election = election{}
	r.primary = primary{
		acks:         map[string]ack{},
		startedAt:    r.now,
		startOp:      r.log.last(),
		preparedOp:   r.commit,
		heartbeatDue: true,
	}
	if r.group.hasQuorum(func(name string) bool { return name == r.name }) {
		r.primary.leaseEnd, r.primary.confirmed = math.MaxInt64/2, true
	}
	r.tryCommit()
}

// Handover transfers the leadership to the most up-to-date backup without an election timeout, for a
// planned shutdown. The replica no longer decides in this view. It does nothing on a backup.
func (r *Replica) Handover(now time.Time) {
	r.advanceClock(now)
	if !r.isPrimary() || r.primary.steppedDown {
		return
	}
	r.flush()
	r.stepDown(r.nextViewOf(r.bestBackup()))
}

// stepDown releases the lease and the promises of the backups, and requests the given view.
func (r *Replica) stepDown(view uint64) {
	r.primary.steppedDown = true
	r.election.requestedView = max(r.election.requestedView, view)
	r.broadcast(Message{Kind: KindHandover, View: view, Normal: r.view})
}

// bestBackup returns the slot of the backup with the longest log; among equals, the one that
// acknowledged the latest message. It returns -1 if no backup has acknowledged any.
func (r *Replica) bestBackup() int {
	best, bestAck := -1, ack{}
	for i, m := range r.group.members {
		a, ok := r.primary.acks[m.Name]
		if !ok || m.Name == r.name {
			continue
		}
		if best < 0 || a.op > bestAck.op || (a.op == bestAck.op && a.sent > bestAck.sent) {
			best, bestAck = i, a
		}
	}
	return best
}

// nextViewOf returns the next view whose primary is in the slot, or just the next view if the slot is
// negative.
func (r *Replica) nextViewOf(slot int) uint64 {
	view := r.view + 1
	for slot >= 0 && r.group.primarySlot(view) != slot {
		view++
	}
	return view
}

// onHandover releases the replica from its promise to the primary and counts as the primary's
// request for a new view.
func (r *Replica) onHandover(m Message) {
	if m.Normal != r.view || m.From != r.backup.primary || r.status != statusNormal {
		return
	}
	r.backup.promiseEnd = 0
	r.backup.ackDue = false
	r.onStartViewChange(m)
}
