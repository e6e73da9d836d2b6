package quorum

import (
	"math"
	"slices"
	"time"
)

// renewLease ends the lease one lease duration after the sending of the latest
// message that a quorum has acknowledged. Each of that quorum promised, at a
// later time, to join no other view for longer than that.
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
				r.primary.heartbeatDue = true // the backups have to know
			}
			return
		}
	}
}

// leasing tells whether the lease counts at a time.
func (r *Replica) holdsLeaseAt(t time.Duration) bool {
	return r.isPrimary() && !r.primary.steppedDown && t < r.primary.leaseEnd
}

// leadingAt tells whether the replica may decide at a time: it has the lease
// and knows that all entries of earlier views are committed and that a majority
// holds to the generation.
func (r *Replica) leadingAt(t time.Duration) bool {
	return r.holdsLeaseAt(t) && r.primary.confirmed && r.commit >= r.primary.startOp
}

// countCurrent returns how many members, with the primary itself, have
// acknowledged a message that was sent within the last lease duration. It leaves
// out one slot, none when that is negative.
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

// lead makes the replica the primary of its view with the log that it holds.
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

// Handover passes the leadership to the most up-to-date backup at once, for a
// planned stop. The replica doesn't decide any more in this view.
func (r *Replica) Handover(now time.Time) {
	r.advanceClock(now)
	if !r.isPrimary() || r.primary.steppedDown {
		return
	}
	r.flush()
	r.stepDown(r.nextViewOf(r.bestBackup()))
}

// retire gives up the lease, releases the promises and asks for a view.
func (r *Replica) stepDown(view uint64) {
	r.primary.steppedDown = true
	r.election.requestedView = max(r.election.requestedView, view)
	r.broadcast(Message{Kind: KindHandover, View: view, Normal: r.view})
}

// bestBackup returns the slot of the backup that holds most of the log, and was
// heard last among equals. It returns -1 when none was heard.
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

// nextViewOf returns the next view whose primary is in that slot.
func (r *Replica) nextViewOf(slot int) uint64 {
	view := r.view + 1
	for slot >= 0 && r.group.primarySlot(view) != slot {
		view++
	}
	return view
}

// onHandover counts as the wish of the primary for a new view and as release
// from the promise to it.
func (r *Replica) onHandover(m Message) {
	if m.Normal != r.view || m.From != r.backup.primary || r.status != statusNormal {
		return
	}
	r.backup.promiseEnd = 0
	r.backup.ackDue = false
	r.onStartViewChange(m)
}
