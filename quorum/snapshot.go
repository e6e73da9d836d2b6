package quorum

// takeSnapshot takes or starts a snapshot if at least Config.SnapshotEvery entries have been applied
// since the last one. It must be called only when the caller has applied all returned entries.
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

// FinishSnapshot completes the snapshot at op with the encoded state and compacts the log. It ignores
// a snapshot that is not being encoded, such as one superseded by a fetched snapshot.
func (r *Replica) FinishSnapshot(op uint64, data []byte) {
	if r.encoding == nil || r.encoding.Op != op {
		return
	}
	r.snapshot = *r.encoding
	r.snapshot.Data = data
	r.encoding = nil
	r.compactLog()
}

// compactLog compacts the log up to a new snapshot. It keeps SnapshotEvery entries before the
// snapshot, so that members that lag a little don't need to fetch it.
func (r *Replica) compactLog() {
	if base := r.snapshot.Op - r.cfg.SnapshotEvery; base > r.log.base {
		r.log.compact(base)
	}
}

// resetToSnapshot replaces the log and the commit number by a snapshot.
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
