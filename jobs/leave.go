package jobs

import "dogwoodrock.example/dogwoodrock/msgs"

// announceLeave notifies the hosts of the data centre of a planned stop. It sends nothing
// if the stop was cut short, with jobs or calls still in flight.
func (r *Runner) announceLeave() {
	if !r.stopping || !r.idle() {
		return
	}
	for _, h := range r.Hosts {
		if h.DataCentre == r.Self.DataCentre {
			_ = r.Send(h.Name, msgs.ServiceGroup, msgs.HostLeave{Host: r.Self.Name, Incarnation: r.incarnation})
		}
	}
}
