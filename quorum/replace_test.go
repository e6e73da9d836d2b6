package quorum

import (
	"errors"
	"testing"
)

// TestReplace replaces a lost member. Restarts and partitions of hosts before and right after the
// replacement must not lose committed entries or stop the group.
func TestReplace(t *testing.T) {
	tests := map[string]struct {
		snapshotPadding int                     // bytes added to each snapshot
		before          func(w *world, d *host) // while the new host fetches the state
		after           func(w *world, l *host) // right after the replacement
		wantMember      bool                    // whether the new host becomes a member
	}{
		"replaced":                         {wantMember: true},
		"then the primary loses its state": {wantMember: true, after: func(_ *world, l *host) { l.start() }},
		"then a backup loses its state":    {wantMember: true, after: func(w *world, l *host) { w.backup(l).start() }},
		"then the primary is partitioned":  {wantMember: true, after: func(w *world, l *host) { w.isolate(l); w.run(3000, nil); w.heal() }},
		"a snapshot of many chunks":        {snapshotPadding: 5 * snapshotChunkBytes / 2, wantMember: true},
		"the new host is unreachable":      {before: func(w *world, d *host) { w.isolate(d) }},
		"the new host restarts meanwhile":  {wantMember: true, before: func(_ *world, d *host) { d.start(WithLearner()) }},
		"the new host restarts after acknowledging": {
			before: func(w *world, d *host) {
				w.runUntilPending(d)
				d.start(WithLearner())
			},
			wantMember: true,
		},
		"a member loses its state while the replacement is pending": {
			before: func(w *world, d *host) {
				a, b := w.find("a"), w.find("b")
				w.isolate(d)
				w.find("c").start()
				w.run(500, nil)
				w.heal()
				w.runUntilPending(a)
				w.block(b, true, false, -1)
				w.run(5, nil)
				b.start()
				w.heal()
			},
			wantMember: true,
		},
		"then the new host restarts as a learner": {
			wantMember: true,
			after: func(w *world, _ *host) {
				d := w.find("d")
				d.start(WithLearner())
				w.run(100, nil)
				if d.r.incarnations[2] != 1 {
					w.violationf("the new host votes without recovering")
				}
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(5, testConfig(3))
			w.snapshotPadding = tt.snapshotPadding
			w.startAll()
			w.proposeMany(250)
			w.find("c").running = false
			w.joining = w.addHost("d", 2)
			w.joining.start(WithLearner())
			d := w.joining
			w.run(55, w.driveReplacement)
			if tt.before != nil {
				tt.before(w, d)
			}
			for i := 0; i < 100 && w.joining != nil; i++ {
				w.run(5, w.driveReplacement)
			}
			if got := w.joining == nil; got != tt.wantMember {
				t.Fatalf("the new host became a member: %v, want %v", got, tt.wantMember)
			}
			if tt.after != nil {
				tt.after(w, w.leader())
			}
			w.run(4000, nil)
			w.proposeMany(1)
			w.run(100, nil) // the next heartbeat carries the commit number
			checkReplaced(t, w, d, tt.wantMember)
		})
	}
}

// runUntilPending runs until a host has the replacement in its log.
func (w *world) runUntilPending(h *host) {
	for i := 0; i < 1000 && h.r.group.pending == nil; i++ {
		w.run(1, w.driveReplacement)
	}
}

func (w *world) proposeMany(n int) {
	for range n {
		if l := w.leader(); l == nil || w.propose(l) != nil {
			w.violationf("no leader accepts a proposal")
		}
		w.run(5, nil)
	}
}

func checkReplaced(t *testing.T, w *world, d *host, wantMember bool) {
	t.Helper()
	if n := len(w.voting()); (n == 3) != wantMember {
		t.Errorf("%d members vote", n)
	}
	if wantMember && (d.appliedOp < w.ackedOp || d.appliedOp < 251) {
		t.Errorf("the new host applied up to op %d, acknowledged up to %d", d.appliedOp, w.ackedOp)
	}
	if len(w.violations) > 0 {
		t.Errorf("violation: %s", w.violations[0])
	}
}

func TestReplaceRefused(t *testing.T) {
	tests := map[string]Entry{
		"no such slot":       {Slot: 3, Replace: "d"},
		"the primary itself": {Slot: 0, Replace: "d"},
		"two slots":          {Slot: 2, Replace: "b"},
	}
	w := newWorld(1, testConfig(3))
	w.startAll()
	l := w.find("a")
	for name, tt := range tests {
		var refused *ReplacementError
		if err := l.r.Replace(tt.Slot, Member{Name: tt.Replace}, l.now()); !errors.As(err, &refused) {
			t.Errorf("%s: got error %v, want a ReplacementError", name, err)
		}
	}
}
