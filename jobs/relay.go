package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// defaultRelayTimeout is the time limit of a relayed submission without a deadline.
const defaultRelayTimeout = 10 * time.Minute

// relay sends a submission to a host of another data centre. One without a key runs here if no host
// there is reachable.
func (r *Runner) relay(dataCentre string, m Submit) {
	host, refusal := r.pickHost(dataCentre)
	if refusal != nil && m.Submission.Key == "" {
		r.begin(m, "")
		return
	}
	if refusal != nil {
		m.Reply(nil, refusal)
		return
	}
	build := func(id uint64) any {
		return msgs.Relay{Request: id, Host: r.Self.Name, NoWait: m.NoWait, Submission: m.Submission}
	}
	r.requestHost(host, msgs.ServiceJobs, r.relayTimeout(m.Submission), build, func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			// With a key, an earlier submission may have run.
			refusal.NotRun = refusal.NotRun && m.Submission.Key == ""
			m.Reply(nil, refusal)
			return
		}
		relayed := msg.(msgs.Relayed)
		m.Reply(relayed.Answer, relayed.Refusal)
	})
}

// relayTimeout returns the time limit of a relayed submission.
func (r *Runner) relayTimeout(sub model.Submission) time.Duration {
	if sub.Deadline > 0 {
		return sub.Deadline + r.RequestTimeout
	}
	return defaultRelayTimeout
}

// relayReceived submits a job that another host relayed.
func (r *Runner) relayReceived(m msgs.Relay) {
	r.submit(Submit{
		Submission: m.Submission,
		NoWait:     m.NoWait,
		origin:     origin{host: m.Host, request: m.Request},
		Reply: func(answer *model.Answer, refusal *model.RefusalError) {
			_ = r.Send(m.Host, msgs.ServiceJobs, msgs.Relayed{Request: m.Request, Answer: answer, Refusal: refusal})
		},
	})
}
