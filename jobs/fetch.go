package jobs

import (
	"strings"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// fetch requests the answer to a job from the data centre that the job's name starts with.
func (r *Runner) fetch(m Fetch) {
	dataCentre, _, ok := strings.Cut(m.Job, ".")
	if !ok || !r.hasDataCentre(dataCentre) {
		m.Reply(nil, &model.RefusalError{Code: model.CodeNotFound, Field: "Job", Reason: "no job has this name"})
		return
	}
	onAnswer := func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			refusal.NotRun = false
			m.Reply(nil, refusal)
			return
		}
		fetched := msg.(msgs.Fetched)
		m.Reply(fetched.Answer, fetched.Refusal)
	}
	build := func(id uint64) any {
		return msgs.Fetch{Job: m.Job, Host: r.Self.Name, Request: id, Wait: m.Wait}
	}
	r.requestDataCentre(dataCentre, m.Wait+r.RequestTimeout, build, onAnswer)
}

func (r *Runner) hasDataCentre(dataCentre string) bool {
	for _, h := range r.Hosts {
		if h.DataCentre == dataCentre {
			return true
		}
	}
	return false
}

// serveFetch forwards the request of a host in another data centre to the primary.
func (r *Runner) serveFetch(m msgs.Fetch) {
	r.fetch(Fetch{Job: m.Job, Wait: m.Wait, Reply: func(answer *model.Answer, refusal *model.RefusalError) {
		_ = r.Send(m.Host, msgs.ServiceJobs, msgs.Fetched{Request: m.Request, Answer: answer, Refusal: refusal})
	}})
}
