package quorum

import (
	"testing"
	"time"
)

func TestGeneration(t *testing.T) {
	const formAfter = 5 * time.Second
	tests := map[string]struct {
		formAfter         time.Duration
		memoryLost        bool // known to have lost the memory
		start             []string
		isolated          string // isolated with its memory while the others lose theirs
		restarted         []string
		wantLeader        bool // whether there is a leader in the end
		wantNewGeneration bool // whether the generation is another one in the end
		wantVoting        int
	}{
		"first start":                         {start: []string{"a", "b", "c"}, wantLeader: true, wantVoting: 3},
		"first start without one":             {start: []string{"b", "c"}},
		"first start without one, allowed":    {start: []string{"b", "c"}, formAfter: formAfter, wantLeader: true, wantVoting: 2},
		"lost disks form nothing":             {start: []string{"a", "b", "c"}, memoryLost: true},
		"all lose their memory":               {start: []string{"a", "b", "c"}, restarted: []string{"a", "b", "c"}, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"one loses its memory":                {start: []string{"a", "b", "c"}, restarted: []string{"a"}, wantLeader: true, wantVoting: 3},
		"one lost while another is away":      {start: []string{"a", "b", "c"}, isolated: "c", restarted: []string{"b"}, wantLeader: true, wantVoting: 3},
		"two lose their memory":               {start: []string{"a", "b", "c"}, restarted: []string{"a", "b"}, wantVoting: 1},
		"two lose their memory, allowed":      {start: []string{"a", "b", "c"}, restarted: []string{"a", "b"}, formAfter: formAfter, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"the third was away and yields":       {start: []string{"a", "b", "c"}, isolated: "a", restarted: []string{"b", "c"}, formAfter: formAfter, wantLeader: true, wantNewGeneration: true, wantVoting: 3},
		"the third was away, nothing allowed": {start: []string{"a", "b", "c"}, isolated: "c", restarted: []string{"a", "b"}, wantVoting: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(1, testConfig(3))
			if tt.formAfter > 0 {
				w.opts = append(w.opts, WithFormAfter(tt.formAfter))
			}
			if tt.memoryLost {
				w.opts = append(w.opts, WithRecovering())
			}
			for _, name := range tt.start {
				w.find(name).start()
			}
			w.run(7_000, nil)
			before := uint64(0)
			if l := w.leader(); l != nil {
				before = l.status().Generation
				w.proposeMany(1)
				w.run(200, nil)
			}
			if tt.isolated != "" {
				w.isolate(w.find(tt.isolated))
			}
			if len(tt.restarted) > 1 {
				clear(w.hashes) // what was committed is void without a majority
			}
			for _, name := range tt.restarted {
				w.find(name).start()
			}
			w.run(8_000, nil)
			if tt.isolated != "" && tt.formAfter == 0 && w.leader() != nil {
				t.Error("a host without a quorum leads")
			}
			w.heal()
			w.run(5_000, nil)
			checkGeneration(t, w, before, tt.wantLeader, tt.wantNewGeneration, tt.wantVoting)
		})
	}
}

// TestFormAfterDeath lets the host that would form the generation die before it
// may.
func TestFormAfterCrash(t *testing.T) {
	w := newWorld(1, testConfig(3))
	w.opts = append(w.opts, WithFormAfter(3*time.Second))
	w.find("a").start()
	w.find("b").start()
	w.run(2000, nil)
	w.find("a").running = false
	w.find("c").start()
	w.run(5000, nil)
	checkGeneration(t, w, 0, true, true, 2)
}

func checkGeneration(t *testing.T, w *world, before uint64, wantLeader, wantNewGeneration bool, wantVoting int) {
	t.Helper()
	l := w.leader()
	if (l != nil) != wantLeader {
		t.Fatalf("leader %v, want %v", l != nil, wantLeader)
	}
	if n := len(w.voting()); n != wantVoting {
		t.Errorf("%d vote, want %d", n, wantVoting)
	}
	if wantLeader && (l.status().Generation != before) != wantNewGeneration && before != 0 {
		t.Errorf("generation %d after %d", l.status().Generation, before)
	}
	if wantLeader {
		w.proposeMany(1)
		w.run(200, nil)
	}
	for _, h := range w.voting() {
		if wantLeader && h.appliedOp != l.appliedOp {
			t.Errorf("%s applied %d, leader %d", h.name, h.appliedOp, l.appliedOp)
		}
	}
	if len(w.violations) > 0 {
		t.Errorf("violation: %s", w.violations[0])
	}
}

// TestOtherGeneration hands a backup messages that would move it on in its own
// generation.
func TestOtherGeneration(t *testing.T) {
	tests := map[string]Message{
		"prepare of the next view":          {Kind: KindPrepare},
		"view change that a majority wants": {Kind: KindStartViewChange},
	}
	for name, m := range tests {
		t.Run(name, func(t *testing.T) {
			for _, other := range []bool{true, false} {
				w := newWorld(1, testConfig(3))
				w.startAll()
				w.run(7_000, nil)
				s := w.leader().status()
				next := w.find(s.Members[(s.Primary+1)%3].Name)
				backup := w.find(s.Members[(s.Primary+2)%3].Name)
				m.From, m.To, m.Generation, m.View, m.Sent = next.name, backup.name, s.Generation, s.View+1, time.Second
				if other {
					m.Generation += 2
				}
				backup.r.Step(m, backup.now().Add(time.Second)) // once the lease it gave has ended
				if moved := backup.status().View != s.View; moved == other {
					t.Errorf("other generation %v, moved %v", other, moved)
				}
			}
		})
	}
}
