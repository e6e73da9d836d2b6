package quorum

import "time"

// fetchPurpose tells what a replica fetches entries for.
type fetchPurpose uint8

const (
	fetchGap  fetchPurpose = iota // entries that were lost on the way, same view
	fetchJoin                     // log of the primary of a later view
	fetchVote                     // best log among the votes, for the new primary
)

// fetch collects entries of another replica beside the own log, which stays as
// it is until all have come: it may be needed for a view change meanwhile.
type fetch struct {
	purpose        fetchPurpose
	source         string
	lastNormal     uint64 // view of the log, for fetchVote
	base           uint64 // op that the own log keeps
	target         uint64 // op that has to be reached
	commit         uint64 // known to the source
	staged         []Entry
	snapshot       *Snapshot // replaces the own log
	initialMembers []Member  // members before the first entry
	partial        partialSnapshot
	nonce          uint64
	lastSent       time.Duration // when the primary sent the latest message, for fetchJoin
	requestedAt    time.Duration
	repliedAt      time.Duration
}

// partial is a snapshot of which only the first part has come.
type partialSnapshot struct {
	op   uint64
	data []byte
}

func (f *fetch) last() uint64 {
	return f.base + uint64(len(f.staged))
}

func (f *fetch) add(entries []Entry) {
	for _, e := range entries {
		if e.Op == f.last()+1 {
			f.staged = append(f.staged, e)
		}
	}
}

func (f *fetch) addChunk(m Message) {
	if f.partial.op != m.Base {
		f.partial = partialSnapshot{op: m.Base}
	}
	if m.Offset != len(f.partial.data) {
		return
	}
	f.partial.data = append(f.partial.data, m.Snapshot...)
	if len(f.partial.data) < m.Size {
		return
	}
	f.snapshot = &Snapshot{Op: m.Base, Epoch: m.Epoch, Members: m.Members, Data: f.partial.data}
	f.base, f.staged, f.partial = m.Base, nil, partialSnapshot{}
}

// join moves to the view of a primary and takes over its log.
func (r *Replica) joinView(m Message) {
	if r.generation == 0 {
		r.generation = m.Generation
	}
	if m.View > r.view {
		r.enterView(m.View)
	}
	f := r.fetch
	if f == nil || f.purpose != fetchJoin || f.source != m.From {
		f = r.startFetch(fetchJoin, m.From, r.commit, m.Op)
	}
	r.election.startedAt = r.now
	f.lastSent = max(f.lastSent, m.Sent)
	f.commit = max(f.commit, m.Commit)
	f.add(m.Entries)
	r.continueFetch()
}

// fillGap fetches the entries between the own log and a message.
func (r *Replica) fillGap(m Message) {
	f := r.fetch
	if f == nil || f.base != r.log.last() {
		f = r.startFetch(fetchGap, m.From, r.log.last(), m.Op)
	}
	f.target = max(f.target, m.Op)
	f.commit = max(f.commit, m.Commit)
	f.add(m.Entries)
	r.continueFetch()
}

// fetchVoted fetches the best log that was voted with.
func (r *Replica) fetchBestLog(m Message) {
	f := r.fetch
	if f == nil || f.source != m.From || f.lastNormal != m.Normal || f.target != m.Op {
		f = r.startFetch(fetchVote, m.From, r.commit, m.Op)
		f.lastNormal = m.Normal
	}
	r.continueFetch()
}

func (r *Replica) startFetch(purpose fetchPurpose, source string, from, target uint64) *fetch {
	r.fetch = &fetch{
		purpose:     purpose,
		source:      source,
		base:        from,
		target:      target,
		nonce:       r.random(),
		repliedAt:   r.now,
		requestedAt: -r.cfg.ElectionTimeout,
	}
	return r.fetch
}

// continueFetch takes over what was fetched once it is complete, or asks for
// the rest.
func (r *Replica) continueFetch() {
	if r.fetchComplete() {
		r.finishFetch()
		return
	}
	r.tickFetch()
}

// fetchComplete tells whether all has come. A replica without memory has to
// learn the members too.
func (r *Replica) fetchComplete() bool {
	f := r.fetch
	return !r.lacksMembers() && f.last() >= f.target && f.partial.data == nil
}

// lacksMembers tells whether a replica without memory has yet to learn the
// members, which only the answer for the begin of the log tells.
func (r *Replica) lacksMembers() bool {
	return r.status == statusRecovering && r.fetch.snapshot == nil && r.fetch.initialMembers == nil
}

