package jobs

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Shares of Patience that a status waits. A data centre waits for its primary
// for less time than another one waits for it.
const (
	statusTimeoutDivisor  = 2
	primaryTimeoutDivisor = 4
)

// Status asks every data centre how its group and its backend servers stand.
type Status struct {
	Reply func([]msgs.StatusDone) // one a data centre; those that don't answer aren't Known
}

// status gathers the answers of all data centres.
func (r *Runner) status(m Status) {
	ask := func(dataCentre string, reply func(msgs.StatusDone)) {
		r.statusAt(dataCentre, func(done msgs.StatusDone) {
			done.DataCentre = dataCentre
			reply(done)
		})
	}
	gather(r.DataCentres, ask, m.Reply)
}

func (r *Runner) statusAt(dataCentre string, reply func(msgs.StatusDone)) {
	if dataCentre == r.Self.DataCentre {
		r.localStatus(reply)
		return
	}
	r.requestRemote(dataCentre, r.RequestTimeout/statusTimeoutDivisor, r.statusAsk, statusAnswer(reply))
}

// statusHere asks the primary, or this host's member of the group when no
// primary answers.
func (r *Runner) localStatus(reply func(msgs.StatusDone)) {
	fromSelf := func() {
		r.requestHost(r.Self.Name, msgs.ServiceGroup, r.RequestTimeout/primaryTimeoutDivisor, r.statusAsk, statusAnswer(reply))
	}
	if !r.leaseHolds() {
		fromSelf()
		return
	}
	fromPrimary := func(done msgs.StatusDone) {
		if !done.Known {
			fromSelf()
			return
		}
		reply(done)
	}
	r.requestHost(r.lease.primary, msgs.ServiceGroup, r.RequestTimeout/primaryTimeoutDivisor, r.statusAsk, statusAnswer(fromPrimary))
}

func (r *Runner) statusAsk(id uint64) any {
	return msgs.StatusAsk{Request: id, Host: r.Self.Name}
}

func statusAnswer(reply func(msgs.StatusDone)) func(msg any, refusal *model.RefusalError) {
	return func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			reply(msgs.StatusDone{})
			return
		}
		reply(msg.(msgs.StatusDone))
	}
}

// statusFor passes the question of another data centre's host on.
func (r *Runner) serveStatus(m msgs.StatusAsk) {
	r.localStatus(func(done msgs.StatusDone) {
		done.Request = m.Request
		_ = r.Send(m.Host, msgs.ServiceJobs, done)
	})
}
