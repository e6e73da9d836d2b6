package quorum

import "time"

// election is what a replica keeps while it wishes for or works on a new view.
type election struct {
	requestedView uint64 // view wished for, 0 when content
	requests      map[string]viewRequest
	requestedAt   time.Duration      // when the wish was last sent
	startedAt     time.Duration      // when the view change began
	jitter        time.Duration      // added to the election timeout
	votes         map[string]Message // DoViewChange messages, at the primary of the new view
}

// wish is a StartViewChange message of another member.
type viewRequest struct {
	view       uint64
	receivedAt time.Duration
}

// patience returns how long to wait for the primary, or for a view change.
func (r *Replica) electionTimeout() time.Duration {
	if r.election.jitter == 0 {
		r.election.jitter = 1 + time.Duration(r.random()%uint64(r.cfg.ElectionTimeout))/2
	}
	return r.cfg.ElectionTimeout + r.election.jitter
}

// willing tells whether the replica may take part in a view change: it is bound
// by no promise to a primary and is not one that still has the lease.
func (r *Replica) mayChangeView() bool {
	if r.status == statusRecovering || r.nonVoting || !r.group.includes(r.name) || r.holdsLeaseAt(r.now) {
		return false
	}
	return r.now >= r.backup.promiseEnd || r.faults.noPromise
}

// seekView asks the others for a new view. The replica stays in its own view
// until a quorum wishes the same, so that one that hears nobody changes nothing.
func (r *Replica) requestViewChange() {
	if !r.mayChangeView() || r.now < r.election.requestedAt+r.cfg.Heartbeat {
		return
	}
	if r.recovery.tentative {
		r.abandonGeneration()
		return
	}
	if r.log.last() == 0 {
		r.probeGenerations()
	}
	r.election.requestedView = max(r.election.requestedView, r.view+1)
	r.sendViewRequest(r.election.requestedView)
	r.countViewRequests()
}

func (r *Replica) sendViewRequest(view uint64) {
	r.election.requestedAt = r.now
	r.broadcast(Message{
		Kind:    KindStartViewChange,
		View:    view,
		Normal:  r.view,
		Members: r.group.members,
	})
}

// onStartViewChange notes a wish and joins it when no promise forbids that.
func (r *Replica) onStartViewChange(m Message) {
	if r.status != statusRecovering && r.group.adoptNewer(m.Epoch, m.Members) {
		r.stepDownIfRemoved()
	}
	if m.View <= r.view || !r.group.includes(m.From) {
		return
	}
	if r.election.requests == nil {
		r.election.requests = map[string]viewRequest{}
	}
	r.election.requests[m.From] = viewRequest{view: m.View, receivedAt: r.now}
	if r.holdsLeaseAt(r.now) && m.Normal > r.view && m.Kind == KindStartViewChange {
		r.stepDown(m.View) // the sender can never come back to this view
	}
	if !r.mayChangeView() {
		return
	}
	if m.View > r.election.requestedView {
		r.election.requestedView = m.View
		r.sendViewRequest(m.View)
	}
	r.countViewRequests()
}

// countWishes begins the view change once a quorum wishes for it.
func (r *Replica) countViewRequests() {
	e := &r.election
	requested := func(name string) bool {
		req, ok := e.requests[name]
		recent := ok && r.now <= req.receivedAt+r.cfg.ElectionTimeout
		return name == r.name || (recent && req.view >= e.requestedView)
	}
	if e.requestedView > r.view && r.mayChangeView() && r.group.hasQuorum(requested) {
		r.startViewChange(e.requestedView)
	}
}

// changeView leaves the own view for good and votes for the new one.
func (r *Replica) startViewChange(view uint64) {
	alreadySent := r.election.requestedView == view && r.election.requestedAt == r.now
	r.enterView(view)
	if !alreadySent {
		r.sendViewRequest(view)
	}
	r.sendVote()
}

// enter moves to a view in which the replica doesn't take part yet.
func (r *Replica) enterView(view uint64) {
	r.view = view
	if r.status != statusRecovering {
		r.status = statusViewChange
	}
	r.fetch = nil
	r.primary = primary{}
	r.backup.ackDue, r.backup.lastSent = false, 0
	r.election = election{startedAt: r.now, requests: r.election.requests}
}

// vote sends the state of the log to the primary of the new view.
func (r *Replica) sendVote() {
	m := Message{
		Kind:         KindDoViewChange,
		From:         r.name,
		View:         r.view,
		Normal:       r.lastNormal,
		Op:           r.log.last(),
		Commit:       r.commit,
		Incarnations: r.incarnations,
		Members:      r.group.members,
	}
	if to := r.group.primary(r.view); to != r.name {
		r.send(to, m)
		return
	}
	r.collectVote(m)
}

func (r *Replica) tickViewChange() {
	if r.now >= r.election.startedAt+r.electionTimeout() {
		r.requestViewChange()
		return
	}
	if r.fetch == nil && r.now >= r.election.requestedAt+r.cfg.Heartbeat {
		r.sendViewRequest(r.view)
		r.sendVote()
	}
}

// onDoViewChange collects the votes for the view that this replica is to lead.
// A vote is a wish too, in case the wishes were lost.
func (r *Replica) onDoViewChange(m Message) {
	r.onStartViewChange(m)
	if m.View == r.view && r.status == statusViewChange && r.group.primary(r.view) == r.name {
		r.collectVote(m)
	}
}

func (r *Replica) collectVote(m Message) {
	if r.election.votes == nil {
		r.election.votes = map[string]Message{}
	}
	r.election.votes[m.From] = m
	r.mergeIncarnations(m.Incarnations)
	r.tryBecomePrimary()
}

// tryLead begins the view once a quorum has voted and the replica holds the
// best log among the votes: the one of the latest view, and the longest of it.
func (r *Replica) tryBecomePrimary() {
	votes := r.election.votes
	voted := func(name string) bool {
		m, ok := votes[name]
		return ok && !r.isStaleVote(m)
	}
	if !voted(r.name) || !r.group.hasQuorum(voted) {
		return
	}
	best := votes[r.name]
	for _, name := range r.group.others(r.name) {
		if voted(name) && moreUpToDate(votes[name], best) {
			best = votes[name]
		}
	}
	if best.From != r.name {
		r.fetchBestLog(best)
		return
	}
	for _, m := range votes {
		r.advanceCommit(m.Commit)
	}
	r.becomePrimary()
}

func moreUpToDate(a, b Message) bool {
	if a.Normal != b.Normal {
		return a.Normal > b.Normal
	}
	return a.Op > b.Op
}

// isVoid tells whether a vote is of an incarnation that has lost its memory.
func (r *Replica) isStaleVote(m Message) bool {
	slot := r.group.slotWithPending(m.From)
	if slot < 0 || slot >= len(m.Incarnations) || r.faults.noIncarnations {
		return false
	}
	return m.Incarnations[slot] < r.incarnations[slot]
}

func (r *Replica) mergeIncarnations(known []uint64) {
	merged := make([]uint64, len(r.incarnations))
	for i, n := range r.incarnations {
		merged[i] = n
		if i < len(known) {
			merged[i] = max(n, known[i])
		}
	}
	r.incarnations = merged
}
