package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/runs"
)

// Evacuation notifies the PlacingService whether its data centre is evacuated. Changes are numbered
// by Version; an older one changes nothing.
type Evacuation struct {
	Evacuated bool
	Version   uint64
	Since     time.Time // latest time at which the change was surely not ordered yet; zero if that is unknown
}

// setEvacuation records a change, which takes effect immediately on the placer of this host. The version also
// increases with orders for other data centres; these keep Since, from which the time to settle counts.
func (n *PlacingService) setEvacuation(e Evacuation, now time.Time) {
	if e.Version <= n.evacuation.Version {
		return
	}
	if e.Evacuated == n.evacuation.Evacuated {
		n.evacuation.Version = e.Version
		return
	}
	if !e.Evacuated {
		e.Since = now
	}
	n.evacuation = e
	if n.placer != nil {
		e.apply(n.placer)
	}
}

// apply passes the evacuation to a placer.
func (e Evacuation) apply(p *runs.Placer) {
	if e.Evacuated {
		p.Evacuate(e.Since)
		return
	}
	p.EndEvacuation(e.Since)
}
