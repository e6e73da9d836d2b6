package bench

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// Table writes the report as text in two columns.
func (r Report) Table(w io.Writer) error {
	const padding = 2
	t := tabwriter.NewWriter(w, 0, 0, padding, ' ', 0)
	row := func(name string, format string, values ...any) {
		_, _ = fmt.Fprintf(t, "%s\t%s\n", name, fmt.Sprintf(format, values...))
	}
	row("jobs", "%d, %d complete, %d wrong answers", r.Jobs, r.Complete, r.WrongAnswers)
	row("tasks", "%d", r.Tasks)
	row("response time / ideal", "p50 %.2f, p99 %.2f", r.RatioP50, r.RatioP99)
	row("on time", "%.1f%%", percent(r.OnTime))
	for _, c := range r.Customers {
		row("  "+c.Name, "%.1f%% of %d jobs, %d complete", percent(c.OnTime), c.Jobs, c.Complete)
	}
	for _, c := range r.Refusals {
		row("not complete: "+c.Code, "%d", c.Count)
	}
	row("wasted messages / task", "%.3f", r.Wasted.PerTask)
	row("  refused", "%d, %d over the slots, %d stale", r.Wasted.Refused, r.Wasted.OverSlots, r.Wasted.Stale)
	row("  retried", "%d", r.Wasted.Retried)
	row("  duplicated", "%d", r.Wasted.Duplicated)
	row("  too late", "%d", r.Wasted.Late)
	return t.Flush()
}

func percent(fraction float64) float64 {
	const hundred = 100
	return hundred * fraction
}
