package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// expireJobs fails the jobs whose deadline has passed and resends the messages of those that have
// waited too long for an answer.
func (r *Runner) expireJobs(now time.Time) {
	for _, j := range r.jobs {
		expired := !j.deadline.IsZero() && now.After(j.deadline)
		switch {
		case expired && j.stage == stageRunning:
			r.fail(j, model.CodeDeadlinePassed, "the deadline passed before all tasks had ended")
		case j.stage == stageRunning:
			r.retryPlacement(j, now)
		case now.Sub(j.askedAt) > r.RequestTimeout:
			r.retryOrExpire(j, now)
		}
	}
}

// retryPlacement asks again for the tasks of a job that has had no call for askTimeouts request
// timeouts. The placer ignores tasks that it already has.
func (r *Runner) retryPlacement(j *job, now time.Time) {
	if j.calls == 0 && now.Sub(j.askedAt) > askTimeouts*r.RequestTimeout {
		r.resend(j)
	}
}

// retryOrExpire resends a message that the primary has not answered, and refuses a job whose claim
// no primary has decided within askTimeouts request timeouts.
func (r *Runner) retryOrExpire(j *job, now time.Time) {
	if j.stage == stageClaiming && now.Sub(j.acceptedAt) > askTimeouts*r.RequestTimeout {
		r.remove(j)
		refusal := r.retryableRefusal(j.sub, model.CodeUnavailable, "the group of entry hosts in "+r.Self.DataCentre+" did not decide in time")
		if j.keyed {
			refusal.Code = model.CodeOutcomeUnknown
		}
		j.reply(nil, refusal)
		return
	}
	r.Hooks.Retried("NoAnswer")
	r.resend(j)
}

// askTimeouts is the number of request timeouts after which a job without a verdict is refused, and
// after which the placement of a running job without calls is requested again.
const askTimeouts = 4
