package place

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// runTasks runs tasks of two customers one after the other on six servers and
// returns the events.
func runTasks(p *Placer, tasks int, outcome func(i int, g Grant) Completion) (events []string) {
	now, done := start, 0
	for n := 0; done < tasks; n++ {
		p.Submit(jobOf(fmt.Sprint("j", n), []string{"x", "y"}[n%2], 6), now)
		now = now.Add(100 * ms)
		p.Tick(now)
		for {
			out := p.Drain()
			for _, e := range out.Events {
				events = append(events, fmt.Sprint(e.Kind, " ", e.BackendServer, " ", e.Cause))
			}
			if len(out.Grants) == 0 {
				break
			}
			for _, g := range slices.Clone(out.Grants) {
				d := outcome(done, g)
				d.Grant = g.ID
				p.Complete(d, now)
				done++
			}
		}
	}
	return events
}

func TestHealth(t *testing.T) {
	sound := Completion{RunTime: 100 * ms}
	badOn := func(bad Completion, servers ...string) func(int, Grant) Completion {
		return func(_ int, g Grant) Completion {
			if slices.Contains(servers, g.BackendServer) {
				return bad
			}
			return sound
		}
	}
	badFirst := func(n int, bad Completion, server string) func(int, Grant) Completion {
		return func(i int, g Grant) Completion {
			if i < n {
				return badOn(bad, server)(i, g)
			}
			return sound
		}
	}
	tests := map[string]struct {
		outcome func(int, Grant) Completion
		want    []string // distinct events in order of first occurrence
	}{
		"sound servers are not ejected":        {badOn(sound), nil},
		"a server that fails is ejected":       {badOn(Completion{Result: Failed}, "b001"), []string{"Ejected b001 Failing", "Probed b001 Failing"}},
		"a server that refuses is ejected":     {badOn(Completion{Result: NotStarted}, "b001"), []string{"Ejected b001 Refusing", "Probed b001 Refusing"}},
		"a server that hangs is ejected":       {badOn(Completion{Result: Unknown, RunTime: time.Second}, "b001"), []string{"Ejected b001 Failing", "Probed b001 Failing"}},
		"a far slower server is ejected":       {badOn(Completion{RunTime: 3 * time.Second}, "b001"), []string{"Ejected b001 Slow", "Probed b001 Slow"}},
		"a successful probe restores a server": {badFirst(40, Completion{Result: Failed}, "b001"), []string{"Ejected b001 Failing", "Probed b001 Failing", "Restored b001 Failing"}},
		"no ejection if all servers fail":      {func(int, Grant) Completion { return Completion{Result: Failed} }, nil},
		"no ejection if one customer's tasks fail on all servers": {func(_ int, g Grant) Completion {
			if g.Customer == "x" {
				return Completion{Result: Failed}
			}
			return sound
		}, nil},
		"no ejection if the host reaches no server": {func(int, Grant) Completion { return Completion{Result: NotStarted} }, nil},
		"at most a third of the servers is ejected": {
			badOn(Completion{Result: Failed}, "b001", "b002", "b003"),
			[]string{"Ejected b001 Failing", "Ejected b002 Failing", "Probed b001 Failing", "Probed b002 Failing"},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(plan("x", 1), plan("y", 1)), 6, 1)
			var got []string
			for _, e := range runTasks(p, 600, tt.outcome) {
				if !slices.Contains(got, e) {
					got = append(got, e)
				}
			}
			if !slices.Equal(got, tt.want) {
				t.Errorf("events %v, want %v", got, tt.want)
			}
		})
	}
}

// The interval between probes doubles after each failed probe, up to its upper bound.
func TestProbeIntervals(t *testing.T) {
	p := newPlacer(listsOf(plan("x", 1), plan("y", 1)), 6, 1, ProbeIntervals(time.Second, 4*time.Second))
	var intervals []time.Duration
	runTasks(p, 3000, func(_ int, g Grant) Completion {
		h := &p.servers["b001"].members[0].health
		if g.Probe {
			intervals = append(intervals, h.interval)
		}
		if g.BackendServer == "b001" {
			return Completion{Result: Failed}
		}
		return Completion{RunTime: 100 * ms}
	})
	want := []time.Duration{time.Second, 2 * time.Second, 4 * time.Second, 4 * time.Second}
	if len(intervals) < len(want) || !slices.Equal(intervals[:len(want)], want) {
		t.Errorf("intervals %v, want them to start with %v", intervals, want)
	}
}
