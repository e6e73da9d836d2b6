package jobs

import "dogwoodrock.example/dogwoodrock/msgs"

// leave tells the hosts of the data centre that this one stops as planned, unless
// the stop was cut short.
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
