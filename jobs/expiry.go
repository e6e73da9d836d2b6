package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// expireJobs fails the jobs whose deadline has passed.
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

// remind asks again for tasks that have waited for long without a call; the
// placer leaves those that it knows of as they are.
func (r *Runner) retryPlacement(j *job, now time.Time) {
	if j.calls == 0 && now.Sub(j.askedAt) > askTimeouts*r.RequestTimeout {
		r.resend(j)
	}
}

// impatient asks again where the primary owes an answer, and gives up on a
// claim that no primary decides.
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

// askPatience is after how many unanswered asks a job is given up.
const askTimeouts = 4
