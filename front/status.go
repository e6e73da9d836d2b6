package front

import (
	"context"
	"net/http"
	"slices"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/group"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/keeper"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/wire"
)

// listsGroup is the name of the lists group in a status.
const listsGroup = "lists"

// readyz reports to the load balancer whether this host accepts requests: it is not shutting
// down, lists are active and the host holds a lease of its data centre's group.
func (f *Front) readyz(c echo.Context) error {
	if !f.ready.Load() {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	report, err := askJobs(f, c, func(reply func(jobs.Report)) any {
		return jobs.Inspect{Reply: reply}
	})
	if err != nil || report.Lists == 0 || !report.Leased {
		return c.NoContent(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}

func (f *Front) inspectGroup(c echo.Context) (group.Report, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), bodyTimeout)
	defer cancel()
	return kernel.Ask(ctx, f.group, func(reply func(group.Report)) any {
		return group.Inspect{Reply: reply}
	})
}

func (f *Front) status(c echo.Context) error {
	report, err := f.inspectLists(c)
	if err != nil {
		return f.fail(c, err)
	}
	g, err := f.inspectGroup(c)
	if err != nil {
		return f.fail(c, err)
	}
	all, err := askJobs(f, c, func(reply func([]msgs.StatusDone)) any {
		return jobs.Status{Reply: reply}
	})
	if err != nil {
		return f.fail(c, err)
	}
	s := f.localStatus(report, g)
	for _, done := range all {
		addDataCentre(s, done)
	}
	return answer(c, http.StatusOK, s)
}

// localStatus returns the part of the status that this host knows without asking other hosts.
func (f *Front) localStatus(report keeper.Report, g group.Report) *wire.Status {
	s := &wire.Status{
		Host:               f.Self.Name,
		DataCentre:         f.Self.DataCentre,
		ListsVersion:       report.Active.Update.Version,
		LastChangeSpreadMs: uint32(report.ReplicationTime.Milliseconds()),
	}
	for _, p := range report.Peers {
		i := slices.IndexFunc(f.Hosts, func(h model.Host) bool { return h.Name == p.Host })
		s.Hosts = append(s.Hosts, &wire.HostStatus{
			Name:         p.Host,
			DataCentre:   f.Hosts[i].DataCentre,
			Address:      f.Hosts[i].Address,
			Reachable:    p.Reachable,
			ListsVersion: p.Version,
			SeenMsAgo:    uint32(p.SeenAgo.Milliseconds()),
		})
	}
	s.Groups = append(s.Groups, f.groupStatus(f.Self.DataCentre, g.Primary, g.Replica, report.Peers))
	if report.Member {
		s.Groups = append(s.Groups, f.groupStatus(listsGroup, report.Primary, report.Replica, report.Peers))
	}
	return s
}

func (f *Front) groupStatus(name, primary string, r quorum.Status, peers []keeper.PeerReport) *wire.GroupStatus {
	return &wire.GroupStatus{
		Name: name, Primary: f.knownPrimary(primary, r.Leading, peers), View: r.View,
		Commit: r.Commit, Leading: r.Leading, Recovering: r.Recovering,
	}
}

// knownPrimary returns the primary of the view. It returns an empty name if this host can't tell
// whether the primary still leads: the primary is unreachable, or is this host without a lease.
func (f *Front) knownPrimary(primary string, leading bool, peers []keeper.PeerReport) string {
	if primary == f.Self.Name {
		if leading {
			return primary
		}
		return ""
	}
	i := slices.IndexFunc(peers, func(p keeper.PeerReport) bool { return p.Host == primary })
	if i < 0 || !peers[i].Reachable {
		return ""
	}
	return primary
}

// addDataCentre adds the answer of a data centre to the status, or that it didn't answer.
func addDataCentre(s *wire.Status, done msgs.StatusDone) {
	s.DataCentres = append(s.DataCentres, &wire.DataCentreStatus{
		Name: done.DataCentre, Reachable: done.Known, Host: done.Host, Primary: done.Primary, Alone: done.Alone, View: done.View, Commit: done.Commit,
		BackendServers: uint32(done.Total), Shown: uint32(len(done.BackendServers)),
	})
	for _, b := range done.BackendServers {
		s.BackendServers = append(s.BackendServers, &wire.BackendServerStatus{
			Name: b.Name, DataCentre: done.DataCentre, Address: b.Address, Services: b.Services, MoreServices: uint32(b.MoreServices),
			Slots: uint32(b.Slots), Granted: uint32(b.Granted), Lapsed: b.Lapsed, Ejected: b.Ejected, Speed: b.Speed,
		})
	}
}

func (f *Front) explain(c echo.Context) error {
	report, err := f.inspectLists(c)
	if err != nil {
		return f.fail(c, err)
	}
	customer := c.Param("customer")
	e, err := lists.Explain(&report.Active, customer)
	if err != nil {
		return f.fail(c, err)
	}
	use, err := askJobs(f, c, func(reply func([]msgs.UsageDone)) any {
		return jobs.Usage{Customer: customer, Reply: reply}
	})
	if err != nil {
		return f.fail(c, err)
	}
	w := &wire.Explain{
		Customer: customer, Plan: e.Plan.Name, CustomerLine: uint32(e.CustomerLine), PlanLine: uint32(e.PlanLine),
		ListsVersion: e.Version, Services: e.Plan.Services,
		MaxRunning: uint32(e.Plan.MaxRunning), MaxQueued: uint32(e.Plan.MaxQueued),
		StartsPerSecond: uint32(e.Plan.StartsPerSecond), MaxJobTasks: uint32(e.Plan.MaxJobTasks),
	}
	for _, u := range use {
		if u.Known {
			w.Use = append(w.Use, useOf(u))
		}
	}
	return answer(c, http.StatusOK, w)
}

func useOf(u msgs.UsageDone) *wire.CustomerUse {
	use := &wire.CustomerUse{
		DataCentre: u.DataCentre, Running: uint32(u.Running), Queued: uint32(u.Queued),
		ShareRunning: uint32(u.MaxRunning), ShareStartsPerSecond: uint32(u.StartsPerSecond),
		Starts: u.Granted,
	}
	for _, r := range u.Refused {
		use.Refusals = append(use.Refusals, &wire.RefusalCount{Code: string(r.Code), Count: r.Count})
	}
	return use
}
