package core

import (
	"testing"
	"time"
)

// TestRestartOfLeader restarts the leader, with or without a handover, and checks that each host then
// serves the routes or names a host that does.
func TestRestartOfLeader(t *testing.T) {
	tests := map[string]struct {
		handover bool
		down     time.Duration // maximum time between crash and restart
	}{
		"planned":       {handover: true, down: 400 * time.Millisecond},
		"planned, long": {handover: true, down: 3 * time.Second},
		"killed":        {down: 400 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				sim := newSimulation(t, seed)
				if !sim.waitUntilAvailable(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't answer within 10 s", seed)
				}
				for range 3 {
					h := sim.leader()
					sim.put(h.name, 1)
					sim.run(time.Duration(sim.rng.IntN(100)) * time.Millisecond)
					for tt.handover && !h.core.drain(nil) {
						sim.step()
					}
					h.crash()
					sim.run(time.Duration(sim.rng.Int64N(int64(tt.down))))
					h.boot(false)
					sim.run(3 * time.Second)
					for _, name := range names {
						if !sim.servesRoutes(name) {
							t.Fatalf("seed %d: %s neither serves the routes nor refers to a host that does", seed, name)
						}
					}
				}
			}
		})
	}
}

// servesRoutes reads the routes from a host, following its referrals to the leader.
func (sim *simulation) servesRoutes(host string) bool {
	for range names {
		var got *Answer
		sim.hosts[host].core.Handle(Read{Reply: func(a Answer) { got = &a }})
		sim.run(200 * time.Millisecond)
		switch {
		case got == nil:
			return false
		case got.Done:
			return true
		}
		host = got.Leader
		if host == "" {
			return false
		}
	}
	return false
}
