package quorum

import "slices"

// persisted describes the state that the caller has been asked to persist so far.
type persisted struct {
	vote               Vote
	lastOp             uint64 // last op in the persisted log
	snapshotOp         uint64
	snapshotGeneration uint64 // generation when the snapshot was persisted
	truncated          bool   // whether persisted entries have been replaced or discarded
}

// discardAfter records that the persisted entries after op are no longer part of the log.
func (s *persisted) discardAfter(op uint64) {
	s.truncated = s.truncated || s.lastOp > op
	s.lastOp = min(s.lastOp, op)
}

// persist returns the changes since the last call, nil if there are none.
func (r *Replica) persist() *Persist {
	if !r.cfg.Durable {
		return nil
	}
	var p Persist
	changed := false
	if v := r.currentVote(); !sameVote(v, r.persisted.vote) {
		r.persisted.vote, p.Vote, changed = v, &v, true
	}
	generation := r.persisted.vote.Generation
	if r.snapshot.Op != r.persisted.snapshotOp || generation != r.persisted.snapshotGeneration {
		s := r.snapshot
		p.Snapshot, changed = &s, true
		r.persisted.snapshotOp, r.persisted.snapshotGeneration = s.Op, generation
	}
	p.Keep = max(r.persisted.lastOp, r.snapshot.Op)
	p.Entries = r.log.between(p.Keep, r.log.last())
	changed = changed || len(p.Entries) > 0 || r.persisted.truncated
	r.persisted.lastOp, r.persisted.truncated = r.log.last(), false
	if !changed {
		return nil
	}
	return &p
}

// currentVote returns the vote to persist. It is empty while recovering, so that the replica recovers
// again after a restart.
func (r *Replica) currentVote() Vote {
	if r.status == statusRecovering {
		return Vote{FirstStart: r.firstStart}
	}
	return Vote{
		FirstStart:   r.firstStart,
		Generation:   r.generation,
		View:         r.view,
		Normal:       r.lastNormal,
		Commit:       r.commit,
		Incarnations: r.incarnations,
		Epoch:        r.group.epoch,
		Members:      r.group.members,
	}
}

// sameVote reports whether two votes are equal except for Commit, which is only a lower bound.
func sameVote(a, b Vote) bool {
	return a.Generation == b.Generation && a.View == b.View && a.Normal == b.Normal &&
		a.Epoch == b.Epoch && a.FirstStart == b.FirstStart && slices.Equal(a.Incarnations, b.Incarnations)
}

// restore initializes a replica from its persisted state. A replica that was the primary requests a
// new view, because it can't know when its lease ends.
func (r *Replica) restore(s Saved) {
	if s.Vote.Generation == 0 {
		return
	}
	r.generation, r.view, r.lastNormal = s.Vote.Generation, s.Vote.View, s.Vote.Normal
	r.incarnations = s.Vote.Incarnations
	r.firstStart = s.Vote.FirstStart
	r.resetToSnapshot(s.Snapshot)
	r.group.adoptNewer(s.Vote.Epoch, s.Vote.Members)
	if s.Snapshot.Op > 0 {
		r.out.Install = s.Snapshot.Data
	}
	for _, e := range s.Entries {
		r.appendEntry(e)
	}
	r.advanceCommit(s.Vote.Commit)
	r.status = statusViewChange
	if r.lastNormal == r.view {
		r.status = statusNormal
	}
	if r.status == statusNormal && r.group.primary(r.view) == r.name {
		r.primary = primary{acks: map[string]ack{}, steppedDown: true}
	}
	r.persisted = persisted{
		vote:               s.Vote,
		lastOp:             r.log.last(),
		snapshotOp:         s.Snapshot.Op,
		snapshotGeneration: s.Vote.Generation,
	}
}
