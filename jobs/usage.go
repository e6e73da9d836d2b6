package jobs

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Usage requests the usage of a customer in every data centre.
type Usage struct {
	Customer string
	Reply    func([]msgs.UsageDone) // one per data centre; Known is false for those that don't answer
}

// usage collects the usage in all data centres.
func (r *Runner) usage(m Usage) {
	ask := func(dataCentre string, reply func(msgs.UsageDone)) {
		r.usageAt(dataCentre, m.Customer, func(done msgs.UsageDone) {
			done.DataCentre = dataCentre
			reply(done)
		})
	}
	gather(r.DataCentres, ask, m.Reply)
}

func (r *Runner) usageAt(dataCentre, customer string, reply func(msgs.UsageDone)) {
	onAnswer := func(msg any, refusal *model.RefusalError) {
		if refusal != nil {
			reply(msgs.UsageDone{})
			return
		}
		reply(msg.(msgs.UsageDone))
	}
	build := func(id uint64) any {
		return msgs.UsageAsk{Request: id, Host: r.Self.Name, Customer: customer}
	}
	r.requestDataCentre(dataCentre, r.RequestTimeout, build, onAnswer)
}

// serveUsage forwards the request of a host in another data centre to the primary.
func (r *Runner) serveUsage(m msgs.UsageAsk) {
	r.usageAt(r.Self.DataCentre, m.Customer, func(done msgs.UsageDone) {
		done.Request = m.Request
		_ = r.Send(m.Host, msgs.ServiceJobs, done)
	})
}
