package entry

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Inspect requests a View.
type Inspect struct {
	Reply func(View)
}

// View is the state of the system as an entry host knows it.
type View struct {
	Routes     uint64        // version in force, 0 for none
	RoutesAge  time.Duration // since they came into force on this host
	Jobs       int           // open requests
	Leader     string        // of the core, empty while none is reached
	Members    []string      // of the core
	Placements []model.Placement
	Evacuated  model.Evacuations
}

func (n *JobService) view(now time.Time) View {
	v := View{Jobs: len(n.jobs), Members: n.core.names, Placements: model.SortPlacements(n.placements), Evacuated: n.evacuations.known}
	if n.leaderReached {
		v.Leader = n.leader
	}
	if n.routeTable != nil {
		v.Routes, v.RoutesAge = n.routeTable.Document.Version, now.Sub(n.routesSince)
	}
	return v
}
