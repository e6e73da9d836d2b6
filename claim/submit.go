package claim

import "dogwoodrock.example/dogwoodrock/model"

// claim assigns a key to the first job that claims it. Later submissions of the key join that job
// or get its outcome.
func (reg *Registry) claim(c *Command) Result {
	if c.Customer == "" || c.Key == "" || c.Job == "" {
		return refusedNotRun(model.CodeBadRequest, "a claim needs a customer, a key and a job")
	}
	if c.Tasks < 1 {
		return refusedNotRun(model.CodeBadRequest, "a job needs a task")
	}
	s, res, ok := reg.lookupScope(c.Customer, c.Session)
	if !ok {
		return res
	}
	r := reg.recordByKey(s, c.Key)
	if r == nil {
		r = &record{scope: s, digest: c.Digest}
		r.setKeyAndJob(c.Key, "")
		res = reg.claimFreeKey(r, c)
		reg.removeIdleCustomer(s.customer)
		return res
	}
	return reg.resubmit(r, c)
}

// resubmit handles a submission whose key already has a record.
func (reg *Registry) resubmit(r *record, c *Command) Result {
	if r.digest != c.Digest {
		return refusedNotRun(model.CodeKeyReused, "the key was used with another body")
	}
	if r.prevented {
		return cancelledResult()
	}
	if r.released {
		return reg.claimFreeKey(r, c)
	}
	if r.state() != model.JobRunning {
		return outcomeResult(r)
	}
	res := Result{Verdict: VerdictJoined, Job: r.job(), Host: r.owner.host, Incarnation: r.owner.incarnation}
	if r.job() == c.Job && r.owner.host == c.Host && r.owner.incarnation == c.Incarnation {
		res.Verdict, res.Repeated = VerdictClaimed, true
	}
	return res
}

// claimFreeKey handles a submission of a key for which no started job is known.
func (reg *Registry) claimFreeKey(r *record, c *Command) Result {
	if r.scope.epoch == nil && (!reg.begun || reg.now < reg.bareFrom) {
		return refusedUncertain(model.CodeOutcomeUnknown, "the group has lost its memory and can't tell whether the key has run")
	}
	if !r.released && reg.atCapacity(r.scope.customer) {
		return refusedNotRun(model.CodeOverloaded, "the table of claims is full")
	}
	if reg.isTombstoned(c) {
		reg.prevent(r)
		return cancelledResult()
	}
	if reg.recordByJob(c.Job) != nil {
		return refusedNotRun(model.CodeConflict, "the id of the job is in use")
	}
	o := reg.currentOwner(c.Host, c.Incarnation)
	if o == nil {
		return refusedNotRun(model.CodeUnavailable, "the entry host is not a member of the data centre")
	}
	reg.start(r, o, c)
	return Result{Verdict: VerdictClaimed, Job: r.job(), Host: c.Host, Incarnation: c.Incarnation}
}

func (reg *Registry) atCapacity(cu *customer) bool {
	return reg.claimCount >= reg.cfg.MaxClaims || cu.claims >= reg.cfg.MaxClaimsPerCustomer
}

// start stores a record as running the job of a command.
func (reg *Registry) start(r *record, o *owner, c *Command) {
	reg.addRecord(r)
	r.owner, r.group = o, c.Group
	r.setKeyAndJob(r.key(), c.Job)
	r.tasks, r.nonIdempotent = int32(c.Tasks), c.NonIdempotent
	r.setState(model.JobRunning)
	r.endSeq, r.endedAt = 0, 0
	reg.byJob.add(r)
	reg.index(r)
}

// index adds a running record to the indexes by owner and by group.
func (reg *Registry) index(r *record) {
	r.owner.running[r.seq] = r
	if r.group == "" {
		return
	}
	k := groupKey{r.scope.customer, r.group}
	if reg.byGroup[k] == nil {
		reg.byGroup[k] = make(recordSet)
	}
	reg.byGroup[k][r.seq] = r
}

// prevent stores a record of a job that never starts, so that its key is still refused after the
// tombstone has expired.
func (reg *Registry) prevent(r *record) {
	reg.addRecord(r)
	r.prevented = true
	r.setState(model.JobFailed)
	r.endedAt, r.endSeq = reg.now, reg.nextSeq()
	if r.scope.epoch == nil {
		reg.retained.push(r)
	}
}

// addRecord adds a record to the table of keys. A released record is still in the table.
func (reg *Registry) addRecord(r *record) {
	if r.released {
		r.released = false
		return
	}
	r.seq = reg.nextSeq()
	reg.byKey.add(r)
	r.scope.customer.claims++
	reg.claimCount++
	if r.scope.epoch != nil {
		r.scope.epoch.claims.push(r)
	}
}

func (reg *Registry) nextSeq() uint64 {
	reg.seq++
	return reg.seq
}

func cancelledResult() Result {
	return refusedNotRun(model.CodeCancelled, "the job was cancelled before it was submitted")
}