// tickFetch repeats a request that wasn't answered.
func (r *Replica) tickFetch() {
	f := r.fetch
	if f == nil || r.now < f.requestedAt+r.cfg.Heartbeat {
		return
	}
	f.requestedAt = r.now
	op := f.last()
	if r.lacksMembers() {
		op = 0
	}
	r.send(f.source, Message{
		Kind:   KindGetState,
		View:   r.view,
		Op:     op,
		Base:   f.partial.op,
		Offset: len(f.partial.data),
		Nonce:  f.nonce,
	})
}

// onGetState answers with the next entries, or with the next part of the
// snapshot when the entries aren't held any more.
func (r *Replica) onGetState(m Message) {
	joining := r.fetch != nil && r.fetch.purpose == fetchJoin
	if m.View != r.view || r.status == statusRecovering || joining {
		return
	}
	reply := Message{
		Kind:         KindNewState,
		View:         r.view,
		Op:           m.Op,
		Commit:       r.commit,
		Echo:         m.Nonce,
		Incarnations: r.incarnations,
	}
	if r.holdsEntriesAfter(m.Op) {
		reply.Entries = r.log.after(m.Op, r.cfg.MaxBatch)
		if m.Op == 0 {
			reply.Members = r.snapshot.Members
		}
		r.send(m.From, reply)
		return
	}
	r.sendSnapshotChunk(reply, m)
}

// holdsAfter tells whether the entries after op are held. One that has nothing
// needs the members as well, which only a snapshot tells.
func (r *Replica) holdsEntriesAfter(op uint64) bool {
	return op >= r.snapshot.Op || (op > 0 && op >= r.log.base)
}

func (r *Replica) sendSnapshotChunk(reply, m Message) {
	offset := 0
	if m.Base == r.snapshot.Op {
		offset = max(0, min(m.Offset, len(r.snapshot.Data)))
	}
	end := min(len(r.snapshot.Data), offset+snapshotChunkBytes)
	reply.Base = r.snapshot.Op
	reply.Members = r.snapshot.Members
	reply.Offset = offset
	reply.Size = len(r.snapshot.Data)
	reply.Snapshot = r.snapshot.Data[offset:end:end]
	r.send(m.From, reply)
	last := &r.out.Messages[len(r.out.Messages)-1]
	last.Epoch = r.snapshot.Epoch
}

func (r *Replica) onNewState(m Message) {
	f := r.fetch
	if f == nil || m.View != r.view || m.Echo != f.nonce || m.From != f.source {
		return
	}
	before, partialLen := f.last(), len(f.partial.data)
	f.repliedAt = r.now
	f.commit = max(f.commit, m.Commit)
	r.mergeIncarnations(m.Incarnations)
	if m.Base > 0 {
		f.addChunk(m)
	} else {
		f.add(m.Entries)
		if m.Op == 0 && len(m.Members) > 0 {
			f.initialMembers = m.Members
		}
	}
	if f.last() > before || len(f.partial.data) != partialLen {
		f.requestedAt = -r.cfg.ElectionTimeout
		r.election.startedAt = r.now
	}
	r.continueFetch()
}

// finishFetch takes over the fetched log and goes on with its purpose.
func (r *Replica) finishFetch() {
	f := r.fetch
	r.fetch = nil
	if f.purpose == fetchGap && f.last() <= r.log.last() {
		return // the entries have come by themselves
	}
	r.installFetched(f)
	switch f.purpose {
	case fetchGap:
		r.backup.ackDue = true
	case fetchJoin:
		if r.status == statusRecovering {
			r.nonVoting = r.learner && r.group.includes(r.name)
		}
		r.status, r.lastNormal = statusNormal, r.view
		r.election = election{}
		r.recovery = recovery{}
		r.recordContact(f.source, f.lastSent)
	case fetchVote:
		r.lastNormal = f.lastNormal
		r.sendVote()
	}
}

// install puts what was fetched in the place of the own log after f.from.
func (r *Replica) installFetched(f *fetch) {
	switch {
	case f.snapshot != nil:
		r.resetToSnapshot(*f.snapshot)
		r.out.Install = f.snapshot.Data
	case f.initialMembers != nil && r.log.last() == 0:
		r.resetToSnapshot(Snapshot{Members: f.initialMembers})
	default:
		r.log.truncateAfter(f.base)
	}
	if p := r.group.pending; p != nil && p.Op > f.base {
		r.group.pending = nil
	}
	r.persisted.discardAfter(f.base)
	for _, e := range f.staged {
		r.appendEntry(e)
	}
	r.advanceCommit(f.commit)
}
