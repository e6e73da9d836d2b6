package jobs

import (
	"strings"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// cancel sends the request to the home data centre of a key, or to every data centre for a group.
func (r *Runner) cancel(m Cancel) {
	if refusal := checkCancel(m); refusal != nil {
		m.Reply(Cancelled{}, refusal)
		return
	}
	if m.Key == "" {
		r.cancelGroup(m)
		return
	}
	home, refusal := r.homeDataCentre(m.Session, m.Customer, m.Key)
	if refusal != nil {
		m.Reply(Cancelled{}, refusal)
		return
	}
	r.cancelAt(home, m, func(at CancelledAt) { m.Reply(Cancelled{Jobs: at.Jobs}, at.Refusal) })
}

func checkCancel(m Cancel) *model.RefusalError {
	refuse := func(field, reason string) *model.RefusalError {
		return &model.RefusalError{Code: model.CodeBadRequest, Field: field, Reason: reason, NotRun: true}
	}
	switch {
	case m.Customer == "":
		return refuse("Customer", "is missing")
	case m.Key == "" && m.Group == "":
		return refuse("Key", "is missing, and so is Group")
	case m.Key != "" && m.Group != "":
		return refuse("Group", "can't stand beside Key")
	case m.Session != "" && m.Key == "":
		return refuse("Key", "is missing: a session serves only keys")
	}
	return nil
}

// cancelGroup cancels a group in every data centre and adds up the results.
func (r *Runner) cancelGroup(m Cancel) {
	ask := func(dataCentre string, reply func(CancelledAt)) { r.cancelAt(dataCentre, m, reply) }
	gather(r.DataCentres, ask, func(all []CancelledAt) { m.Reply(sumCancelled(all)) })
}

// sumCancelled adds up the answers of the data centres. It refuses a cancel that none of them
// accepted.
func sumCancelled(answers []CancelledAt) (Cancelled, *model.RefusalError) {
	done := Cancelled{DataCentres: answers}
	var unanswered []string
	for _, at := range answers {
		done.Jobs += at.Jobs
		if at.Refusal != nil {
			unanswered = append(unanswered, at.DataCentre)
		}
	}
	switch len(unanswered) {
	case 0:
		return done, nil
	case len(answers):
		return Cancelled{}, combineRefusals(answers)
	}
	done.Refusal = noAnswerRefusal(strings.Join(unanswered, ", "))
	return done, nil
}

// combineRefusals returns the refusal of the first data centre if it is certain that none has
// cancelled a job, or else that the outcome is unknown.
func combineRefusals(answers []CancelledAt) *model.RefusalError {
	for _, at := range answers {
		if !at.Refusal.NotRun {
			return noAnswerRefusal("any data centre")
		}
	}
	return answers[0].Refusal
}

func noAnswerRefusal(from string) *model.RefusalError {
	return &model.RefusalError{
		Code:       model.CodeOutcomeUnknown,
		Reason:     "no answer of " + from + ", where jobs of the group may still run",
		RetryAfter: retryAfter,
	}
}

func (r *Runner) cancelAt(dataCentre string, m Cancel, reply func(CancelledAt)) {
	onAnswer := func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			refusal.NotRun = false // the jobs to cancel may be running
			reply(CancelledAt{DataCentre: dataCentre, Refusal: refusal})
			return
		}
		done := msg.(msgs.CancelDone)
		reply(CancelledAt{DataCentre: dataCentre, Jobs: done.Jobs, Refusal: done.Refusal})
	}
	build := func(id uint64) any {
		return msgs.CancelAsk{
			Request: id, Host: r.Self.Name,
			Customer: m.Customer, Session: m.Session, Key: m.Key, Group: m.Group,
		}
	}
	r.requestDataCentre(dataCentre, r.RequestTimeout, build, onAnswer)
}

// serveCancel forwards the request of a host in another data centre to the primary.
func (r *Runner) serveCancel(m msgs.CancelAsk) {
	own := Cancel{Customer: m.Customer, Session: m.Session, Key: m.Key, Group: m.Group}
	r.cancelAt(r.Self.DataCentre, own, func(at CancelledAt) {
		_ = r.Send(m.Host, msgs.ServiceJobs, msgs.CancelDone{Request: m.Request, Jobs: at.Jobs, Refusal: at.Refusal})
	})
}
