package jobs

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// A status request times out after RequestTimeout divided by these. A data centre waits for its primary
// for a shorter time than other data centres wait for its answer, so that it can answer in time
// without a primary.
const (
	statusTimeoutDivisor  = 2
	primaryTimeoutDivisor = 4
)

// Status requests the state of the group and the backend servers of every data centre.
type Status struct {
	Reply func([]msgs.StatusDone) // one per data centre; Known is false for those that don't answer
}

// status collects the status of all data centres.
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

// localStatus asks the primary, or this host's own group member if no primary answers.
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

// serveStatus answers the status request of a host in another data centre.
func (r *Runner) serveStatus(m msgs.StatusAsk) {
	r.localStatus(func(done msgs.StatusDone) {
		done.Request = m.Request
		_ = r.Send(m.Host, msgs.ServiceJobs, done)
	})
}
