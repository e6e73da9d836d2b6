package core

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// Inspect asks for a View.
type Inspect struct {
	Reply func(View)
}

// View is what a host of the core knows.
type View struct {
	Routes     uint64        // newest version that this host knows to be committed
	RoutesAge  time.Duration // since it learned so
	Leader     string        // empty when none is known
	Members    []string
	Placements []model.Placement
	Hosts      []fleet.HostInfo // on the leader only
}

func (n *Node) view(now time.Time) View {
	v := View{Routes: n.state.Routes().Version, Leader: n.leader, Members: n.members, Placements: n.placements()}
	if v.Routes > 0 {
		v.RoutesAge = now.Sub(n.routesSince)
	}
	if n.watch != nil {
		v.Hosts = n.watch.HostInfos(now)
	}
	return v
}
