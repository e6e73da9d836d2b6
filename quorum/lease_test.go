package quorum

import (
	"errors"
	"testing"
)

// TestLeadership checks which host leads after faults that TestChaos may not produce.
func TestLeadership(t *testing.T) {
	tests := map[string]struct {
		disrupt       func(w *world, l *host)
		ms            int64
		wantSame      bool // whether the same host has to lead at the end
		wantOther     bool // whether another host has to lead at the end
		faults        faults
		wantViolation bool // whether the checks have to find a violation
	}{
		"no fault":                     {disrupt: func(*world, *host) {}, ms: 3000, wantSame: true},
		"a paused primary is replaced": {disrupt: func(w *world, l *host) { l.pausedUntil = w.nowMs + 5000 }, ms: 3000, wantOther: true},
		"a primary that resumes follows the new one":               {disrupt: func(w *world, l *host) { l.pausedUntil = w.nowMs + 2500 }, ms: 3000, wantOther: true},
		"a primary that receives nothing steps down":               {disrupt: func(w *world, l *host) { w.block(l, false, true, -1) }, ms: 4000, wantOther: true},
		"a primary that can't send is replaced":                    {disrupt: func(w *world, l *host) { w.block(l, true, false, -1) }, ms: 4000, wantOther: true},
		"a backup that receives nothing disrupts nobody":           {disrupt: func(w *world, l *host) { w.block(w.backup(l), false, true, -1) }, ms: 5000, wantSame: true},
		"an isolated backup returns without disruption":            {disrupt: func(w *world, l *host) { w.isolate(w.backup(l)); w.run(5000, nil); w.heal() }, ms: 2000, wantSame: true},
		"a backup without a link to the primary disrupts nobody":   {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, wantSame: true},
		"a backup without a link to the primary, promises ignored": {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, faults: faults{noPromise: true}, wantViolation: true},
		"a handover needs no election timeout":                     {disrupt: func(_ *world, l *host) { l.handOver() }, ms: 20, wantOther: true},
		"a handover with one backup stopped":                       {disrupt: func(w *world, l *host) { w.backup(l).running = false; w.run(100, nil); l.handOver() }, ms: 20, wantOther: true},
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
				t.Error("the leader has changed or is lost")
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

// TestPropose checks the errors of Propose at a backup, with too many uncommitted entries, and at a
// primary whose lease has expired.
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
