package quorum

// takeSnapshot takes or starts a snapshot if at least Config.SnapshotEvery entries, or entries of
// Config.SnapshotBytes, have been applied since the last one. It must be called only when the caller
// has applied all returned entries.
func (r *Replica) takeSnapshot() {
	if !r.snapshotDue() || r.delivered != r.commit || r.encoding != nil || r.startSnapshot == nil {
		return
	}
	r.encoding = &Snapshot{
		Op:      r.delivered,
		Epoch:   r.group.epoch,
		Members: r.group.members,
	}
	r.startSnapshot(r.delivered)
}

func (r *Replica) snapshotDue() bool {
	tooLarge := r.cfg.SnapshotBytes > 0 && r.deliveredBytes >= r.cfg.SnapshotBytes
	return r.delivered >= r.snapshot.Op+r.cfg.SnapshotEvery || (tooLarge && r.delivered > r.snapshot.Op)
}

// FinishSnapshot completes the snapshot at op with the encoded state and compacts the log. It ignores
// a snapshot that is not being encoded, such as one superseded by a fetched snapshot.
func (r *Replica) FinishSnapshot(op uint64, data []byte) {
	if r.encoding == nil || r.encoding.Op != op {
		return
	}
	r.keepFormer()
	r.snapshot = *r.encoding
	r.snapshot.Data = data
	r.encoding = nil
	r.deliveredBytes = r.log.bytes(op, r.delivered)
	r.compactLog()
}

// keepFormer keeps the snapshot that is about to be superseded while another replica fetches it, and
// releases an earlier one that none fetches any longer. Otherwise a transfer that takes longer than the
// interval between snapshots would begin anew each time and never end.
func (r *Replica) keepFormer() {
	if r.former.Op > 0 && r.now < r.sentFormerAt+r.cfg.ElectionTimeout {
		return
	}
	r.former = Snapshot{}
	if r.sentSnapshotAt > 0 && r.now < r.sentSnapshotAt+r.cfg.ElectionTimeout {
		r.former, r.sentFormerAt = r.snapshot, r.sentSnapshotAt
	}
}

// compactLog compacts the log up to a new snapshot. It keeps up to SnapshotEvery entries of up to
// SnapshotBytes before the snapshot, so that members that lag a little don't need to fetch it.
func (r *Replica) compactLog() {
	base := max(r.log.base, r.snapshot.Op-min(r.snapshot.Op, r.cfg.SnapshotEvery))
	if limit := r.cfg.SnapshotBytes; limit > 0 {
		size := r.log.bytes(base, r.snapshot.Op)
		for ; size > limit; base++ {
			size -= r.log.bytes(base, base+1)
		}
	}
	if r.former.Op > 0 {
		base = min(base, r.former.Op) // the entries after it are fetched next
	}
	if base > r.log.base {
		r.log.compact(base)
	}
}

// SnapshotBefore returns the op, epoch and members of the state that the caller has applied when it
// could not persist an output, so that it can write a snapshot in order to free disk space. It reports
// false if there is none, or none after the replica's latest snapshot. The output must be the last
// one of Drain.
func (r *Replica) SnapshotBefore(out Output) (Snapshot, bool) {
	op := r.delivered
	if len(out.Committed) > 0 {
		op = out.Committed[0].Op - 1
	}
	replaced := out.Reset || out.Install != nil || (out.Persist != nil && out.Persist.Snapshot != nil)
	if replaced || op <= r.snapshot.Op || op < r.group.epoch {
		return Snapshot{}, false
	}
	return Snapshot{Op: op, Epoch: r.group.epoch, Members: r.group.members}, true
}

// resetToSnapshot replaces the log and the commit number by a snapshot.
func (r *Replica) resetToSnapshot(s Snapshot) {
	r.snapshot, r.former = s, Snapshot{}
	r.encoding = nil
	r.firstStart = r.firstStart && s.Op == 0
	r.log = history{base: s.Op}
	r.group.pending = nil
	if s.Epoch >= r.group.epoch {
		r.group = group{epoch: s.Epoch, members: s.Members}
	}
	r.commit, r.delivered, r.deliveredBytes = s.Op, s.Op, 0
}
