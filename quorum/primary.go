package quorum

import (
	"slices"
	"time"
)

// primary is what the primary of a view keeps.
type primary struct {
	acks     map[string]ack // nil when another replica is the primary
	began    time.Duration  // when the view began
	start    uint64         // last op of earlier views
	prepared uint64         // last op sent to the backups
	beat     time.Duration  // when the last message was sent to all backups
	due      bool           // whether a heartbeat has to go out at once
	lease    time.Duration  // end of the lease
	firm     bool           // whether a majority knows that the generation has begun, and won't forget it
	retired  bool           // no longer decides in this view
	learner  learner
}

// ack is what a host has acknowledged.
type ack struct {
	op   uint64
	sent time.Duration // when the acknowledged message was sent
	firm bool          // whether the host has known that the generation has begun
}

// Propose adds a command to the log and returns its op. It returns a
// NotPrimaryError unless the replica is leading, and a FullError when too many
// entries wait. The command is committed when Drain hands it out.
func (r *Replica) Propose(cmd []byte, now time.Time) (uint64, error) {
	r.advance(now)
	if !r.leadingAt(r.now) {
		return 0, &NotPrimaryError{Primary: r.group.primarySlot(r.view), View: r.view}
	}
	if pending := int(r.log.last() - r.commit); pending >= r.cfg.MaxPending {
		return 0, &FullError{Pending: pending}
	}
	return r.propose(Entry{Command: cmd}), nil
}

func (r *Replica) propose(e Entry) uint64 {
	e.Op, e.View = r.log.last()+1, r.view
	r.add(e)
	if len(r.group.members) == 1 {
		r.tryCommit()
	}
	return e.Op
}

// flush sends the entries proposed since the last flush, or the heartbeat.
func (r *Replica) flush() {
	if !r.isPrimary() || r.primary.retired {
		return
	}
	p := &r.primary
	last := r.log.last()
	if p.prepared == last && !p.due {
		return
	}
	for first := true; first || p.prepared < last; first = false {
		entries := r.log.after(p.prepared, r.cfg.MaxBatch)
		p.prepared += uint64(len(entries))
		r.prepare(entries)
	}
	p.beat, p.due = r.now, false
}

func (r *Replica) prepare(entries []Entry) {
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
	if l := r.primary.learner.name; l != "" && !r.group.knows(l) {
		r.send(l, m)
	}
}

func (r *Replica) tickPrimary() {
	p := &r.primary
	if r.now >= max(p.began, p.lease)+r.cfg.ElectionTimeout {
		p.retired = true
	}
	if p.retired {
		r.seekView()
		return
	}
	if r.now >= p.beat+r.cfg.Heartbeat {
		p.due = true
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
	if !r.group.knows(m.From) {
		return
	}
	a := r.primary.acks[m.From]
	r.primary.acks[m.From] = ack{op: max(a.op, m.Op), sent: max(a.sent, m.Sent), firm: a.firm || !m.Tentative}
	r.renewLease()
	r.confirm()
	r.tryCommit()
}

// confirm notes when a majority knows that the generation has begun. Before
// that, the backups may forget it and leave the primary alone with an entry that
// only it holds, which it can neither commit nor give up.
func (r *Replica) confirm() {
	firm := func(name string) bool { return name == r.name || r.primary.acks[name].firm }
	r.primary.firm = r.primary.firm || (!r.recovery.tentative && r.group.quorum(firm))
}

// tryCommit commits what enough hosts hold.
func (r *Replica) tryCommit() {
	for _, op := range r.heldOps() {
		if op <= r.commit {
			return
		}
		held := func(name string) bool { return name == r.name || r.primary.acks[name].op >= op }
		if r.group.commits(op, held) {
			r.learnCommit(op)
			return
		}
	}
}

// heldOps returns the ops up to which hosts hold the log, highest first. A
// pending replacement is a step of its own, since it commits by another rule.
func (r *Replica) heldOps() []uint64 {
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
