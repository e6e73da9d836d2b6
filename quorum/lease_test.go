package quorum

import (
	"errors"
	"testing"
)

// TestLeadership checks who leads after a fault that chaos may miss.
func TestLeadership(t *testing.T) {
	tests := map[string]struct {
		disrupt       func(w *world, l *host)
		ms            int64
		wantSame      bool // whether the same host has to lead
		wantOther     bool // whether another host has to lead
		faults        faults
		wantViolation bool // whether the checker has to find a violation
	}{
		"nothing happens":                                             {disrupt: func(*world, *host) {}, ms: 3000, wantSame: true},
		"a frozen primary is replaced":                                {disrupt: func(w *world, l *host) { l.frozenUntil = w.nowMs + 5000 }, ms: 3000, wantOther: true},
		"a thawed primary follows":                                    {disrupt: func(w *world, l *host) { l.frozenUntil = w.nowMs + 2500 }, ms: 3000, wantOther: true},
		"a primary that hears nobody steps down":                      {disrupt: func(w *world, l *host) { w.block(l, false, true, -1) }, ms: 4000, wantOther: true},
		"a primary that reaches nobody is replaced":                   {disrupt: func(w *world, l *host) { w.block(l, true, false, -1) }, ms: 4000, wantOther: true},
		"a deaf backup disrupts nobody":                               {disrupt: func(w *world, l *host) { w.block(w.backup(l), false, true, -1) }, ms: 5000, wantSame: true},
		"an isolated backup comes back without disruption":            {disrupt: func(w *world, l *host) { w.isolate(w.backup(l)); w.run(5000, nil); w.heal() }, ms: 2000, wantSame: true},
		"a backup that the primary doesn't reach disrupts nobody":     {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, wantSame: true},
		"a backup that the primary doesn't reach, promises forgotten": {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, faults: faults{noPromise: true}, wantViolation: true},
		"a handover takes no timeout":                                 {disrupt: func(_ *world, l *host) { l.handOver() }, ms: 20, wantOther: true},
		"a handover with one backup down":                             {disrupt: func(w *world, l *host) { w.backup(l).running = false; w.run(100, nil); l.handOver() }, ms: 20, wantOther: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(3, testConfig(3))
			w.faults = tt.faults
			w.startAll()
			before := w.leader()
			tt.disrupt(w, before)
			w.run(tt.ms, nil)
			after := w.leader()
			if tt.wantSame && after != before {
				t.Error("the leader changed")
			}
			if tt.wantOther && (after == nil || after == before) {
				t.Error("no other host leads")
			}
			if (len(w.violations) > 0) != tt.wantViolation {
				t.Errorf("violations %v, want %v", w.violations, tt.wantViolation)
			}
		})
	}
}

func blockBetweenPrimaryAndBackup(w *world, l *host) {
	b := w.backup(l)
	w.blocked[[2]string{l.name, b.name}], w.blocked[[2]string{b.name, l.name}] = true, true
}

// backup returns the host in the slot after the given one.
func (w *world) backup(l *host) *host {
	return w.hosts[(l.slot+1)%len(w.cfg.Members)]
}

func TestPropose(t *testing.T) {
	cfg := testConfig(3)
	cfg.MaxPending = 2
	w := newWorld(1, cfg)
	w.startAll()
	l := w.leader()
	var notPrimary *NotPrimaryError
	if err := w.propose(w.backup(l)); !errors.As(err, &notPrimary) || notPrimary.Primary != l.slot {
		t.Errorf("at a backup: %v", err)
	}
	w.isolate(l)
	_, _ = w.propose(l), w.propose(l)
	var full *FullError
	if err := w.propose(l); !errors.As(err, &full) {
		t.Errorf("with two pending: %v", err)
	}
	w.run(1000, nil)
	if err := w.propose(l); !errors.As(err, &notPrimary) {
		t.Errorf("without a lease: %v", err)
	}
}
