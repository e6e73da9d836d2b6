package quorum

// A generation identifies one history of the group's replicated state. Members without state form
// it, and it ends when a majority has lost its state. Every message carries the generation, and
// replicas of different generations ignore each other.
//
// Forming a generation is safe:
//
//   - If all members are without state, and none of them knows of another host with a generation
//     (there may be one if the settings are older than the membership), there is no state to lose.
//     No member holds a lease, because a lease holder isn't recovering. A member that joins another
//     generation before the Form message arrives is no longer recovering and ignores the message.
//     The message carries the nonce of the receiver's recovery, so the receiver also ignores a
//     message for one of its earlier incarnations.
//   - If a majority is without state and WithFormAfter allows it, the members that still have an
//     older generation are a minority. They can't commit anything, and the majority waits until
//     any lease among them has expired. Members leave a generation only by losing their state and
//     return to it only through a majority of it, so the old generation remains a minority.
//   - If two generations are formed concurrently, a member joins only one of them, so at most one
//     has a majority. The others are tentative, and their members abandon them.
//
// By the same argument, a replica leaves its generation (see tryAbandonGeneration) once a majority
// has answered its Recovery message from one other generation. State that only this replica held is
// lost; Status.Generation shows that to the caller.

// tryFormGeneration forms a new generation if all members are without state, or if a majority has
// been so for long enough. Only the one of them in the lowest slot forms it.
func (r *Replica) tryFormGeneration() {
	if r.generation != 0 || !r.canForm() {
		return
	}
	n := 1
	for i, m := range r.group.members {
		if m.Name == r.name || !r.canFormWith(m.Name) {
			continue
		}
		if i < r.group.memberSlot(r.name) {
			return
		}
		n++
	}
	if n == len(r.group.members) || (n >= r.group.majority() && r.formDelayElapsed()) {
		r.formGeneration()
	}
}

// canForm reports whether this replica may take part in forming a generation: it isn't known to have
// lost its state, and knows of no host that has a generation or has waited long enough.
func (r *Replica) canForm() bool {
	return !r.stateLost && (len(r.recovery.activeHosts) == 0 || r.formDelayElapsed())
}

// canFormWith reports whether a member has answered within the election timeout that it is without
// state and may form a generation.
func (r *Replica) canFormWith(name string) bool {
	a, ok := r.recovery.responses[name]
	return ok && a.Generation == 0 && a.Nonce != 0 && r.now <= a.Sent+r.cfg.ElectionTimeout
}

// formDelayElapsed reports whether a majority may form a generation without the other members. Any
// lease of an earlier generation has expired by then.
func (r *Replica) formDelayElapsed() bool {
	wait := max(r.formAfter, r.cfg.Lease+r.cfg.MaxClockDrift)
	if r.cfg.Durable && !r.firstStart {
		return false // the state that this replica has held may be on the disk of another one
	}
	return r.formAfter > 0 && r.now >= r.recovery.startedAt+wait
}

func (r *Replica) formGeneration() {
	r.generation = r.random() | 1
	r.view = uint64(r.group.memberSlot(r.name))
	for _, name := range r.group.others(r.name) {
		if r.canFormWith(name) {
			r.send(name, Message{
				Kind:    KindForm,
				View:    r.view,
				Echo:    r.recovery.responses[name].Nonce,
				Members: r.snapshot.Members,
			})
		}
	}
	r.recovery = recovery{tentative: true}
	r.becomePrimary()
}

// onForm joins a new generation as a backup.
func (r *Replica) onForm(m Message) {
	if r.status != statusRecovering || r.generation != 0 || m.Echo != r.recovery.nonce {
		return
	}
	if r.recovery.nonce == 0 || r.stateLost || r.learner {
		return
	}
	r.generation = m.Generation
	r.resetToSnapshot(Snapshot{Members: m.Members})
	r.view, r.lastNormal = m.View, m.View
	r.status = statusNormal
	r.recovery = recovery{tentative: true}
	r.recordContact(m.From, 0)
}

// probeGenerations asks the other members for their generation, at most once a heartbeat.
func (r *Replica) probeGenerations() {
	if r.status == statusRecovering || r.now < r.recovery.requestedAt+r.cfg.Heartbeat {
		return
	}
	if r.now >= r.recovery.roundStartedAt+r.cfg.ElectionTimeout {
		r.recovery.nonce = 0
	}
	r.broadcastRecovery()
}

// tryAbandonGeneration abandons a generation that a majority has left for another one. A replica
// without log entries loses nothing, so it abandons the generation as soon as a majority is not in
// it, even if there is no successor yet.
func (r *Replica) tryAbandonGeneration(m Message) {
	if m.Generation == r.generation || r.holdsLeaseAt(r.now) {
		return
	}
	same, foreign := 0, 0
	for _, a := range r.recovery.responses {
		if r.group.memberSlot(a.From) < 0 || a.Generation == r.generation {
			continue
		}
		foreign++
		if a.Generation == m.Generation {
			same++
		}
	}
	abandoned := m.Generation != 0 && same >= r.group.majority()
	empty := r.log.last() == 0 && foreign >= r.group.majority()
	if abandoned || empty {
		r.abandonGeneration()
	}
}

// abandonGeneration discards the replica's state and recovers as if the state had been lost.
func (r *Replica) abandonGeneration() {
	if r.delivered > 0 {
		r.out.Reset = true
	}
	r.out.Install = nil
	r.clear()
	r.persisted.discardAfter(0)
}
