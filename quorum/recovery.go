package quorum

import (
	"maps"
	"slices"
	"time"
)

// recovery is the state of a member that recovers from a loss of its state, or that checks whether a
// majority has left its generation.
type recovery struct {
	startedAt         time.Duration      // when the recovery started
	roundStartedAt    time.Duration      // when the nonce was generated
	requestedAt       time.Duration      // when the Recovery messages were last sent
	nonce             uint64             // of the current round, 0 before the first
	incarnationRaised bool               // whether the replica's incarnation has been incremented
	responses         map[string]Message // of the current round, by sender
	activeHosts       map[string]bool    // other hosts known to have a generation
	reported          group              // latest membership in the responses
	tentative         bool               // whether the generation is not confirmed by a majority yet
}

// tickRecovering sends Recovery messages until a quorum has answered. A learner waits for a message
// from the primary instead.
func (r *Replica) tickRecovering() {
	if r.fetch != nil {
		if r.now >= r.fetch.repliedAt+r.electionTimeout() {
			r.restartRecovery()
		}
		return
	}
	if r.learner {
		return
	}
	if r.recovery.incarnationRaised && r.now >= r.recovery.roundStartedAt+r.electionTimeout() {
		r.restartRecovery()
	}
	if r.recovery.nonce == 0 || r.now >= r.recovery.requestedAt+r.cfg.Heartbeat {
		r.broadcastRecovery()
	}
	r.tryFormGeneration()
}

func (r *Replica) restartRecovery() {
	kept := recovery{startedAt: r.recovery.startedAt, activeHosts: r.recovery.activeHosts, reported: r.recovery.reported}
	r.clear()
	r.recovery = kept
}

// broadcastRecovery sends a Recovery message to all other members, and to members that are known from
// responses or messages but are missing in older settings.
func (r *Replica) broadcastRecovery() {
	if r.recovery.nonce == 0 {
		r.recovery.nonce = r.random() | 1
		r.recovery.roundStartedAt = r.now
		r.recovery.responses = map[string]Message{}
	}
	r.recovery.requestedAt = r.now
	names := r.group.others(r.name)
	names = append(names, r.recovery.reported.others(r.name)...)
	names = slices.AppendSeq(names, maps.Keys(r.recovery.activeHosts))
	slices.Sort(names)
	for _, name := range slices.Compact(names) {
		r.send(name, Message{
			Kind:         KindRecovery,
			Nonce:        r.recovery.nonce,
			Incarnations: r.incarnations,
		})
	}
}

// addActiveHost records a host that has a generation, so that it receives the Recovery message too:
// the settings of this replica may be older than the membership.
func (r *Replica) addActiveHost(name string) {
	if r.recovery.activeHosts == nil {
		r.recovery.activeHosts = map[string]bool{}
	}
	if name != r.name {
		r.recovery.activeHosts[name] = true
	}
}

// onRecovery replies if this replica has normal status or is without state too. The reply includes a
// pending replacement, because that changes which members form a quorum.
func (r *Replica) onRecovery(m Message) {
	reply := Message{Kind: KindRecoveryResponse, Echo: m.Nonce}
	switch {
	case r.status == statusRecovering && r.generation == 0 && !r.learner:
		if r.canForm() {
			reply.Nonce = r.recovery.nonce
		}
	case r.status == statusNormal && !r.nonVoting:
		if m.Generation == r.generation {
			r.mergeIncarnations(m.Incarnations)
		}
		reply.View, reply.Op, reply.Commit = r.view, r.log.last(), r.commit
		reply.Incarnations = r.incarnations
		reply.Members = r.group.members
		reply.Primary = r.isPrimary()
		if p := r.group.pending; p != nil {
			reply.Entries = []Entry{*p}
		}
	default:
		return
	}
	r.send(m.From, reply)
}

