package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// Evacuate is a request to evacuate a data centre, or to revert that. It is answered once a majority
// of the core has synced it, so that the loss of the answering host's disk doesn't lose it.
type Evacuate struct {
	DataCentre string
	Evacuated  bool
	Reply      func(Answer)
}

func (n *Core) evacuate(m Evacuate, now time.Time) {
	order := model.Evacuation{DataCentre: m.DataCentre, Evacuated: m.Evacuated}
	n.propose(fleet.Command{Kind: fleet.KindEvacuate, Evacuation: &order}, m.Reply, now)
}

// evacuations returns the evacuated data centres that this host knows of, which may be outdated. They
// are from the same source as the placements: a placer must not learn of its placement from a message
// with an older state of the evacuations.
func (n *Core) evacuations() model.Evacuations {
	if n.replica == nil || n.fullDisk.placementsKnown {
		return n.reportedEvacuations
	}
	return n.state.Evacuations()
}
