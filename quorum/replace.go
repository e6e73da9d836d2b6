package quorum

import "time"

// learner is the host that is to replace a member, before the replacement is in
// the log.
type learner struct {
	name  string
	slot  int
	acked bool
	op    uint64
}

// Replace begins to replace the member in a slot by a new host, which has to
// run with WithLearner. The new host first takes over the state without a vote;
// then the replacement is proposed, and only its commit gives the new host a
// vote. The caller repeats the call at the new primary when the primary changes
// meanwhile. The replaced host must not be started again with its old settings:
// without memory it can't know that it has been replaced.
func (r *Replica) Replace(slot int, m Member, now time.Time) error {
	r.advanceClock(now)
	if !r.leadingAt(r.now) {
		return &NotPrimaryError{Primary: r.group.primarySlot(r.view), View: r.view}
	}
	if reason := r.replacementRefusal(slot, m); reason != "" {
		return &ReplacementError{Slot: slot, Reason: reason}
	}
	if r.group.includes(m.Name) || r.primary.learner.name == m.Name {
		return nil
	}
	r.primary.learner = learner{name: m.Name, slot: slot}
	r.primary.heartbeatDue = true
	return nil
}

func (r *Replica) replacementRefusal(slot int, m Member) string {
	p := r.group.pending
	switch {
	case slot < 0 || slot >= len(r.group.members):
		return "no such slot"
	case r.group.members[slot].Name == r.name:
		return "it is the primary"
	case r.group.memberSlot(m.Name) >= 0 && r.group.memberSlot(m.Name) != slot:
		return "the new host has another slot"
	case p != nil && p.Replace != m.Name:
		return "another replacement is under way"
	default:
		return ""
	}
}

// tickLearner proposes the replacement once the learner holds all that is
// committed.
func (r *Replica) tickLearner() {
	l := r.primary.learner
	if l.name == "" || !l.acked || l.op < r.commit || r.group.pending != nil || !r.leadingAt(r.now) {
		return
	}
	if r.countCurrent(r.now, l.slot) < r.group.majority() {
		return // the replacement could not commit, and nothing after it
	}
	r.primary.learner = learner{}
	r.propose(Entry{Slot: l.slot, Replace: l.name})
}

// endProbation ends the probation of a learner that finds itself in the log: an
// earlier life of it acknowledged the replacement and may have voted. It helps
// to commit the replacement, which needs it, and nothing else. Once it is a
// member it goes through the recovery protocol like any that lost its memory.
func (r *Replica) endNonVoting() {
	switch {
	case !r.nonVoting || r.group.pending != nil:
		return
	case r.isMember():
		r.learner = false
		r.abandonGeneration()
	default:
		r.nonVoting = false // the replacement was dropped by a view change
	}
}

// provenOp returns the last op that may be acknowledged in probation.
func (r *Replica) ackLimit() uint64 {
	if p := r.group.pending; p != nil {
		return min(p.Op, r.log.last())
	}
	return 0
}
