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
			w := newWorld(1, testConfig(3))
			w.faults = tt.faults
			w.startAll()
			a, b, c := w.find("a"), w.find("b"), w.find("c")
			a.pausedUntil = w.nowMs + 400
			w.run(400, nil) // the promises to a have expired, but no election timeout has
			b.r.Step(Message{Kind: KindStartViewChange, From: "c", To: "b", View: 2, Generation: b.r.generation}, b.now())
			delayed := b.r.Drain().Messages
			b.start()
			w.run(300, nil)
			w.isolate(c)
			w.proposeMany(1)
			w.run(400, nil)
			w.heal()
			w.blocked[[2]string{"a", "c"}], w.blocked[[2]string{"c", "a"}] = true, true
			for _, m := range delayed {
				if m.To == "c" {
					c.r.Step(m, c.now())
				}
			}
			w.run(50, nil)
			w.healAndCheck()
			if got := len(w.violations) > 0; got != tt.wantViolation {
				t.Errorf("violations %v, want %v", w.violations, tt.wantViolation)
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
				w := newWorld(seed, cfg)
				w.startAll()
				w.proposeMany(tt.entries)
				w.run(200, nil)
				for _, h := range w.hosts {
					h.running = false
				}
				old, lost := w.find("a"), w.find("c")
				lost.synced = Saved{}
				for _, h := range w.hosts {
					h.start()
				}
				for lost.r.fetch == nil && w.nowMs < 5_000 {
					w.run(1, nil)
				}
				w.block(old, true, true, w.find("b").slot)
				w.run(3_000, nil)
				if n := len(w.voting()); n != 3 || len(w.violations) > 0 {
					t.Errorf("seed %d: %d members vote, %v", seed, n, w.violations)
				}
			}
		})
	}
}
