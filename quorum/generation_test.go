package quorum

import (
	"testing"
	"time"
)

// TestGeneration checks which members form a generation after losses of state: a majority without
// state must not form a new one unless WithFormAfter allows it, and a member with an old generation
// must abandon it then.
func TestGeneration(t *testing.T) {
	const formAfter = 5 * time.Second
	tests := map[string]struct {
		formAfter         time.Duration
		stateLost         bool // known to have lost its state
		start             []string
		isolated          string   // isolated with its state while others lose theirs
		restarted         []string // lose their state
		wantLeader        bool     // whether there is a leader at the end
		wantNewGeneration bool     // whether the generation at the end is a new one
		wantVoting        int
	}{
		"first start":             {start: []string{"a", "b", "c"}, wantLeader: true, wantVoting: 3},
		"first start without one": {start: []string{"b", "c"}},
		"first start without one, new generation allowed": {start: []string{"b", "c"}, formAfter: formAfter, wantLeader: true, wantVoting: 2},
		"members with lost disks form no generation":      {start: []string{"a", "b", "c"}, stateLost: true},
		"all lose their state":                            {start: []string{"a", "b", "c"}, restarted: []string{"a", "b", "c"}, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"one loses its state":                             {start: []string{"a", "b", "c"}, restarted: []string{"a"}, wantLeader: true, wantVoting: 3},
		"one loses its state while another is isolated":   {start: []string{"a", "b", "c"}, isolated: "c", restarted: []string{"b"}, wantLeader: true, wantVoting: 3},
		"two lose their state":                            {start: []string{"a", "b", "c"}, restarted: []string{"a", "b"}, wantVoting: 1},
		"two lose their state, new generation allowed":    {start: []string{"a", "b", "c"}, restarted: []string{"a", "b"}, formAfter: formAfter, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"the isolated third abandons its generation":      {start: []string{"a", "b", "c"}, isolated: "a", restarted: []string{"b", "c"}, formAfter: formAfter, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"third isolated, no new generation allowed":       {start: []string{"a", "b", "c"}, isolated: "c", restarted: []string{"a", "b"}, wantVoting: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(1, testConfig(3))
			if tt.formAfter > 0 {
				sim.opts = append(sim.opts, WithFormAfter(tt.formAfter))
			}
			if tt.stateLost {
				sim.opts = append(sim.opts, WithRecovering())
			}
			for _, name := range tt.start {
				sim.find(name).start()
			}
			sim.run(7_000, nil)
			before := uint64(0)
			if l := sim.leader(); l != nil {
				before = l.status().Generation
				sim.proposeMany(1)
				sim.run(200, nil)
			}
			if tt.isolated != "" {
				sim.isolate(sim.find(tt.isolated))
			}
			if len(tt.restarted) > 1 {
				clear(sim.hashes) // a majority has lost the committed entries
			}
			for _, name := range tt.restarted {
				sim.find(name).start()
			}
			sim.run(8_000, nil)
			if tt.isolated != "" && tt.formAfter == 0 && sim.leader() != nil {
				t.Error("there is a leader without a quorum")
			}
			sim.heal()
			sim.run(5_000, nil)
			checkGeneration(t, sim, before, tt.wantLeader, tt.wantNewGeneration, tt.wantVoting)
		})
	}
}

// TestFormAfterCrash crashes the host that would form the generation before the delay of
// WithFormAfter has elapsed. The next host has to form it.
func TestFormAfterCrash(t *testing.T) {
	sim := newSimulation(1, testConfig(3))
	sim.opts = append(sim.opts, WithFormAfter(3*time.Second))
	sim.find("a").start()
	sim.find("b").start()
	sim.run(2000, nil)
	sim.find("a").running = false
	sim.find("c").start()
	sim.run(5000, nil)
	checkGeneration(t, sim, 0, true, true, 2)
}

func checkGeneration(t *testing.T, sim *simulation, before uint64, wantLeader, wantNewGeneration bool, wantVoting int) {
	t.Helper()
	l := sim.leader()
	if (l != nil) != wantLeader {
		t.Fatalf("has a leader: %v, want %v", l != nil, wantLeader)
	}
	if n := len(sim.voting()); n != wantVoting {
		t.Errorf("%d members vote, want %d", n, wantVoting)
	}
	if wantLeader && (l.status().Generation != before) != wantNewGeneration && before != 0 {
		t.Errorf("generation %d, was %d before", l.status().Generation, before)
	}
	if wantLeader {
		sim.proposeMany(1)
		sim.run(200, nil)
	}
	for _, h := range sim.voting() {
		if wantLeader && h.appliedOp != l.appliedOp {
			t.Errorf("%s applied up to op %d, leader up to %d", h.name, h.appliedOp, l.appliedOp)
		}
	}
	if len(sim.violations) > 0 {
		t.Errorf("violation: %s", sim.violations[0])
	}
}

// TestOtherGeneration sends a backup messages that move it to the next view in its own generation.
// From another generation they must have no effect.
func TestOtherGeneration(t *testing.T) {
	tests := map[string]Message{
		"prepare of the next view":    {Kind: KindPrepare},
		"view change with a majority": {Kind: KindStartViewChange},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			for _, other := range []bool{true, false} {
				sim := newSimulation(1, testConfig(3))
				sim.startAll()
				sim.run(7_000, nil)
				s := sim.leader().status()
				next := sim.find(s.Members[(s.Primary+1)%3].Name)
				backup := sim.find(s.Members[(s.Primary+2)%3].Name)
				m.From, m.To, m.Generation, m.View, m.Sent = next.name, backup.name, s.Generation, s.View+1, time.Second
				if other {
					m.Generation += 2
				}
				backup.r.Step(m, backup.now().Add(time.Second)) // after its promise has expired
				if moved := backup.status().View != s.View; moved == other {
					t.Errorf("message of another generation: %v, backup changed its view: %v", other, moved)
				}
			}
		})
	}
}
