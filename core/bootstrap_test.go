package core

import (
	"fmt"
	"testing"
	"time"
)

// TestBootstrap checks that all founding hosts become members and that the core survives the loss of
// a minority of them with their disks.
func TestBootstrap(t *testing.T) {
	tests := map[string]struct {
		hosts int // in addition to the seeds
		lost  int // hosts that lose their disks at the same time, a minority
	}{
		"the seeds alone":      {lost: 1},
		"twice the seeds":      {hosts: 3, lost: 2},
		"eight hosts":          {hosts: 5, lost: 3},
		"four, an even number": {hosts: 1, lost: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				sim := newSimulation(t, seed)
				for i := range tt.hosts {
					sim.addHost(fmt.Sprintf("d%d", i), true)
				}
				if !sim.waitUntilAvailable(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't answer within 10 s", seed)
				}
				for name, h := range sim.hosts {
					if got := len(h.core.members); got != len(names)+tt.hosts {
						t.Fatalf("seed %d: %s knows %d members", seed, name, got)
					}
				}
				sim.putAll()
				for i := range tt.lost {
					h := sim.hosts[names[(i+int(seed))%len(names)]]
					h.crash()
					h.wipe()
				}
				if !sim.waitUntilAvailable(8 * time.Second) {
					t.Fatalf("seed %d: the core doesn't answer within 8 s without %d members", seed, tt.lost)
				}
				for _, name := range names {
					if h := sim.hosts[name]; !h.up {
						h.boot(false)
					}
				}
				sim.run(4 * time.Second)
				sim.putAll()
				if sim.acked == 0 || t.Failed() {
					t.Fatalf("seed %d: acknowledged up to %d", seed, sim.acked)
				}
			}
		})
	}
}
