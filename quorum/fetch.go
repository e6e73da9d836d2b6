package quorum

import "time"

// fetchPurpose is the reason for which a replica fetches entries.
type fetchPurpose uint8

const (
	fetchGap  fetchPurpose = iota // entries of the same view that were lost in transit
	fetchJoin                     // log of the primary of a later view
	fetchVote                     // most up-to-date log among the votes, for the new primary
)

// fetch is a state transfer from another replica. The entries are staged separately, and the
// replica's log stays unchanged until all have arrived, since a view change may need it meanwhile.
type fetch struct {
	purpose        fetchPurpose
	source         string
	lastNormal     uint64 // latest view of the fetched log, for fetchVote
	base           uint64 // op after which the entries are fetched; the log up to it is kept
	target         uint64 // op up to which entries are needed
	commit         uint64 // commit number of the source
	staged         []Entry
	snapshot       *Snapshot // replaces the log, nil if entries suffice
	initialMembers []Member  // members before the first entry of the log
	partial        partialSnapshot
	nonce          uint64
	lastSent       time.Duration // when the primary sent the latest message, for fetchJoin
	requestedAt    time.Duration // when the last request was sent
	repliedAt      time.Duration // when the last reply arrived
}

// partialSnapshot is a snapshot of which only the first chunks have arrived.
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

// joinView moves to the view of a primary and starts or continues to fetch its log.
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

// fillGap fetches the missing entries up to those of a message.
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

// fetchBestLog fetches the log of the most up-to-date vote.
func (r *Replica) fetchBestLog(m Message) {
	f := r.fetch
	if f == nil || f.source != m.From || f.lastNormal != m.Normal || f.target != m.Op {
		f = r.startFetch(fetchVote, m.From, r.commit, m.Op)
		f.lastNormal = m.Normal
	}
	r.continueFetch()
}

func (r *Replica) startFetch(purpose fetchPurpose, source string, base, target uint64) *fetch {
	r.fetch = &fetch{
		purpose:     purpose,
		source:      source,
		base:        base,
		target:      target,
		nonce:       r.random(),
		repliedAt:   r.now,
		requestedAt: -r.cfg.ElectionTimeout,
	}
	return r.fetch
}

// continueFetch installs the fetched state once it is complete, or else requests the rest.
func (r *Replica) continueFetch() {
	if r.fetchComplete() {
		r.finishFetch()
		return
	}
	r.tickFetch()
}

// fetchComplete reports whether everything has arrived. A recovering replica also needs the
// members.
func (r *Replica) fetchComplete() bool {
	f := r.fetch
	return !r.lacksMembers() && f.last() >= f.target && f.partial.data == nil
}

// lacksMembers reports whether a recovering replica has yet to learn the members, which only the
// reply for the start of the log contains.
func (r *Replica) lacksMembers() bool {
	return r.status == statusRecovering && r.fetch.snapshot == nil && r.fetch.initialMembers == nil
}

// tickFetch sends the next request, at most once a heartbeat unless there was progress.
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

// onGetState replies with the next entries, or with the next chunk of the snapshot if the log no
// longer holds the entries.
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

// holdsEntriesAfter reports whether the log holds the entries after op that the requester needs. A
// requester without any entry also needs the members, which only a snapshot contains.
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

// finishFetch installs the fetched log and resumes what it was fetched for.
func (r *Replica) finishFetch() {
	f := r.fetch
	r.fetch = nil
	if f.purpose == fetchGap && f.last() <= r.log.last() {
		return // messages of the primary have brought the entries meanwhile
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

// installFetched replaces the log after f.base by the fetched state.
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
