package quorum

import "time"

// backup is the state of a backup with regard to the primary of its view.
type backup struct {
	primary    string        // host that last sent a message as primary of the view
	lastHeard  time.Duration // when the last message from the primary arrived
	promiseEnd time.Duration // no other view may be joined before this time
	ackDue     bool          // whether an acknowledgement has to be sent
	lastSent   time.Duration // when the primary sent the latest message to acknowledge
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

// canFollow reports whether the replica may process messages of the primary. A recovering replica
// may once it fetches a log or is a learner.
func (r *Replica) canFollow() bool {
	return r.status != statusRecovering || r.fetch != nil || r.learner
}

// followPrimary appends the entries in a message of the primary of the replica's view.
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

// hasGap reports whether entries up to those of a message, or up to a heartbeat's op, are missing.
// Entries after those of a message are not missing yet: the next message carries them.
func (r *Replica) hasGap(m Message) bool {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Op > r.log.last()
	}
	return m.Op > r.log.last()
}

// recordContact records a message from the primary, sent at the given time on the primary's clock,
// and extends the promise to it.
func (r *Replica) recordContact(from string, sent time.Duration) {
	b := &r.backup
	b.primary = from
	b.lastHeard = r.now
	b.lastSent = max(b.lastSent, sent)
	b.ackDue = true
	r.election.requestedView = 0
	r.extendPromise()
}

// extendPromise keeps this replica from joining other views until the lease that its
// acknowledgement may extend has expired on every clock.
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
