package quorum

import "time"

// election is the state of a replica that requests a new view or takes part in a view change.
type election struct {
	requestedView uint64                 // view that the replica requests, 0 for none
	requests      map[string]viewRequest // by sender
	requestedAt   time.Duration          // when the request was last sent
	startedAt     time.Duration          // when the view change started
	jitter        time.Duration          // added to the election timeout
	votes         map[string]Message     // DoViewChange messages by sender, at the primary of the new view
}

// viewRequest is the latest request for a new view from another member.
type viewRequest struct {
	view       uint64
	receivedAt time.Duration
}

// electionTimeout returns the time to wait for the primary, or for a view change, with random jitter.
func (r *Replica) electionTimeout() time.Duration {
	if r.election.jitter == 0 {
		r.election.jitter = 1 + time.Duration(r.random()%uint64(r.cfg.ElectionTimeout))/2
	}
	return r.cfg.ElectionTimeout + r.election.jitter
}

// mayChangeView reports whether the replica may take part in a view change: it is a voting member,
// has no unexpired promise to a primary and holds no lease itself.
func (r *Replica) mayChangeView() bool {
	if r.status == statusRecovering || r.nonVoting || !r.group.includes(r.name) || r.holdsLeaseAt(r.now) {
		return false
	}
	return r.now >= r.backup.promiseEnd || r.faults.noPromise
}

// requestViewChange requests a new view from the other members. The replica stays in its view until
// a quorum requests the same, so a replica that receives no messages doesn't disrupt the group.
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

// onStartViewChange records a request for a new view and supports it unless a promise or the
// replica's own lease forbids that.
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
		r.stepDown(m.View) // the sender has left this view for good
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

// countViewRequests starts the view change once a quorum has requested it within the election
// timeout.
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

// startViewChange leaves the current view for good and votes for the new one.
func (r *Replica) startViewChange(view uint64) {
	alreadySent := r.election.requestedView == view && r.election.requestedAt == r.now
	r.enterView(view)
	if !alreadySent {
		r.sendViewRequest(view)
	}
	r.sendVote()
}

// enterView moves to a later view in which the replica doesn't take part yet.
func (r *Replica) enterView(view uint64) {
	r.view = view
	if r.status != statusRecovering {
		r.status = statusViewChange
	}
	r.dropFetch()
	r.primary = primary{}
	r.backup.ackDue, r.backup.lastSent = false, 0
	r.election = election{startedAt: r.now, requests: r.election.requests}
}

// sendVote sends the state of the log to the primary of the new view.
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

// onDoViewChange collects votes for a view whose primary is this replica. A vote also counts as a
// request for the view, in case the requests were lost.
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

// tryBecomePrimary starts the view once a quorum has voted and the replica holds the most up-to-date
// log among the votes: the longest log of the latest view.
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

// moreUpToDate reports whether the log of vote a is of a later view than that of b, or longer in the
// same view.
func moreUpToDate(a, b Message) bool {
	if a.Normal != b.Normal {
		return a.Normal > b.Normal
	}
	return a.Op > b.Op
}

// isStaleVote reports whether a vote is from an earlier incarnation of a member, one that has since
// lost its state.
func (r *Replica) isStaleVote(m Message) bool {
	slot := r.group.slotWithPending(m.From)
	if slot < 0 || slot >= len(m.Incarnations) || r.faults.noIncarnations {
		return false
	}
	return m.Incarnations[slot] < r.incarnations[slot]
}

// mergeIncarnations takes the maximum of both counts for each slot.
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
