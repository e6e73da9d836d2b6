package quorum

// The members of a group are numbered by the epoch at which a majority has synced them. A replica
// that learns of a later epoch adopts its members, and from then on is a member only if they include
// it. Votes and acknowledgements carry the epoch under which their sender counts, and the receiver
// counts them only if its own membership includes the sender.

// notifyReplaced handles a message of a host that was replaced and may not know it, because it was
// frozen, partitioned or stopped meanwhile: it sends that host the members and reports true. The
// message must not count. A recovering host asks for the members itself, and the learner that is to
// become a member follows the primary.
func (r *Replica) notifyReplaced(m Message) bool {
	switch m.Kind {
	case KindRecovery, KindRecoveryResponse, KindForm, KindMembership:
		return false
	}
	if r.status == statusRecovering || m.Epoch >= r.group.epoch || r.group.includes(m.From) || m.From == r.primary.learner.name {
		return false
	}
	r.send(m.From, Message{Kind: KindMembership, Members: r.group.members})
	return true
}

// LearnMembers adopts the members of a later epoch of the replica's generation, which another host
// knows to be committed. A replica that they don't include is no longer a member.
func (r *Replica) LearnMembers(generation, epoch uint64, members []Member) {
	if r.status == statusRecovering || generation != r.generation || len(members) != len(r.group.members) || !r.group.adoptNewer(epoch, members) {
		return
	}
	r.stepDownIfRemoved()
}
