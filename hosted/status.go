package hosted

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/core"
	"dogwoodrock.example/dogwoodrock/entry"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/runs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// reportTimeout is how long the services of a host may take to report. They normally answer within a
// tick.
const reportTimeout = time.Second

// Operators returns the HTTP handler for operators: the metrics and the report of this host.
func (h *Host) Operators(find func(string) (kernel.Ref, error)) (http.Handler, error) {
	report := h.reportEntry
	if h.Settings.DataFolder != "" {
		report = h.reportCore
	}
	e := echo.New()
	e.GET("/metrics", echo.WrapHandler(h.Metrics.Handler()))
	e.GET("/v1/host", func(c echo.Context) error {
		ctx, cancel := context.WithTimeout(c.Request().Context(), reportTimeout)
		defer cancel()
		r, err := report(ctx, find)
		if err != nil {
			return body.Write(c, http.StatusServiceUnavailable, &wire.Refusal{
				Code: string(model.CodeUnavailable), Reason: err.Error(), NotRun: true,
			})
		}
		r.Host, r.DataCentre = h.self.Name, h.self.DataCentre
		return body.Write(c, http.StatusOK, r)
	})
	return e, nil
}

func (h *Host) reportCore(ctx context.Context, find func(string) (kernel.Ref, error)) (*wire.HostReport, error) {
	v, err := inspect(ctx, find, msgs.ServiceCore, func(reply func(core.View)) any { return core.Inspect{Reply: reply} })
	if err != nil {
		return nil, err
	}
	r := &wire.HostReport{
		RoutesVersion: v.Routes, RoutesMsAgo: uint64(v.RoutesAge.Milliseconds()),
		Leader: v.Leader, Members: v.Members, Placements: placementReports(v.Placements),
		Evacuated: v.Evacuated.DataCentres, EvacuationVersion: v.Evacuated.Version,
	}
	for _, s := range v.Hosts {
		r.Hosts = append(r.Hosts, &wire.HostSeen{
			Name: s.Host, DataCentre: s.DataCentre, RoutesVersion: s.Routes,
			SeenMsAgo: uint32(s.Age.Milliseconds()), Leaving: s.Leaving,
		})
	}
	return r, nil
}

func (h *Host) reportEntry(ctx context.Context, find func(string) (kernel.Ref, error)) (*wire.HostReport, error) {
	v, err := inspect(ctx, find, msgs.ServiceEntry, func(reply func(entry.View)) any { return entry.Inspect{Reply: reply} })
	if err != nil {
		return nil, err
	}
	p, err := inspect(ctx, find, msgs.ServicePlacer, func(reply func(placer.View)) any { return placer.Inspect{Reply: reply} })
	if err != nil {
		return nil, err
	}
	return &wire.HostReport{
		RoutesVersion: v.Routes, RoutesMsAgo: uint64(v.RoutesAge.Milliseconds()), OpenJobs: uint32(v.Jobs),
		Leader: v.Leader, Members: v.Members, Placements: placementReports(v.Placements), Placer: placerReport(p),
		Evacuated: v.Evacuated.DataCentres, EvacuationVersion: v.Evacuated.Version,
	}, nil
}

// inspect requests the view of a service of this host.
func inspect[T any](ctx context.Context, find func(string) (kernel.Ref, error), service string, build func(reply func(T)) any) (T, error) {
	ref, err := find(service)
	if err != nil {
		var none T
		return none, err
	}
	return kernel.Ask(ctx, ref, build)
}

func placementReports(all []model.Placement) []*wire.PlacementReport {
	var list []*wire.PlacementReport
	for _, p := range all {
		r := &wire.PlacementReport{DataCentre: p.DataCentre, Host: p.Host, Epoch: p.Epoch}
		if p.Count() > 1 {
			r.Shard, r.Shards = proto.Uint32(uint32(p.Shard)), proto.Uint32(uint32(p.Count()))
		}
		list = append(list, r)
	}
	return list
}

func placerReport(v placer.View) *wire.PlacerReport {
	if v.Epoch == 0 {
		return nil
	}
	r := &wire.PlacerReport{Epoch: v.Epoch, Jobs: uint32(v.Jobs), Waiting: uint32(v.Waiting)}
	for _, k := range v.Kinds {
		r.Kinds = append(r.Kinds, kindReport(k))
	}
	return r
}

func kindReport(k runs.Kind) *wire.KindReport {
	return &wire.KindReport{
		Service: k.Service, Kind: k.Name, Servers: uint32(k.Servers), Usable: uint32(k.Usable),
		Ejected: uint32(k.Ejected), Silent: uint32(k.Silent), Runs: uint32(k.Runs), Speed: k.Speed,
	}
}
