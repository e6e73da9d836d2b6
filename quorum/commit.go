package quorum

// add puts an entry at the end of the log. A primary proposes a replacement
// only after the one before it has committed.
func (r *Replica) appendEntry(e Entry) {
	r.log.add(e)
	if e.Replace != "" && e.Op > r.group.epoch {
		r.appendReplacement(e)
	}
}

func (r *Replica) appendReplacement(e Entry) {
	if p := r.group.pending; p != nil {
		r.advanceCommit(p.Op)
	}
	r.group.pending = &e
}

// learnCommit takes over a commit number as far as the log is held.
func (r *Replica) advanceCommit(commit uint64) {
	commit = min(commit, r.log.last())
	if commit <= r.commit {
		return
	}
	for _, e := range r.log.between(r.commit, commit) {
		if e.Replace != "" {
			r.group.applyReplacement(e)
			r.primary.heartbeatDue = true // the members have to know soon
		}
	}
	r.commit = commit
	r.stepDownIfRemoved()
}

// retireReplaced ends the view of a primary that is no longer a member.
func (r *Replica) stepDownIfRemoved() {
	if r.isPrimary() && !r.primary.steppedDown && !r.isMember() {
		r.stepDown(r.view + 1)
	}
}
