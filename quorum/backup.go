package quorum

import "time"

// backup is what a backup keeps about the primary of its view.
type backup struct {
	primary string        // host that was last heard as primary of the view
	heard   time.Duration // when the primary was last heard
	promise time.Duration // until when no other view is joined
	ack     bool          // whether an acknowledgement is owed
	sent    time.Duration // when the latest message to acknowledge was sent
}

func (r *Replica) tickBackup() {
	if r.now >= r.backup.heard+r.patience() {
		r.seekView()
	}
}

func (r *Replica) onPrepare(m Message) {
	if m.View < r.view || !r.mayFollow() {
		return
	}
	if m.View > r.view || r.status != statusNormal {
		r.join(m)
		return
	}
	if !r.isPrimary() {
		r.follow(m)
	}
}

// mayFollow tells whether a recovering replica knows enough to follow the
// primary.
func (r *Replica) mayFollow() bool {
	return r.status != statusRecovering || r.fetch != nil || r.learner
}

// follow takes the entries of the primary of the own view.
func (r *Replica) follow(m Message) {
	r.hear(m.From, m.Sent)
	if !m.Tentative {
		r.recovery.tentative = false
	}
	for _, e := range m.Entries {
		if e.Op == r.log.last()+1 {
			r.add(e)
		}
	}
	r.learnCommit(m.Commit)
	if r.misses(m) {
		r.fillGap(m)
	}
}

// misses tells whether entries before those of a message, or of a heartbeat,
// were lost. Entries after them come by themselves in the next message.
func (r *Replica) misses(m Message) bool {
	if n := len(m.Entries); n > 0 {
		return m.Entries[n-1].Op > r.log.last()
	}
	return m.Op > r.log.last()
}

// hear notes a sign of life of the primary and renews the promise to it.
func (r *Replica) hear(from string, sent time.Duration) {
	b := &r.backup
	b.primary = from
	b.heard = r.now
	b.sent = max(b.sent, sent)
	b.ack = true
	r.election.want = 0
	r.promise()
}

// promise keeps this replica out of other views until the lease that its
// acknowledgement may prolong has ended on every clock.
func (r *Replica) promise() {
	r.backup.promise = r.now + r.cfg.Lease + r.cfg.MaxClockDrift
}

func (r *Replica) sendAck() {
	if !r.backup.ack || r.status != statusNormal || r.isPrimary() {
		return
	}
	r.backup.ack = false
	m := Message{
		Kind: KindPrepareOK,
		View: r.view,
		Op:   r.log.last(),
		Sent: r.backup.sent,

		Tentative: r.recovery.tentative,
	}
	if r.probation {
		m.Op, m.Sent = r.provenOp(), 0
	}
	r.send(r.backup.primary, m)
}
