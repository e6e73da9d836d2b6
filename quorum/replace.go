package quorum

import "time"

// learner is the host that is to replace a member, before the replacement is in the log. The zero
// learner means that there is none.
type learner struct {
	name       string
	dataCentre string
	slot       int
	acked      bool   // whether it has acknowledged any message
	op         uint64 // last op that it holds
}

// Replace starts to replace the member in a slot by a new host, which has to run with WithLearner.
// The new host first fetches the state as a non-voting learner; then the replacement is proposed,
// and the new host gets a vote only when it commits. If the primary changes meanwhile, the caller
// has to call Replace at the new primary. The replaced host must not be started again with its old
// settings: if it has lost its state, it can't know that it has been replaced.
//
// Replace returns a NotPrimaryError if the replica may not decide, and a ReplacementError if the
// replacement is refused. It returns nil if the same replacement has already started.
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
	r.primary.learner = learner{name: m.Name, dataCentre: m.DataCentre, slot: slot}
	r.primary.heartbeatDue = true
	return nil
}

// replacementRefusal returns why the replacement can't start, empty if it can.
func (r *Replica) replacementRefusal(slot int, m Member) string {
	p := r.group.pending
	switch {
	case slot < 0 || slot >= len(r.group.members):
		return "no such slot"
	case r.group.members[slot].Name == r.name:
		return "the member is the primary"
	case r.group.memberSlot(m.Name) >= 0 && r.group.memberSlot(m.Name) != slot:
		return "the new host is already a member in another slot"
	case p != nil && p.Replace != m.Name:
		return "another replacement is pending"
	default:
		return ""
	}
}

// tickLearner proposes the replacement once the learner holds all committed entries.
func (r *Replica) tickLearner() {
	l := r.primary.learner
	if l.name == "" || !l.acked || l.op < r.commit || r.group.pending != nil || !r.leadingAt(r.now) {
		return
	}
	if r.countCurrent(r.now, l.slot) < r.group.majority() {
		return // neither the replacement nor later entries could commit
	}
	r.primary.learner = learner{}
	r.propose(Entry{Slot: l.slot, Replace: l.name, DataCentre: l.dataCentre})
}

// endNonVoting ends the non-voting state of a learner whose replacement was already in the log that
// it fetched: an earlier incarnation of it acknowledged the replacement and may have voted. Until
// the replacement commits, which requires its acknowledgement, the learner acknowledges nothing
// else. Once it is a member it recovers like any member that has lost its state.
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

// ackLimit returns the last op that a non-voting replica may acknowledge.
func (r *Replica) ackLimit() uint64 {
	if p := r.group.pending; p != nil {
		return min(p.Op, r.log.last())
	}
	return 0
}
