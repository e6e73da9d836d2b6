package opcmd

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"net"
	"slices"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/wire"
)

// reportTimeout limits the request to one host. It is twice the timeout that the host uses for its
// own services.
const reportTimeout = 2 * time.Second

// systemStatus collects the reports of one host, of the members and placers that it names, and of
// all hosts that the core's leader knows.
func systemStatus(ctx context.Context, r *runner) error {
	first, err := r.client.HostReport(ctx)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	s := &reportCollector{runner: r, requested: map[string]bool{}}
	s.add(first)
	s.collect(ctx, slices.Concat(first.Members, placerHosts(first.Placements)))
	if leader := s.leader(); leader != nil {
		s.collect(ctx, hostNames(leader.Hosts))
	}
	slices.SortFunc(s.status.Reports, func(a, b *wire.HostReport) int {
		return strings.Compare(a.DataCentre+" "+a.Host, b.DataCentre+" "+b.Host)
	})
	slices.Sort(s.status.Unreachable)
	parts := []string{s.coreTable(), reportTable(s.status.Reports), placerTable(s.status.Reports), kindTable(s.status.Reports)}
	return r.show(&s.status, strings.Join(parts, "\n"))
}

// reportCollector collects the reports of hosts.
type reportCollector struct {
	*runner
	status    wire.SystemStatus
	requested map[string]bool // by host name
}

func (s *reportCollector) add(r *wire.HostReport) {
	s.requested[r.Host] = true
	s.status.Reports = append(s.status.Reports, r)
}

// collect requests the reports of those hosts that were not requested before, concurrently.
func (s *reportCollector) collect(ctx context.Context, hosts []string) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	type answer struct {
		host   string
		report *wire.HostReport
		err    error
	}
	answers, pending := make(chan answer), 0
	for _, host := range hosts {
		if s.requested[host] {
			continue
		}
		s.requested[host] = true
		pending++
		go func() {
			report, err := s.report(ctx, host)
			answers <- answer{host: host, report: report, err: err}
		}()
	}
	for range pending {
		a := <-answers
		if a.err != nil {
			s.status.Unreachable = append(s.status.Unreachable, a.host)
			continue
		}
		s.status.Reports = append(s.status.Reports, a.report)
	}
}

// report requests the report of one host, at the port of the first host in the options.
func (s *reportCollector) report(ctx context.Context, host string) (*wire.HostReport, error) {
	_, port, err := net.SplitHostPort(s.Hosts[0])
	if err != nil {
		return nil, err
	}
	c, err := s.NewClient([]string{net.JoinHostPort(host, port)})
	if err != nil {
		return nil, err
	}
	return c.HostReport(ctx)
}

// leader returns the report of the core's leader, nil if the leader was not reached.
func (s *reportCollector) leader() *wire.HostReport {
	i := slices.IndexFunc(s.status.Reports, func(r *wire.HostReport) bool { return r.Leader == r.Host && r.Leader != "" })
	if i < 0 {
		return nil
	}
	return s.status.Reports[i]
}

func (s *reportCollector) coreTable() string {
	rows := [][]any{{"Leader", noValue}, {"Members", noValue}, {"Routes", noValue}, {"Evacuated", noValue}, {"Unreachable", orNoValue(strings.Join(s.status.Unreachable, " "))}}
	if l := s.leader(); l != nil {
		rows[0][1], rows[1][1], rows[2][1] = l.Host, strings.Join(l.Members, " "), l.RoutesVersion
		rows[3][1] = orNoValue(strings.Join(l.Evacuated, " "))
	}
	return table(rows)
}

func reportTable(reports []*wire.HostReport) string {
	rows := [][]any{{"HOST", "DATA CENTRE", "ROUTES", "IN FORCE FOR", "EVACUATIONS", "OPEN JOBS", "LEADER"}}
	for _, r := range reports {
		rows = append(rows, []any{r.Host, r.DataCentre, r.RoutesVersion, millis(r.RoutesMsAgo), r.EvacuationVersion, r.OpenJobs, orNoValue(r.Leader)})
	}
	return table(rows)
}

// placedShard identifies a shard and is printed as its data centre and, if that has several, its number.
type placedShard struct {
	dataCentre    string
	shard, shards uint32
}

func (p placedShard) compare(other placedShard) int {
	return cmp.Or(cmp.Compare(p.dataCentre, other.dataCentre), cmp.Compare(p.shard, other.shard))
}

func (p placedShard) label() string {
	if p.shards <= 1 {
		return p.dataCentre
	}
	return fmt.Sprintf("%s %d/%d", p.dataCentre, p.shard, p.shards)
}

// placerTable shows the placer of each shard, by the highest epoch that any host reports.
func placerTable(reports []*wire.HostReport) string {
	latest, placers := map[placedShard]*wire.PlacementReport{}, map[string]*wire.PlacerReport{}
	for _, r := range reports {
		for _, p := range r.Placements {
			key := placedShard{dataCentre: p.DataCentre, shard: p.GetShard(), shards: p.GetShards()}
			if known := latest[key]; known == nil || known.Epoch < p.Epoch {
				latest[key] = p
			}
		}
		if r.Placer != nil {
			placers[r.Host] = r.Placer
		}
	}
	rows := [][]any{{"DATA CENTRE", "PLACER", "EPOCH", "JOBS", "WAITING"}}
	for _, key := range slices.SortedFunc(maps.Keys(latest), placedShard.compare) {
		p := latest[key]
		row := []any{key.label(), p.Host, p.Epoch, noValue, noValue}
		if report := placers[p.Host]; report != nil && report.Epoch == p.Epoch {
			row[3], row[4] = report.Jobs, report.Waiting
		}
		rows = append(rows, row)
	}
	return table(rows)
}

func kindTable(reports []*wire.HostReport) string {
	rows := [][]any{{"DATA CENTRE", "SERVICE", "KIND", "SERVERS", "USABLE", "EJECTED", "SILENT", "RUNS", "SPEED"}}
	for _, r := range reports {
		for _, k := range r.GetPlacer().GetKinds() {
			rows = append(rows, []any{r.DataCentre, k.Service, k.Kind, k.Servers, k.Usable, k.Ejected, k.Silent, k.Runs, rounded(k.Speed)})
		}
	}
	return table(rows)
}

func placerHosts(all []*wire.PlacementReport) []string {
	var names []string
	for _, p := range all {
		names = append(names, p.Host)
	}
	return names
}

func hostNames(all []*wire.HostSeen) []string {
	var names []string
	for _, h := range all {
		names = append(names, h.Name)
	}
	return names
}

func millis(ms uint64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
