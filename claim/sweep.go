package claim

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// sweepBatch is the maximum number of entries that one command removes from each table. A command
// adds at most one entry, so the tables shrink faster than they grow.
const sweepBatch = 16

// sweep removes entries that are past their windows.
func (reg *Registry) sweep() {
	reg.expireEpochs()
	reg.sweepAnswers()
	reg.sweepRetained()
	reg.sweepEpoch()
	reg.keyTombstones.sweep(reg.now, sweepBatch)
	reg.groupTombstones.sweep(reg.now, sweepBatch)
}

// sweepAnswers evicts answers that are past AnswerWindow.
func (reg *Registry) sweepAnswers() {
	for n := 0; n < sweepBatch && reg.answered.len() > 0; {
		r := reg.answered.peek()
		if r.answer != nil && reg.now < r.endedAt+int64(reg.cfg.AnswerWindow) {
			return
		}
		if r.answer != nil {
			n++ // records without an answer don't count: a restored Registry doesn't have them in the queue
		}
		reg.evictAnswer(reg.answered.pop())
	}
}

// sweepRetained removes ended claims outside a live epoch that are past BareKeyWindow.
func (reg *Registry) sweepRetained() {
	for i := 0; i < sweepBatch && reg.retained.len() > 0; i++ {
		r := reg.retained.peek()
		if reg.now < r.endedAt+int64(reg.cfg.BareKeyWindow) {
			return
		}
		reg.removeRecord(reg.retained.pop())
	}
}

// sweepEpoch removes the claims, and then the sessions, of the oldest expired epoch.
func (reg *Registry) sweepEpoch() {
	if len(reg.epochs) == 0 || !reg.epochs[0].expired {
		return
	}
	e := reg.epochs[0]
	for i := 0; i < sweepBatch; i++ {
		switch {
		case e.claims.len() > 0:
			reg.removeFromEpoch(e.claims.pop())
		case e.sessions.len() > 0:
			s := e.sessions.pop()
			delete(reg.sessions, s.name)
			s.customer.sessions--
			reg.removeIdleCustomer(s.customer)
		default:
			reg.epochs = slices.Delete(reg.epochs, 0, 1)
			return
		}
	}
}

// removeFromEpoch removes a claim of an expired epoch. A running claim only loses its key; it is
// removed BareKeyWindow after its outcome.
func (reg *Registry) removeFromEpoch(r *record) {
	if r.state() == model.JobRunning {
		r.unkeyed = true
		reg.byKey.remove(r)
		return
	}
	reg.removeRecord(r)
}

// removeRecord removes an ended record. Its entry in the queue of answers, if any, is removed when
// it reaches the head of the queue.
func (reg *Registry) removeRecord(r *record) {
	reg.evictAnswer(r)
	if !r.unkeyed {
		reg.byKey.remove(r)
	}
	if r.job() != "" {
		reg.byJob.remove(r)
	}
	r.scope.customer.claims--
	reg.claimCount--
	reg.removeIdleCustomer(r.scope.customer)
}
