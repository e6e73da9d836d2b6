package quorum

// takeSnapshot takes a snapshot, or begins one, when enough entries have been
// applied since the last. It must run only while the caller has applied all that
// is committed.
func (r *Replica) takeSnapshot() {
	due := r.snapshot.Op + r.cfg.SnapshotEvery
	if r.delivered < due || r.delivered != r.commit || r.encoding != nil || r.startSnapshot == nil {
		return
	}
	r.encoding = &Snapshot{
		Op:      r.delivered,
		Epoch:   r.group.epoch,
		Members: r.group.members,
	}
	r.startSnapshot(r.delivered)
}

// Snapshotted takes the state that was begun to be encoded. It ignores one that
// another snapshot has overtaken.
func (r *Replica) FinishSnapshot(op uint64, data []byte) {
	if r.encoding == nil || r.encoding.Op != op {
		return
	}
	r.snapshot = *r.encoding
	r.snapshot.Data = data
	r.encoding = nil
	r.compactLog()
}

// truncate shortens the log behind a new snapshot. It keeps SnapshotEvery
// entries for members that lag a little.
func (r *Replica) compactLog() {
	if base := r.snapshot.Op - r.cfg.SnapshotEvery; base > r.log.base {
		r.log.compact(base)
	}
}

// useSnapshot starts the log anew after a snapshot.
func (r *Replica) resetToSnapshot(s Snapshot) {
	r.snapshot = s
	r.encoding = nil
	r.log = history{base: s.Op}
	r.group.pending = nil
	if s.Epoch >= r.group.epoch {
		r.group = group{epoch: s.Epoch, members: s.Members}
	}
	r.commit, r.delivered = s.Op, s.Op
}
