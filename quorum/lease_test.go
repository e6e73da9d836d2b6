package quorum

import (
	"errors"
	"testing"
)

// TestLeadership checks which host leads after faults that TestChaos may not produce.
func TestLeadership(t *testing.T) {
	tests := map[string]struct {
		disrupt       func(sim *simulation, l *host)
		ms            int64
		wantSame      bool // whether the same host has to lead at the end
		wantOther     bool // whether another host has to lead at the end
		faults        faults
		wantViolation bool // whether the checks have to find a violation
	}{
		"no fault":                     {disrupt: func(*simulation, *host) {}, ms: 3000, wantSame: true},
		"a paused primary is replaced": {disrupt: func(sim *simulation, l *host) { l.pausedUntil = sim.nowMs + 5000 }, ms: 3000, wantOther: true},
		"a primary that resumes follows the new one":                       {disrupt: func(sim *simulation, l *host) { l.pausedUntil = sim.nowMs + 2500 }, ms: 3000, wantOther: true},
		"a primary that receives nothing steps down":                       {disrupt: func(sim *simulation, l *host) { sim.block(l, false, true, -1) }, ms: 4000, wantOther: true},
		"a primary that can't send is replaced":                            {disrupt: func(sim *simulation, l *host) { sim.block(l, true, false, -1) }, ms: 4000, wantOther: true},
		"a backup that receives nothing doesn't disrupt the group":         {disrupt: func(sim *simulation, l *host) { sim.block(sim.backup(l), false, true, -1) }, ms: 5000, wantSame: true},
		"an isolated backup returns without disruption":                    {disrupt: func(sim *simulation, l *host) { sim.isolate(sim.backup(l)); sim.run(5000, nil); sim.heal() }, ms: 2000, wantSame: true},
		"a backup without a link to the primary doesn't disrupt the group": {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, wantSame: true},
		"a backup without a link to the primary, promises ignored":         {disrupt: blockBetweenPrimaryAndBackup, ms: 5000, faults: faults{noPromise: true}, wantViolation: true},
		"a handover needs no election timeout":                             {disrupt: func(_ *simulation, l *host) { l.handOver() }, ms: 20, wantOther: true},
		"a handover with one backup stopped":                               {disrupt: func(sim *simulation, l *host) { sim.backup(l).running = false; sim.run(100, nil); l.handOver() }, ms: 20, wantOther: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(3, testConfig(3))
			sim.faults = tt.faults
			sim.startAll()
			before := sim.leader()
			tt.disrupt(sim, before)
			sim.run(tt.ms, nil)
			after := sim.leader()
			if tt.wantSame && after != before {
				t.Error("the leader has changed or is lost")
			}
			if tt.wantOther && (after == nil || after == before) {
				t.Error("no other host leads")
			}
			if (len(sim.violations) > 0) != tt.wantViolation {
				t.Errorf("violations %v, want %v", sim.violations, tt.wantViolation)
			}
		})
	}
}

func blockBetweenPrimaryAndBackup(sim *simulation, l *host) {
	b := sim.backup(l)
	sim.blocked[[2]string{l.name, b.name}], sim.blocked[[2]string{b.name, l.name}] = true, true
}

// backup returns the host in the slot after the given one.
func (sim *simulation) backup(l *host) *host {
	return sim.hosts[(l.slot+1)%len(sim.cfg.Members)]
}

// TestPropose checks the errors of Propose at a backup, with too many uncommitted entries, and at a
// primary whose lease has expired.
func TestPropose(t *testing.T) {
	cfg := testConfig(3)
	cfg.MaxPending = 2
	sim := newSimulation(1, cfg)
	sim.startAll()
	l := sim.leader()
	var notPrimary *NotPrimaryError
	if err := sim.propose(sim.backup(l)); !errors.As(err, &notPrimary) || notPrimary.Primary != l.slot {
		t.Errorf("at a backup: %v", err)
	}
	sim.isolate(l)
	_, _ = sim.propose(l), sim.propose(l)
	var full *FullError
	if err := sim.propose(l); !errors.As(err, &full) {
		t.Errorf("with two pending: %v", err)
	}
	sim.run(1000, nil)
	if err := sim.propose(l); !errors.As(err, &notPrimary) {
		t.Errorf("without a lease: %v", err)
	}
}
