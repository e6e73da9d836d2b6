package quorum

import "time"

// backup is what a backup keeps about the primary of its view.
type backup struct {
	primary    string        // host that was last heard as primary of the view
	lastHeard  time.Duration // when the primary was last heard
	promiseEnd time.Duration // until when no other view is joined
	ackDue     bool          // whether an acknowledgement is owed
	lastSent   time.Duration // when the latest message to acknowledge was sent
}

func (r *Replica) tickBackup() {
	if r.now >= r.backup.lastHeard+r.electionTimeout() {
		r.requestViewChange()
	}
}

func (r *Replica) onPrepare(m Message) {
	if m.View < r.view || !r.canFollow() {
		return
	}
	if m.View > r.view || r.status != statusNormal {
		r.joinView(m)
		return
	}
	if !r.isPrimary() {
		r.followPrimary(m)
	}
}

// mayFollow tells whether a recovering replica knows enough to follow the
// primary.
func (r *Replica) canFollow() bool {
	return r.status != statusRecovering || r.fetch != nil || r.learner
}

// follow takes the entries of the primary of the own view.
func (r *Replica) followPrimary(m Message) {
	r.recordContact(m.From, m.Sent)
	if !m.Tentative {
		r.recovery.tentative = false
	}
	for _, e := range m.Entries {
		if e.Op == r.log.last()+1 {
			r.appendEntry(e)
		}
	}
	r.advanceCommit(m.Commit)
	if r.hasGap(m) {
		r.fillGap(m)
	}
}

// misses tells whether entries before those of a message, or of a heartbeat,
// were lost. Entries after them come by themselves in the next message.
func (r *Replica) hasGap(m Message) bool {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Op > r.log.last()
	}
	return m.Op > r.log.last()
}

// hear notes a sign of life of the primary and renews the promise to it.
func (r *Replica) recordContact(from string, sent time.Duration) {
	b := &r.backup
	b.primary = from
	b.lastHeard = r.now
	b.lastSent = max(b.lastSent, sent)
	b.ackDue = true
	r.election.requestedView = 0
	r.extendPromise()
}

// promise keeps this replica out of other views until the lease that its
// acknowledgement may prolong has ended on every clock.
func (r *Replica) extendPromise() {
	r.backup.promiseEnd = r.now + r.cfg.Lease + r.cfg.MaxClockDrift
}

func (r *Replica) sendAck() {
	if !r.backup.ackDue || r.status != statusNormal || r.isPrimary() {
		return
	}
	r.backup.ackDue = false
	m := Message{
		Kind: KindPrepareOK,
		View: r.view,
		Op:   r.log.last(),
		Sent: r.backup.lastSent,

		Tentative: r.recovery.tentative,
	}
	if r.nonVoting {
		m.Op, m.Sent = r.ackLimit(), 0
	}
	r.send(r.backup.primary, m)
}
