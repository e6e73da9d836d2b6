package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// Inspect is a request for a View.
type Inspect struct {
	Reply func(View)
}

// View is the state of the core as one of its hosts knows it.
type View struct {
	Routes     uint64        // newest version known to be committed, 0 for none
	RoutesAge  time.Duration // since this host received that version
	Leader     string        // empty if unknown
	Members    []string
	Placements []model.Placement
	Evacuated  model.Evacuations
	Hosts      []fleet.HostInfo // entry hosts, on the leader only
}

func (n *Core) view(now time.Time) View {
	v := View{Routes: n.state.Routes().Version, Leader: n.leader, Members: n.members, Placements: n.placements(), Evacuated: n.evacuations()}
	if v.Routes > 0 {
		v.RoutesAge = now.Sub(n.routesSince)
	}
	if n.watch != nil {
		v.Hosts = n.watch.HostInfos(now)
	}
	return v
}
