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
// replica's log stays unchanged until all have arrived, since a view change may need it meanwhile. Only those
// that continue the log in the same view are appended as they arrive.
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
	part           Entry // next entry, of which only the first bytes of the command have arrived
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

// addPart adds the next bytes of the command of the next entry.
func (f *fetch) addPart(m Message) {
	e := m.Entries[0]
	if e.Op != f.last()+1 {
		return
	}
	if f.part.Op != e.Op || f.part.View != e.View {
		f.part = e
		f.part.Command = nil
	}
	if m.Offset != len(f.part.Command) {
		return
	}
	f.part.Command = append(f.part.Command, e.Command...)
	if len(f.part.Command) < m.Size {
		return
	}
	f.staged = append(f.staged, f.part)
	f.part = Entry{}
}

// received returns a measure of what has arrived, which increases with each chunk.
func (f *fetch) received() (op uint64, bytes int) {
	return f.last(), len(f.partial.data) + len(f.part.Command)
}

// offset returns the number of bytes that have arrived of the snapshot or command in transfer.
func (f *fetch) offset() int {
	switch {
	case f.partial.op > 0:
		return len(f.partial.data)
	case f.part.Op == f.last()+1:
		return len(f.part.Command)
	default:
		return 0
	}
}

// resume takes over what an earlier transfer has received: its snapshot and the entries up to its commit
// number are the same in every log of the generation. An unfinished snapshot is continued only from the
// same source, as the encodings of others may differ.
func (f *fetch) resume(earlier *fetch) {
	if earlier.base < f.base || (earlier.base > f.base && earlier.snapshot == nil) {
		return
	}
	n := min(len(earlier.staged), int(max(earlier.commit, earlier.base)-earlier.base))
	f.base, f.snapshot, f.initialMembers = earlier.base, earlier.snapshot, earlier.initialMembers
	f.staged = earlier.staged[:n:n]
	f.commit = earlier.commit
	if f.source == earlier.source {
		f.partial = earlier.partial
	}
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
	if r.unfinished != nil && purpose == fetchJoin && r.unfinishedGeneration == r.generation {
		r.fetch.resume(r.unfinished)
	}
	r.unfinished = nil
	return r.fetch
}

// dropFetch ends a transfer. What has arrived is kept for the next one.
func (r *Replica) dropFetch() {
	if f := r.fetch; f != nil && f.purpose == fetchJoin {
		r.unfinished, r.unfinishedGeneration = f, r.generation
	}
	r.fetch = nil
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
		Kind:     KindGetState,
		View:     r.view,
		Op:       op,
		Base:     f.partial.op,
		Offset:   f.offset(),
		Nonce:    f.nonce,
		MaxBytes: chunkBytes,
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
		r.addEntries(&reply, m)
		if m.Op == 0 {
			reply.Members = r.snapshot.Members
		}
		r.send(m.From, reply)
		return
	}
	r.sendSnapshotChunk(reply, m)
}

// addEntries adds the next entries to a reply, or a part of the next one if it is larger than a message
// may be. Older versions can't receive parts.
func (r *Replica) addEntries(reply *Message, m Message) {
	reply.Entries = r.log.afterBounded(m.Op, r.cfg.MaxBatch, chunkBytes)
	if len(reply.Entries) == 0 || m.MaxBytes == 0 || len(reply.Entries[0].Command) <= chunkBytes {
		return
	}
	e := reply.Entries[0]
	offset := 0
	if m.Base == 0 {
		offset = max(0, min(m.Offset, len(e.Command)))
	}
	end := min(len(e.Command), offset+chunkBytes)
	reply.Offset, reply.Size = offset, len(e.Command)
	e.Command = e.Command[offset:end:end]
	reply.Entries = []Entry{e}
}

// holdsEntriesAfter reports whether the log holds the entries after op that the requester needs. A
// requester without any entry also needs the members, which only a snapshot contains.
func (r *Replica) holdsEntriesAfter(op uint64) bool {
	return op >= r.snapshot.Op || (op > 0 && op >= r.log.base)
}

func (r *Replica) sendSnapshotChunk(reply, m Message) {
	s, offset := r.snapshot, 0
	if m.Base > 0 && m.Base == r.former.Op {
		s = r.former
	}
	if m.Base == s.Op {
		offset = max(0, min(m.Offset, len(s.Data)))
	}
	if s.Op == r.snapshot.Op {
		r.sentSnapshotAt = r.now
	} else {
		r.sentFormerAt = r.now
	}
	end := min(len(s.Data), offset+chunkBytes)
	reply.Base = s.Op
	reply.Members = s.Members
	reply.Offset = offset
	reply.Size = len(s.Data)
	reply.Snapshot = s.Data[offset:end:end]
	r.send(m.From, reply)
	last := &r.out.Messages[len(r.out.Messages)-1]
	last.Epoch = s.Epoch
}

func (r *Replica) onNewState(m Message) {
	f := r.fetch
	if f == nil || m.View != r.view || m.Echo != f.nonce || m.From != f.source {
		return
	}
	before, bytesBefore := f.received()
	f.repliedAt = r.now
	f.commit = max(f.commit, m.Commit)
	r.mergeIncarnations(m.Incarnations)
	switch {
	case m.Base > 0:
		f.addChunk(m)
	case m.Size > 0 && len(m.Entries) == 1:
		f.addPart(m)
	default:
		f.add(m.Entries)
	}
	if m.Base == 0 {
		if m.Op == 0 && len(m.Members) > 0 {
			f.initialMembers = m.Members
		}
	}
	if op, bytes := f.received(); op > before || bytes != bytesBefore {
		f.requestedAt = -r.cfg.ElectionTimeout
		r.election.startedAt = r.now
	}
	r.appendFetched(f)
	r.continueFetch()
}

// appendFetched appends the entries of a gap as they arrive, like those of the primary's messages: they are of this
// view and follow the log. While the primary proposes large entries faster than they arrive, the gap never
// closes, and entries that waited for its end would take memory and then disk without a bound.
func (r *Replica) appendFetched(f *fetch) {
	if f.purpose != fetchGap || f.snapshot != nil || f.base != r.log.last() || r.status != statusNormal {
		return
	}
	for _, e := range f.staged {
		r.appendEntry(e)
	}
	if len(f.staged) > 0 {
		f.base, f.staged = r.log.last(), nil
		r.backup.ackDue = true
	}
	r.advanceCommit(f.commit)
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
