package quorum

import "testing"

// TestVoteOfEarlierIncarnation delays the vote of a backup until the backup has lost its state,
// recovered, and acknowledged an entry in the older view. The vote must not elect a primary that
// lacks the entry.
func TestVoteOfEarlierIncarnation(t *testing.T) {
	tests := map[string]struct {
		faults        faults
		wantViolation bool
	}{
		"counted":     {},
		"not counted": {faults: faults{noIncarnations: true}, wantViolation: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, testConfig(3))
			sim.faults = tt.faults
			sim.startAll()
			a, b, c := sim.find("a"), sim.find("b"), sim.find("c")
			a.pausedUntil = sim.nowMs + 400
			sim.run(400, nil) // the promises to a have expired, but no election timeout has
			b.r.Step(Message{Kind: KindStartViewChange, From: "c", To: "b", View: 2, Generation: b.r.generation}, b.now())
			delayed := b.r.Drain().Messages
			b.start()
			sim.run(300, nil)
			sim.isolate(c)
			sim.proposeMany(1)
			sim.run(400, nil)
			sim.heal()
			sim.blocked[[2]string{"a", "c"}], sim.blocked[[2]string{"c", "a"}] = true, true
			for _, m := range delayed {
				if m.To == "c" {
					c.r.Step(m, c.now())
				}
			}
			sim.run(50, nil)
			sim.healAndCheck()
			if got := len(sim.violations) > 0; got != tt.wantViolation {
				t.Errorf("violations %v, want %v", sim.violations, tt.wantViolation)
			}
		})
	}
}

// TestRecoveryDuringElection restarts a group of which one member has lost its disk. That member is
// partitioned from the old primary while it fetches the log, and the new primary sends it the log
// without a request. The member still has to learn the members of the group.
func TestRecoveryDuringElection(t *testing.T) {
	tests := map[string]struct{ entries int }{
		"no entry":                          {},
		"a log that fits into one message":  {entries: 11},
		"a log of several messages":         {entries: 40},
		"a log that starts with a snapshot": {entries: 150},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(20) {
				cfg := testConfig(3)
				cfg.Durable = true
				sim := newSimulation(seed, cfg)
				sim.startAll()
				sim.proposeMany(tt.entries)
				sim.run(200, nil)
				for _, h := range sim.hosts {
					h.running = false
				}
				old, lost := sim.find("a"), sim.find("c")
				lost.synced = Saved{}
				for _, h := range sim.hosts {
					h.start()
				}
				for lost.r.fetch == nil && sim.nowMs < 5_000 {
					sim.run(1, nil)
				}
				sim.block(old, true, true, sim.find("b").slot)
				sim.run(3_000, nil)
				if n := len(sim.voting()); n != 3 || len(sim.violations) > 0 {
					t.Errorf("seed %d: %d members vote, %v", seed, n, sim.violations)
				}
			}
		})
	}
}
