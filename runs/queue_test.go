package runs

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// scanOptions is options without the eligible servers that a dispatch keeps.
func scanOptions(p *Placer, t *task, now time.Time) (first option, fastest time.Duration) {
	for _, s := range p.order {
		if s.Service != t.job.Service || !s.usable(now) || !p.allowed(t, s) {
			continue
		}
		o := option{server: s, expected: p.speeds.expected(t.job.Demand.Expected, s)}
		if fastest == 0 || o.expected < fastest {
			fastest = o.expected
		}
		if !s.hasRoom(t.job.Demand) {
			continue
		}
		if s.Name == t.avoid {
			o.expected *= stuckFactor
		}
		if o.before(first) && !s.leaseLimit(now.Add(minLease)).Before(now.Add(minLease)) {
			first = o
		}
	}
	return first, fastest
}

// TestEligible compares the server that is chosen for each of many tasks of one dispatch with that of a
// scan of all servers, for random servers: of two services, unusable, full, slow, with a label.
func TestEligible(t *testing.T) {
	tests := map[string]model.Demand{
		"any server":      {CPU: 4000, MemoryMB: 1, Expected: 100 * time.Millisecond},
		"no run time":     {CPU: 1000, MemoryMB: 1},
		"a label":         {CPU: 4000, MemoryMB: 1, Expected: 100 * time.Millisecond, Label: "a"},
		"one a server":    {CPU: 1000, MemoryMB: 1, Expected: 100 * time.Millisecond, PerServer: 1},
		"larger than all": {CPU: 90000, MemoryMB: 1, Expected: 100 * time.Millisecond},
	}
	for name, demand := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(200) {
				rng := rand.New(rand.NewPCG(seed, 1))
				p, now := randomServers(rng)
				j := &job{Job: Job{ID: "j", Service: "svc", Demand: demand, Arrived: now, Objective: time.Second, Expires: time.Second}}
				j.waiters = []waiter{p.waiterOf(Job{Host: "h1"})}
				p.eligible = map[string]*eligible{}
				for i := range 30 {
					tk := &task{job: j, name: fmt.Sprintf("j.0.0.%d", i)}
					if rng.IntN(4) == 0 {
						tk.avoid = fmt.Sprintf("s%02d", rng.IntN(20))
					}
					first, fastest := p.options(tk, now)
					want, wantFastest := scanOptions(p, tk, now)
					if first != want || fastest != wantFastest {
						t.Fatalf("seed %d, task %d: %+v and %v, want %+v and %v", seed, i, first, fastest, want, wantFastest)
					}
					if first.server == nil {
						break
					}
					p.startOn(tk, first.server, now)
				}
			}
		})
	}
}

// randomServers returns a placer with 20 random servers.
func randomServers(rng *rand.Rand) (*Placer, time.Time) {
	now := time.Unix(1000, 0)
	p := New(1, true, now)
	var servers []model.Server
	for i := range 20 {
		s := model.Server{Name: fmt.Sprintf("s%02d", i), Service: "svc", CPU: 1000 * int64(4+rng.IntN(20)), MemoryMB: 1000, Labels: []string{string(rune('a' + rng.IntN(2)))}}
		if rng.IntN(6) == 0 {
			s.Service = "other"
		}
		servers = append(servers, s)
	}
	p.TakeOver(servers, now)
	p.ConfirmWait("h1", now)
	for _, s := range p.order {
		s.polled, s.silent, s.Draining = rng.IntN(8) > 0, rng.IntN(8) == 0, rng.IntN(8) == 0
		s.health.slowness = rng.Float64() - 0.5
		s.used.CPU = int64(rng.IntN(int(s.CPU)))
	}
	return p, now
}
