package quorum

import (
	"slices"
	"time"
)

// primary is the state of the primary of a view.
type primary struct {
	acks          map[string]ack // by host; nil if another replica is the primary
	startedAt     time.Duration  // when the view started
	startOp       uint64         // last op of earlier views
	preparedOp    uint64         // last op that was sent to the backups
	lastHeartbeat time.Duration  // when entries or a heartbeat were last sent to all backups
	heartbeatDue  bool           // whether the next flush sends a heartbeat even without new entries
	leaseEnd      time.Duration  // end of the lease
	confirmed     bool           // whether a majority knows that the generation is confirmed
	steppedDown   bool           // whether the replica no longer decides in this view
	learner       learner
}

// ack is the highest values that a host has acknowledged.
type ack struct {
	op        uint64
	sent      time.Duration // when the acknowledged message was sent
	confirmed bool          // whether the host knows that the generation is confirmed
}

// Propose appends a command to the log and returns its op. It returns a NotPrimaryError if the
// replica is no primary that can commit, and a FullError if Config.MaxPending entries are uncommitted. The
// command is committed once Drain returns it. That needs no lease: no other replica has committed anything
// since, if a quorum acknowledges it in this view.
func (r *Replica) Propose(cmd []byte, now time.Time) (uint64, error) {
	r.advanceClock(now)
	if !r.canCommit() {
		return 0, &NotPrimaryError{Primary: r.group.primarySlot(r.view), View: r.view}
	}
	if pending := int(r.log.last() - r.commit); pending >= r.cfg.MaxPending {
		return 0, &FullError{Pending: pending}
	}
	return r.propose(Entry{Command: cmd}), nil
}

func (r *Replica) propose(e Entry) uint64 {
	e.Op, e.View = r.log.last()+1, r.view
	r.appendEntry(e)
	if len(r.group.members) == 1 {
		r.tryCommit()
	}
	return e.Op
}

// flush sends the entries proposed since the last flush, or a heartbeat if one is due.
func (r *Replica) flush() {
	if !r.isPrimary() || r.primary.steppedDown {
		return
	}
	p := &r.primary
	last := r.log.last()
	if p.preparedOp == last && !p.heartbeatDue {
		return
	}
	for first := true; first || p.preparedOp < last; first = false {
		entries := r.log.afterBounded(p.preparedOp, r.cfg.MaxBatch, prepareBytes)
		p.preparedOp += uint64(len(entries))
		if len(entries) == 1 && len(entries[0].Command) > prepareBytes {
			entries = nil
		}
		r.sendPrepare(entries)
	}
	p.lastHeartbeat, p.heartbeatDue = r.now, false
}

func (r *Replica) sendPrepare(entries []Entry) {
	m := Message{
		Kind:    KindPrepare,
		View:    r.view,
		Op:      r.log.last(),
		Commit:  r.commit,
		Entries: entries,
		Sent:    r.now,

		Tentative: r.recovery.tentative,
	}
	r.broadcast(m)
	if l := r.primary.learner.name; l != "" && !r.group.includes(l) {
		r.send(l, m)
	}
}

func (r *Replica) tickPrimary() {
	p := &r.primary
	if r.now >= max(p.startedAt, p.leaseEnd)+r.cfg.ElectionTimeout {
		p.steppedDown = true
	}
	if p.steppedDown {
		r.requestViewChange()
		return
	}
	if r.now >= p.lastHeartbeat+r.cfg.Heartbeat {
		p.heartbeatDue = true
	}
	r.tickLearner()
}

func (r *Replica) onPrepareOK(m Message) {
	if m.View != r.view || !r.isPrimary() {
		return
	}
	if m.From == r.primary.learner.name {
		r.primary.learner.op, r.primary.learner.acked = max(r.primary.learner.op, m.Op), true
		r.tickLearner()
	}
	if !r.group.includes(m.From) {
		return
	}
	a := r.primary.acks[m.From]
	r.primary.acks[m.From] = ack{op: max(a.op, m.Op), sent: max(a.sent, m.Sent), confirmed: a.confirmed || !m.Tentative}
	r.renewLease()
	r.confirmGeneration()
	r.tryCommit()
}

// confirmGeneration records whether a majority knows that the generation is confirmed. Before that,
// the backups may abandon it and leave the primary with an entry that only it holds, which it could
// neither commit nor discard.
func (r *Replica) confirmGeneration() {
	confirmed := func(name string) bool { return name == r.name || r.primary.acks[name].confirmed }
	r.primary.confirmed = r.primary.confirmed || (!r.recovery.tentative && r.group.hasQuorum(confirmed))
}

// tryCommit commits the entries that enough hosts hold.
func (r *Replica) tryCommit() {
	for _, op := range r.commitCandidates() {
		if op <= r.commit {
			return
		}
		holds := func(name string) bool { return name == r.name || r.primary.acks[name].op >= op }
		if r.group.canCommit(op, holds) {
			r.advanceCommit(op)
			return
		}
	}
}

// commitCandidates returns the ops up to which hosts hold the log, highest first. It includes the op
// before a pending replacement, since entries from the replacement on commit by another rule.
func (r *Replica) commitCandidates() []uint64 {
	ops := make([]uint64, 1, len(r.group.members)+2)
	ops[0] = r.log.last()
	for _, a := range r.primary.acks {
		ops = append(ops, min(a.op, r.log.last()))
	}
	if p := r.group.pending; p != nil {
		ops = append(ops, p.Op-1)
	}
	slices.Sort(ops)
	slices.Reverse(ops)
	return ops
}
