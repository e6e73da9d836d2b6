package group

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Inspect requests a Report. Reply receives it in the Member's task.
type Inspect struct {
	Reply func(Report)
}

// Report is the state of the group as this host knows it.
type Report struct {
	Replica quorum.Status
	Primary string
	Counts  claim.Counts
}

func (n *Member) inspect(now time.Time) Report {
	s := n.replica.Status(now)
	return Report{Replica: s, Primary: n.primaryOf(s), Counts: n.registry.Counts()}
}

// primaryOf returns the name of the primary of the replica's view, or "" while there is none.
func (n *Member) primaryOf(s quorum.Status) string {
	if s.Primary < 0 || s.Primary >= len(n.Members) {
		return ""
	}
	return n.Members[s.Primary].Name
}

// handleStatus answers with the status of the data centre as this host knows it.
func (n *Member) handleStatus(m msgs.StatusAsk, now time.Time) {
	s := n.replica.Status(now)
	done := msgs.StatusDone{
		Request: m.Request, DataCentre: n.Self.DataCentre, Known: true, Host: n.Self.Name,
		Alone: n.alone != nil, View: s.View, Commit: s.Commit,
	}
	if n.primary != nil {
		done.Primary = n.Self.Name
	}
	if p := n.activePlacer(); p != nil {
		all := p.placer.BackendStatus()
		done.Total = len(all)
		for _, b := range all[:min(len(all), msgs.MaxStatusBackends)] {
			done.BackendServers = append(done.BackendServers, backendState(b))
		}
	}
	_ = n.Send(m.Host, msgs.ServiceJobs, done)
}

func backendState(b place.BackendStatus) msgs.BackendState {
	state := msgs.BackendState{
		Name: b.BackendServer, Address: b.Address, Slots: b.Slots, Granted: b.Running, Lapsed: !b.Announced,
	}
	for _, m := range b.Services {
		state.Ejected = state.Ejected || m.State != place.StateHealthy
		if m.Factor > 0 {
			state.Speed = 1 / m.Factor
		}
		if len(state.Services) == msgs.MaxStatusServices {
			state.MoreServices++
			continue
		}
		state.Services = append(state.Services, m.Service)
	}
	return state
}

// handleUsage answers with a customer's usage in this data centre.
func (n *Member) handleUsage(m msgs.UsageAsk, now time.Time) {
	u := n.primary.placer.Usage(m.Customer, now)
	done := msgs.UsageDone{
		Request:         m.Request,
		DataCentre:      n.Self.DataCentre,
		Known:           true,
		Running:         u.Running,
		Queued:          u.Queued,
		MaxRunning:      u.MaxRunning,
		StartsPerSecond: u.StartsPerSecond,
		Granted:         u.Granted,
	}
	refused := n.primary.refusalCounts[m.Customer]
	for _, code := range slices.Sorted(maps.Keys(refused)) {
		done.Refused = append(done.Refused, msgs.CodeCount{Code: code, Count: refused[code]})
	}
	_ = n.Send(m.Host, msgs.ServiceJobs, done)
}
