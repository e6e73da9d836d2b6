package quorum

// appendEntry appends an entry to the log and records a replacement as pending.
func (r *Replica) appendEntry(e Entry) {
	r.log.add(e)
	r.firstStart = false
	if e.Replace != "" && e.Op > r.group.epoch {
		r.appendReplacement(e)
	}
}

// appendReplacement records a replacement as pending. Any earlier one is committed, because a
// primary proposes a replacement only after the previous one has committed.
func (r *Replica) appendReplacement(e Entry) {
	if p := r.group.pending; p != nil {
		r.advanceCommit(p.Op)
	}
	r.group.pending = &e
}

// advanceCommit raises the commit number to the given one, limited to the entries in the log.
func (r *Replica) advanceCommit(commit uint64) {
	commit = min(commit, r.log.last())
	if commit <= r.commit {
		return
	}
	for _, e := range r.log.between(r.commit, commit) {
		if e.Replace != "" {
			r.group.applyReplacement(e)
			r.primary.heartbeatDue = true // notify the members without delay
		}
	}
	r.commit = commit
	r.stepDownIfRemoved()
}

// stepDownIfRemoved makes a primary that is no longer a member step down.
func (r *Replica) stepDownIfRemoved() {
	if r.isPrimary() && !r.primary.steppedDown && !r.isMember() {
		r.stepDown(r.view + 1)
	}
}
