package quorum

// A generation is one life of the group's memory. It begins when members
// without memory form it and ends when a majority has lost its memory. Every
// message carries it, and replicas of different generations ignore each other.
//
// Why forming one is safe:
//
//   - All members have nothing, and none of them has heard of another host with a
//     generation, as it would where the settings are older than the membership.
//     There is nothing to lose, and nobody holds a lease, because who holds one
//     isn't recovering. A member that joins another generation before the Form
//     message comes ignores that message, because it is no longer recovering. The
//     message names the nonce of the receiver's recovery, so one for an earlier
//     life is ignored as well.
//   - A majority has nothing and WithFormAfter allows it: the members that keep
//     an older generation are a minority. They can commit nothing, and no more
//     than their lease is left to them, which the majority waits for. Members
//     leave a generation only by losing their memory, and come back to it only
//     through a majority of it, so the old generation stays a minority for ever.
//   - Two generations formed at once: a member joins only one, so at most one of
//     them has a majority. The others are tentative and are forgotten again.
//
// A replica leaves its generation (see tryYield) once a majority has answered a
// question of its own from one other generation, by the same argument. What it
// alone remembered is lost; Status.Generation lets the caller see that.

// tryForm starts a new generation when all members have nothing, or when a
// majority has had nothing for long enough. The lowest slot does it.
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

// mayForm tells whether this replica may take part in a new generation: it knows
// of no host that still has one, or has waited long enough.
func (r *Replica) canForm() bool {
	return !r.memoryLost && (len(r.recovery.activeHosts) == 0 || r.formDelayElapsed())
}

// mayFormWith tells whether a member has lately answered that it has nothing.
func (r *Replica) canFormWith(name string) bool {
	a, ok := r.recovery.responses[name]
	return ok && a.Generation == 0 && a.Nonce != 0 && r.now <= a.Sent+r.cfg.ElectionTimeout
}

// waitedToForm tells whether a majority may start without the rest. A lease of
// an earlier generation has then ended.
func (r *Replica) formDelayElapsed() bool {
	wait := max(r.formAfter, r.cfg.Lease+r.cfg.MaxClockDrift)
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

// onForm joins a new generation as backup.
func (r *Replica) onForm(m Message) {
	if r.status != statusRecovering || r.generation != 0 || m.Echo != r.recovery.nonce {
		return
	}
	if r.recovery.nonce == 0 || r.memoryLost || r.learner {
		return
	}
	r.generation = m.Generation
	r.resetToSnapshot(Snapshot{Members: m.Members})
	r.view, r.lastNormal = m.View, m.View
	r.status = statusNormal
	r.recovery = recovery{tentative: true}
	r.recordContact(m.From, 0)
}

// probe asks the others for their generation, at most once a heartbeat.
func (r *Replica) probeGenerations() {
	if r.status == statusRecovering || r.now < r.recovery.requestedAt+r.cfg.Heartbeat {
		return
	}
	if r.now >= r.recovery.roundStartedAt+r.cfg.ElectionTimeout {
		r.recovery.nonce = 0
	}
	r.broadcastRecovery()
}

// tryYield gives up a generation that a majority has left. A replica that holds
// no entry at all loses nothing and need not wait for a successor.
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

// forget gives up the generation and recovers as if the memory had been lost.
func (r *Replica) abandonGeneration() {
	if r.delivered > 0 {
		r.out.Reset = true
	}
	r.out.Install = nil
	r.reset()
	r.persisted.discardAfter(0)
}