func (r *Replica) onRecoveryResponse(m Message) {
	if m.Echo != r.recovery.nonce || r.recovery.nonce == 0 {
		return
	}
	m.Sent = r.now // time of arrival, on this replica's clock
	r.recovery.responses[m.From] = m
	if r.status != statusRecovering {
		r.tryAbandonGeneration(m)
		return
	}
	if r.recovery.reported.adoptNewer(m.Epoch, m.Members) {
		for _, member := range m.Members {
			r.addActiveHost(member.Name)
		}
		r.broadcastRecovery()
	}
	if m.Generation != 0 {
		r.addActiveHost(m.From)
	} else {
		delete(r.recovery.activeHosts, m.From)
	}
	if len(m.Entries) > 0 && r.recovery.reported.pending == nil && m.Epoch >= r.recovery.reported.epoch {
		r.recovery.reported.pending = &m.Entries[0]
		r.broadcastRecovery()
	}
	if p := r.recovery.reported.pending; p != nil && p.Replace == r.name {
		r.learner = true // the replacement can't commit without this host, its new member
		r.restartRecovery()
		return
	}
	if m.Generation != 0 && r.fetch == nil {
		r.tryRecover(m)
	}
}

// tryRecover continues once a majority of one generation has answered. The first round returns the
// member's incarnation. The second makes a majority record the incremented incarnation, which
// invalidates the member's earlier votes, and returns the view. The replica then fetches the log
// from the primary of that view.
func (r *Replica) tryRecover(m Message) {
	g := r.reportedGroup(m.Generation)
	if !r.answeredByQuorum(g, m.Generation) {
		return
	}
	if !r.recovery.incarnationRaised {
		r.raiseIncarnation(m.Generation, g)
		return
	}
	if m.Generation != r.generation {
		return
	}
	latest := Message{}
	for _, a := range r.recovery.responses {
		if a.Generation != r.generation {
			continue
		}
		r.mergeIncarnations(a.Incarnations)
		if a.View > latest.View || (a.View == latest.View && a.Primary) {
			latest = a
		}
	}
	if !latest.Primary {
		return
	}
	r.view = latest.View
	r.startFetch(fetchJoin, latest.From, 0, latest.Op).commit = latest.Commit
	r.continueFetch()
}

// reportedGroup returns the latest membership in the responses of a generation.
func (r *Replica) reportedGroup(generation uint64) group {
	var g group
	for _, a := range r.recovery.responses {
		if a.Generation == generation && (g.members == nil || a.Epoch > g.epoch) {
			g = group{epoch: a.Epoch, members: a.Members}
		}
	}
	return g
}

// answeredByQuorum reports whether a majority has answered, also of the members after each pending
// replacement in the responses. This replica counts only if it has never acknowledged an entry, which it
// knows from its disk (WithFirstStart); one that has lost its disk doesn't count. The hosts that answered
// then intersect every quorum that has decided something.
func (r *Replica) answeredByQuorum(g group, generation uint64) bool {
	answered := func(name string) bool {
		a, ok := r.recovery.responses[name]
		return (ok && name != r.name && a.Generation == generation) || (name == r.name && r.firstStart)
	}
	if g.memberSlot(r.name) < 0 || !g.hasQuorum(answered) {
		return false
	}
	for _, a := range r.recovery.responses {
		if a.Generation != generation || a.Epoch != g.epoch || len(a.Entries) == 0 {
			continue
		}
		withPending := group{members: g.members, pending: &a.Entries[0]}
		if !withPending.hasQuorum(answered) {
			return false
		}
	}
	return true
}

// raiseIncarnation increments the replica's incarnation and starts the second round of the recovery.
func (r *Replica) raiseIncarnation(generation uint64, g group) {
	for _, a := range r.recovery.responses {
		if a.Generation == generation {
			r.mergeIncarnations(a.Incarnations)
		}
	}
	r.generation = generation
	r.incarnations[g.memberSlot(r.name)]++
	r.recovery = recovery{startedAt: r.recovery.startedAt, activeHosts: r.recovery.activeHosts, reported: r.recovery.reported, incarnationRaised: true}
	r.broadcastRecovery()
}
