package claim

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
)

// Fixed overhead in bytes that counts towards AnswerBytes for each answer and each result.
const (
	answerOverhead = 160
	resultOverhead = 24
)

// finish records the outcome of a job. The first outcome wins; a later command gets the recorded
// one.
func (reg *Registry) finish(c *Command) Result {
	r := reg.recordByJob(c.Job)
	if r == nil {
		return refusedUncertain(model.CodeNotFound, "the job is not known, or no longer")
	}
	if r.state() != model.JobRunning {
		return outcomeResult(r)
	}
	if r.owner.host != c.Host || r.owner.incarnation != c.Incarnation {
		return refusedUncertain(model.CodeConflict, "the job belongs to another host")
	}
	a, ok := normalizeAnswer(r, c.Answer)
	if !ok {
		return refusedUncertain(model.CodeBadRequest, "an answer is complete with a result of every task, or failed")
	}
	res := Result{Verdict: VerdictAnswered, Answer: a, State: a.State}
	if c.Release && a.Refusal != nil && a.Refusal.NotRun && !r.cancelled {
		res.Released = true
		reg.releaseKey(r)
	} else {
		reg.setOutcome(r, a)
	}
	res.Job, res.Host, res.Incarnation = a.Job, c.Host, c.Incarnation
	return res
}

// normalizeAnswer returns the answer without the fields that its state doesn't use, or false if the
// answer is partial: complete without a result for every task, or not a final state.
func normalizeAnswer(r *record, a model.Answer) (*model.Answer, bool) {
	a.Job = r.job()
	switch a.State {
	case model.JobComplete:
		a.Refusal = nil
		return &a, len(a.Results) == int(r.tasks)
	case model.JobFailed:
		a.Results = nil
		if a.Refusal == nil {
			a.Refusal = &model.RefusalError{Code: model.CodeTaskFailed, Reason: "the job failed"}
		}
		return &a, true
	default:
		return nil, false
	}
}

// releaseKey releases the key of a job of which no task was run. The record keeps its digest, so
// that the key can only be claimed again with the same body.
func (reg *Registry) releaseKey(r *record) {
	reg.unindex(r)
	if r.scope.epoch == nil || r.unkeyed {
		reg.removeRecord(r)
		return
	}
	reg.byJob.remove(r)
	r.released = true
	r.setState(model.JobFailed)
	r.endedAt, r.endSeq = reg.now, reg.nextSeq()
	r.setKeyAndJob(r.key(), "")
	r.group, r.owner = "", nil
}

// setOutcome stores the outcome of a running record.
func (reg *Registry) setOutcome(r *record, a *model.Answer) {
	reg.unindex(r)
	r.setState(a.State)
	r.answer = a
	r.endedAt, r.endSeq = reg.now, reg.nextSeq()
	reg.answered.push(r)
	reg.answerCount++
	reg.answerBytes += answerSize(a)
	if r.scope.epoch == nil || r.unkeyed {
		reg.retained.push(r)
	}
	reg.evictAnswers()
}

// unindex removes a record from the indexes of running records by owner and by group.
func (reg *Registry) unindex(r *record) {
	delete(r.owner.running, r.seq)
	if r.group == "" {
		return
	}
	k := groupKey{r.scope.customer, r.group}
	delete(reg.byGroup[k], r.seq)
	if len(reg.byGroup[k]) == 0 {
		delete(reg.byGroup, k)
	}
}

// evictAnswers evicts the oldest answers while the total exceeds AnswerBytes. Each answer is
// evicted once, so the amortized cost per outcome is constant.
func (reg *Registry) evictAnswers() {
	for reg.answerBytes > reg.cfg.AnswerBytes && reg.answered.len() > 0 {
		reg.evictAnswer(reg.answered.pop())
	}
}

// evictAnswer frees the answer of a record. State and digest remain, which still prevent a second
// start of the key.
func (reg *Registry) evictAnswer(r *record) {
	if r.answer == nil {
		return
	}
	reg.answerBytes -= answerSize(r.answer)
	r.answer = nil
	reg.answerCount--
}

func answerSize(a *model.Answer) int64 {
	n := int64(answerOverhead + len(a.Job))
	for _, result := range a.Results {
		n += int64(resultOverhead + len(result))
	}
	if a.Refusal != nil {
		n += int64(len(a.Refusal.Reason) + len(a.Refusal.Field))
	}
	return n
}

// outcomeResult returns the recorded outcome of an ended record, or a refusal if its answer was
// evicted.
func outcomeResult(r *record) Result {
	var res Result
	if r.answer == nil {
		res = refusedUncertain(model.CodeNotFound, fmt.Sprintf("the job is %s, but its answer is no longer held", r.state()))
	} else {
		res = Result{Verdict: VerdictAnswered, Answer: r.answer}
	}
	o := r.jobOwner()
	res.Job, res.Host, res.Incarnation, res.State = o.Job, o.Host, o.Incarnation, r.state()
	return res
}
