package opcmd

import (
	"context"
	"fmt"
	"math"
	"strings"

	"dogwoodrock.example/dogwoodrock/wire"
)

// noValue fills table cells whose value is unknown.
const noValue = "-"

func explain(ctx context.Context, r *runner) error {
	e, err := r.client.Explain(ctx, r.Explain.Args.Customer)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	limits := [][]any{
		{"Customer", e.Customer, fmt.Sprintf("line %d of customers", e.CustomerLine)},
		{"Plan", e.Plan, fmt.Sprintf("line %d of plans", e.PlanLine)},
		{"ListsVersion", e.ListsVersion},
		{"Services", strings.Join(e.Services, " ")},
		{"MaxRunning", e.MaxRunning},
		{"MaxQueued", e.MaxQueued},
		{"StartsPerSecond", e.StartsPerSecond},
		{"MaxJobTasks", e.MaxJobTasks},
	}
	return r.show(e, table(limits)+"\n"+usageTable(e.Use))
}

func usageTable(use []*wire.CustomerUse) string {
	rows := [][]any{{"DATA CENTRE", "RUNNING", "OF", "QUEUED", "STARTS", "STARTS/S AT MOST", "REFUSALS"}}
	for _, u := range use {
		var refusals []string
		for _, count := range u.Refusals {
			refusals = append(refusals, fmt.Sprintf("%s=%d", count.Code, count.Count))
		}
		rows = append(rows, []any{
			u.DataCentre, u.Running, u.ShareRunning, u.Queued, u.Starts, u.ShareStartsPerSecond, strings.Join(refusals, " "),
		})
	}
	return table(rows)
}

func status(ctx context.Context, r *runner) error {
	if r.Status.Core {
		return systemStatus(ctx, r)
	}
	s, err := r.client.Status(ctx)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	host := [][]any{
		{"Host", s.Host},
		{"DataCentre", s.DataCentre},
		{"ListsVersion", s.ListsVersion},
		{"LastChangeSpreadMs", s.LastChangeSpreadMs},
	}
	parts := []string{
		table(host), hostTable(s.Hosts), groupTable(s.Groups),
		dataCentreTable(s.DataCentres), backendTable(s.BackendServers) + truncationNote(s.DataCentres),
	}
	return r.show(s, strings.Join(parts, "\n"))
}

func hostTable(hosts []*wire.HostStatus) string {
	rows := [][]any{{"HOST", "DATA CENTRE", "ADDRESS", "REACHABLE", "LISTS", "SEEN MS AGO"}}
	for _, h := range hosts {
		rows = append(rows, []any{h.Name, h.DataCentre, h.Address, h.Reachable, h.ListsVersion, h.SeenMsAgo})
	}
	return table(rows)
}

func groupTable(groups []*wire.GroupStatus) string {
	rows := [][]any{{"GROUP", "PRIMARY", "VIEW", "COMMIT", "LEADING", "RECOVERING"}}
	for _, g := range groups {
		rows = append(rows, []any{g.Name, orNoValue(g.Primary), g.View, g.Commit, g.Leading, g.Recovering})
	}
	return table(rows)
}

// orNoValue returns the name, or noValue if it is empty.
func orNoValue(name string) string {
	if name == "" {
		return noValue
	}
	return name
}

func dataCentreTable(all []*wire.DataCentreStatus) string {
	rows := [][]any{{"DATA CENTRE", "STATE", "PRIMARY", "VIEW", "COMMIT", "BACKEND SERVERS"}}
	for _, d := range all {
		switch {
		case !d.Reachable:
			rows = append(rows, []any{d.Name, "unreachable", noValue, noValue, noValue, noValue})
		case d.Alone:
			rows = append(rows, []any{d.Name, "alone", noValue, d.View, d.Commit, d.BackendServers})
		case d.Primary == "":
			rows = append(rows, []any{d.Name, "no primary", noValue, d.View, d.Commit, noValue})
		default:
			rows = append(rows, []any{d.Name, "serving", d.Primary, d.View, d.Commit, d.BackendServers})
		}
	}
	return table(rows)
}

// truncationNote lists the data centres with more backend servers than are shown.
func truncationNote(all []*wire.DataCentreStatus) string {
	var b strings.Builder
	for _, d := range all {
		if d.Shown < d.BackendServers {
			fmt.Fprintf(&b, "%s: only the first %d of %d backend servers are shown\n", d.Name, d.Shown, d.BackendServers)
		}
	}
	return b.String()
}

func backendTable(servers []*wire.BackendServerStatus) string {
	rows := [][]any{{"BACKEND SERVER", "DATA CENTRE", "ADDRESS", "SERVICES", "SLOTS", "GRANTED", "STATE", "SPEED"}}
	for _, b := range servers {
		rows = append(rows, []any{
			b.Name, b.DataCentre, b.Address, servicesOf(b), b.Slots, b.Granted, backendState(b), rounded(b.Speed),
		})
	}
	return table(rows)
}

// rounded rounds a factor to two decimal places.
func rounded(factor float64) float64 {
	return math.Round(factor*100) / 100
}

func servicesOf(b *wire.BackendServerStatus) string {
	text := strings.Join(b.Services, " ")
	if b.MoreServices > 0 {
		text += fmt.Sprintf(" and %d more", b.MoreServices)
	}
	return text
}

func backendState(b *wire.BackendServerStatus) string {
	switch {
	case b.Lapsed:
		return "lapsed"
	case b.Ejected:
		return "ejected"
	}
	return "serving"
}
