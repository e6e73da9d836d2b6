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
	purpose  fetchPurpose
	source   string
	normal   uint64 // view of the log, for fetchVote
	from     uint64 // op that the own log keeps
	target   uint64 // op that has to be reached
	commit   uint64 // known to the source
	staged   []Entry
	snapshot *Snapshot // replaces the own log
	genesis  []Member  // members before the first entry
	part     partial
	nonce    uint64
	sent     time.Duration // when the primary sent the latest message, for fetchJoin
	asked    time.Duration
	heard    time.Duration
}

// partial is a snapshot of which only the first part has come.
type partial struct {
	op   uint64
	data []byte
}

func (f *fetch) end() uint64 {
	return f.from + uint64(len(f.staged))
}

func (f *fetch) add(entries []Entry) {
	for _, e := range entries {
		if e.Op == f.end()+1 {
			f.staged = append(f.staged, e)
		}
	}
}

func (f *fetch) addPart(m Message) {
	if f.part.op != m.Base {
		f.part = partial{op: m.Base}
	}
	if m.Offset != len(f.part.data) {
		return
	}
	f.part.data = append(f.part.data, m.Snapshot...)
	if len(f.part.data) < m.Size {
		return
	}
	f.snapshot = &Snapshot{Op: m.Base, Epoch: m.Epoch, Members: m.Members, Data: f.part.data}
	f.from, f.staged, f.part = m.Base, nil, partial{}
}

// join moves to the view of a primary and takes over its log.
func (r *Replica) join(m Message) {
	if r.generation == 0 {
		r.generation = m.Generation
	}
	if m.View > r.view {
		r.enter(m.View)
	}
	f := r.fetch
	if f == nil || f.purpose != fetchJoin || f.source != m.From {
		f = r.startFetch(fetchJoin, m.From, r.commit, m.Op)
	}
	r.election.since = r.now
	f.sent = max(f.sent, m.Sent)
	f.commit = max(f.commit, m.Commit)
	f.add(m.Entries)
	r.continueFetch()
}

// fillGap fetches the entries between the own log and a message.
func (r *Replica) fillGap(m Message) {
	f := r.fetch
	if f == nil || f.from != r.log.last() {
		f = r.startFetch(fetchGap, m.From, r.log.last(), m.Op)
	}
	f.target = max(f.target, m.Op)
	f.commit = max(f.commit, m.Commit)
	f.add(m.Entries)
	r.continueFetch()
}

// fetchVoted fetches the best log that was voted with.
func (r *Replica) fetchVoted(m Message) {
	f := r.fetch
	if f == nil || f.source != m.From || f.normal != m.Normal || f.target != m.Op {
		f = r.startFetch(fetchVote, m.From, r.commit, m.Op)
		f.normal = m.Normal
	}
	r.continueFetch()
}

func (r *Replica) startFetch(purpose fetchPurpose, source string, from, target uint64) *fetch {
	r.fetch = &fetch{
		purpose: purpose,
		source:  source,
		from:    from,
		target:  target,
		nonce:   r.random(),
		heard:   r.now,
		asked:   -r.cfg.ElectionTimeout,
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
	return !r.lacksMembers() && f.end() >= f.target && f.part.data == nil
}

// lacksMembers tells whether a replica without memory has yet to learn the
// members, which only the answer for the begin of the log tells.
func (r *Replica) lacksMembers() bool {
	return r.status == statusRecovering && r.fetch.snapshot == nil && r.fetch.genesis == nil
}

// tickFetch repeats a request that wasn't answered.
func (r *Replica) tickFetch() {
	f := r.fetch
	if f == nil || r.now < f.asked+r.cfg.Heartbeat {
		return
	}
	f.asked = r.now
	op := f.end()
	if r.lacksMembers() {
		op = 0
	}
	r.send(f.source, Message{
		Kind:   KindGetState,
		View:   r.view,
		Op:     op,
		Base:   f.part.op,
		Offset: len(f.part.data),
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
	if r.holdsAfter(m.Op) {
		reply.Entries = r.log.after(m.Op, r.cfg.MaxBatch)
		if m.Op == 0 {
			reply.Members = r.snapshot.Members
		}
		r.send(m.From, reply)
		return
	}
	r.sendPart(reply, m)
}

// holdsAfter tells whether the entries after op are held. One that has nothing
// needs the members as well, which only a snapshot tells.
func (r *Replica) holdsAfter(op uint64) bool {
	return op >= r.snapshot.Op || (op > 0 && op >= r.log.base)
}

func (r *Replica) sendPart(reply, m Message) {
	offset := 0
	if m.Base == r.snapshot.Op {
		offset = max(0, min(m.Offset, len(r.snapshot.Data)))
	}
	end := min(len(r.snapshot.Data), offset+snapshotPart)
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
	before, part := f.end(), len(f.part.data)
	f.heard = r.now
	f.commit = max(f.commit, m.Commit)
	r.learnIncarnations(m.Incarnations)
	if m.Base > 0 {
		f.addPart(m)
	} else {
		f.add(m.Entries)
		if m.Op == 0 && len(m.Members) > 0 {
			f.genesis = m.Members
		}
	}
	if f.end() > before || len(f.part.data) != part {
		f.asked = -r.cfg.ElectionTimeout
		r.election.since = r.now
	}
	r.continueFetch()
}

// finishFetch takes over the fetched log and goes on with its purpose.
func (r *Replica) finishFetch() {
	f := r.fetch
	r.fetch = nil
	if f.purpose == fetchGap && f.end() <= r.log.last() {
		return // the entries have come by themselves
	}
	r.install(f)
	switch f.purpose {
	case fetchGap:
		r.backup.ack = true
	case fetchJoin:
		if r.status == statusRecovering {
			r.probation = r.learner && r.group.knows(r.name)
		}
		r.status, r.normal = statusNormal, r.view
		r.election = election{}
		r.recovery = recovery{}
		r.hear(f.source, f.sent)
	case fetchVote:
		r.normal = f.normal
		r.vote()
	}
}

// install puts what was fetched in the place of the own log after f.from.
func (r *Replica) install(f *fetch) {
	switch {
	case f.snapshot != nil:
		r.useSnapshot(*f.snapshot)
		r.out.Install = f.snapshot.Data
	case f.genesis != nil && r.log.last() == 0:
		r.useSnapshot(Snapshot{Members: f.genesis})
	default:
		r.log.cut(f.from)
	}
	if p := r.group.pending; p != nil && p.Op > f.from {
		r.group.pending = nil
	}
	r.saved.keep(f.from)
	for _, e := range f.staged {
		r.add(e)
	}
	r.learnCommit(f.commit)
}
