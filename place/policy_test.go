package place

import (
	"testing"
	"time"
)

var policies = map[string]func(sc scenario) policy{
	"Placer":     func(sc scenario) policy { return placerPolicy(simPlacer(sc)) },
	"RoundRobin": func(sc scenario) policy { return roundRobin(sc.servers) },
	"NoFairness": func(sc scenario) policy { return without(sc, func(c *config) { c.fair = false }) },
	"NoEjection": func(sc scenario) policy { return without(sc, func(c *config) { c.eject = false }) },
	"NoHold":     func(sc scenario) policy { return without(sc, func(c *config) { c.hold = false }) },
	"NoSpeeds":   func(sc scenario) policy { return without(sc, func(c *config) { c.learn = false }) },
}

func simPlacer(sc scenario, opts ...Option) *Placer {
	return newPlacer(listsOf(plan("quiet", 1), plan("noisy", 1)), sc.servers, simServerSlots, opts...)
}

func without(sc scenario, off func(c *config)) policy { return placerPolicy(simPlacer(sc, off)) }

// placerPolicy returns a policy that places tasks with p.
func placerPolicy(p *Placer) policy {
	return policy{
		submit:   func(req Request, now time.Time) { p.Submit(req, now) },
		complete: p.Complete,
		tick: func(now time.Time) ([]Grant, time.Time) {
			p.Tick(now)
			return p.Drain().Grants, p.NextWake(now)
		},
	}
}

// roundRobin returns the naive policy: tasks in the order of arrival, each to
// the next server with a free slot.
func roundRobin(servers int) policy {
	var queue []Grant
	used, where, next, running := make([]int, servers), map[uint64]int{}, 0, 0
	return policy{
		submit: func(req Request, _ time.Time) {
			for _, t := range req.Tasks {
				queue = append(queue, Grant{Job: req.Job, Task: t.Index})
			}
		},
		complete: func(d Completion, _ time.Time) {
			used[where[d.Grant]]--
			running--
		},
		tick: func(time.Time) (grants []Grant, _ time.Time) {
			for ; len(queue) > 0 && running < servers*simServerSlots; next = (next + 1) % servers {
				if used[next] == simServerSlots {
					continue
				}
				g := queue[0]
				g.ID, g.BackendServer = uint64(len(where)), backend(next, 0).Name
				queue, grants, where[g.ID] = queue[1:], append(grants, g), next
				used[next]++
				running++
			}
			return grants, time.Time{}
		},
	}
}

var scenarios = map[string]scenario{
	"Light":        {servers: 50, spread: 4, load: 0.1, noisy: 1, jobs: 4000},
	"Load50":       {servers: 50, spread: 4, load: 0.5, noisy: 1, jobs: 4000},
	"Load80":       {servers: 50, spread: 4, load: 0.8, noisy: 1, jobs: 8000},
	"Load120":      {servers: 50, spread: 4, load: 1.2, noisy: 1, jobs: 8000},
	"Broken":       {servers: 50, spread: 4, load: 0.5, noisy: 1, broken: 1, jobs: 4000},
	"Noisy9":       {servers: 50, spread: 4, load: 1.2, noisy: 9, jobs: 8000},
	"LightEqual":   {servers: 50, spread: 1, load: 0.1, noisy: 1, jobs: 4000},
	"SmallHalf":    {servers: 4, spread: 4, load: 0.5, noisy: 1, jobs: 4000},
	"TwoServers":   {servers: 2, spread: 4, load: 0.3, noisy: 1, jobs: 4000},
	"SmallLight":   {servers: 4, spread: 4, load: 0.2, noisy: 1, jobs: 4000},
	"BrokenNoisy":  {servers: 50, spread: 4, load: 1.2, noisy: 9, broken: 3, jobs: 8000},
	"Deadline120":  {servers: 50, spread: 4, load: 1.2, noisy: 1, jobs: 8000, deadline: 4 * time.Second},
	"Deadline80":   {servers: 50, spread: 4, load: 0.8, noisy: 1, jobs: 8000, deadline: 4 * time.Second},
	"BrokenLoad80": {servers: 50, spread: 4, load: 0.8, noisy: 1, broken: 3, jobs: 8000},
}

// BenchmarkPolicy reports response times relative to the ideal ones, by scenario and policy.
func BenchmarkPolicy(b *testing.B) {
	for name, sc := range scenarios {
		for policyName, newPolicy := range policies {
			b.Run(name+"/"+policyName, func(b *testing.B) {
				var s *sim
				for range b.N {
					s = simulate(sc, newPolicy(sc))
				}
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(s.quantile("quiet", 0.5), "quiet-p50")
				b.ReportMetric(s.quantile("quiet", 0.99), "quiet-p99")
				b.ReportMetric(s.quantile("noisy", 0.5), "noisy-p50")
				b.ReportMetric(s.quantile("noisy", 0.99), "noisy-p99")
				b.ReportMetric(float64(s.failed), "failed")
				b.ReportMetric(float64(s.onTime), "onTime")
			})
		}
	}
}

// Every mechanism is needed: its goal is reached with it and missed without it.
func TestMechanisms(t *testing.T) {
	tests := map[string]struct {
		sc  scenario
		off func(c *config)
		met func(s *sim) bool
	}{
		"fairness keeps a noisy customer from delaying others more than the slowest server does": {
			sc:  scenario{servers: 20, spread: 4, load: 1.2, noisy: 9, jobs: 2000},
			off: func(c *config) { c.fair = false },
			met: func(s *sim) bool { return s.quantile("quiet", 0.9) < 4 },
		},
		"ejection keeps a broken server from failing a hundredth of the jobs": {
			sc:  scenario{servers: 20, spread: 4, load: 0.5, noisy: 1, broken: 1, jobs: 2000},
			off: func(c *config) { c.eject = false },
			met: func(s *sim) bool { return s.failed < 20 },
		},
		"holding leaves the slowest server idle while waiting is faster": {
			sc:  scenario{servers: 4, spread: 4, load: 0.2, noisy: 1, jobs: 2000},
			off: func(c *config) { c.hold = false },
			met: func(s *sim) bool { return s.quantile("quiet", 0.99) < 4 },
		},
		"learned speeds keep most jobs on the faster half": {
			sc:  scenario{servers: 20, spread: 4, load: 0.2, noisy: 1, jobs: 2000},
			off: func(c *config) { c.learn = false },
			met: func(s *sim) bool { return s.quantile("quiet", 0.5) < 1.5 },
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if !tt.met(simulate(tt.sc, placerPolicy(simPlacer(tt.sc)))) {
				t.Error("goal missed with the mechanism")
			}
			if tt.met(simulate(tt.sc, without(tt.sc, tt.off))) {
				t.Error("goal reached without the mechanism")
			}
		})
	}
}

// Under overload nine tenths of the jobs that the capacity allows end in time, and
// more than with round robin.
func TestDeadlinesUnderOverload(t *testing.T) {
	sc := scenario{servers: 20, spread: 4, load: 1.2, noisy: 1, jobs: 2000, deadline: 4 * time.Second}
	placed, robin := simulate(sc, placerPolicy(simPlacer(sc))), simulate(sc, roundRobin(sc.servers))
	if want := int(0.9 * float64(sc.jobs) / sc.load); placed.onTime < want || placed.onTime <= robin.onTime {
		t.Errorf("%d jobs on time, want %d; round robin %d", placed.onTime, want, robin.onTime)
	}
}
