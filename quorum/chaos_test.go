package quorum

import (
	"fmt"
	"testing"
)

// chaos proposes at a random host and sometimes injects a random fault, in one millisecond of
// simulated time.
func (w *world) chaos() {
	if h := w.hosts[w.rng.IntN(len(w.hosts))]; h.running && w.nowMs >= h.pausedUntil && w.rng.IntN(3) == 0 {
		_ = w.propose(h)
	}
	w.driveReplacement()
	if w.rng.IntN(150) != 0 {
		return
	}
	h := w.hosts[w.rng.IntN(len(w.hosts))]
	switch w.rng.IntN(9) {
	case 0, 1:
		w.heal()
	case 2, 3, 4:
		w.block(h, w.rng.IntN(3) > 0, w.rng.IntN(3) > 0, w.rng.IntN(5))
	case 5:
		h.pausedUntil = w.nowMs + w.rng.Int64N(1500)
	case 6:
		if l := w.leader(); l != nil {
			l.handOver()
		}
	case 7:
		w.crash(h)
	case 8:
		w.restartAll()
	}
}

// crash stops a process. It loses its state in memory, or its disk, only while enough other members
// keep theirs for a majority.
func (w *world) crash(h *host) {
	voters, members := w.voting(), w.latest.Members
	mayLoseState := len(voters)-1 > len(members)/2 && w.joining == nil
	if !h.running || (!w.cfg.Durable && !mayLoseState) {
		return
	}
	if w.cfg.Durable && mayLoseState && w.rng.IntN(2) == 0 {
		h.running, h.synced = false, Saved{}
		return
	}
	if w.cfg.Durable && w.rng.IntN(2) == 0 {
		h.crashOnDrain = true
		return
	}
	h.running = false
	if w.rng.IntN(4) == 0 && w.joining == nil && w.isMember(h, members) {
		w.replacements++
		w.joining = w.addHost(fmt.Sprintf("new%d", w.replacements), h.slot)
		w.joining.start(WithLearner())
	}
}

func (w *world) isMember(h *host, members []Member) bool {
	return len(members) > h.slot && members[h.slot].Name == h.name
}

// driveReplacement repeats the request to the leader until the new host is a voting member.
func (w *world) driveReplacement() {
	if w.joining == nil || w.nowMs%50 != 0 {
		return
	}
	if w.joining.status().Voting {
		w.joining = nil
		return
	}
	if !w.joining.running {
		w.joining.start(WithLearner())
	}
	if l := w.leader(); l != nil {
		_ = l.r.Replace(w.joining.slot, Member{Name: w.joining.name}, l.now())
		l.drain()
	}
}

func (w *world) restartAll() {
	for _, h := range w.hosts {
		if !h.running && h != w.joining && w.isMember(h, w.latest.Members) {
			h.start()
		}
	}
}

// healAndCheck ends all faults and checks that the group makes progress and that all members agree.
func (w *world) healAndCheck() {
	w.heal()
	w.loss = 0
	for _, h := range w.hosts {
		h.pausedUntil, h.crashOnDrain = 0, false
	}
	w.restartAll()
	w.run(10_000, w.driveReplacement)
	l := w.leader()
	if l == nil {
		w.violationf("no leader after the faults ended")
		return
	}
	if err := w.propose(l); err != nil {
		w.violationf("proposal after the faults ended: %v", err)
	}
	w.run(500, nil)
	voters, members := w.voting(), w.latest.Members
	if len(voters) != len(members) {
		w.violationf("%d of %d members vote after the faults ended", len(voters), len(members))
	}
	for _, h := range voters {
		if h.appliedOp < w.ackedOp || h.appliedOp != l.appliedOp {
			w.violationf("%s: applied up to op %d, leader up to %d, acknowledged up to %d", h.name, h.appliedOp, l.appliedOp, w.ackedOp)
		}
	}
}

// TestChaos runs random faults against groups and checks that all hosts apply the same log, that
// there is never more than one leader, and that the group recovers without losing an acknowledged
// entry. With a mechanism disabled, the checks must find a violation.
func TestChaos(t *testing.T) {
	tests := map[string]struct {
		members       int
		durable       bool
		loss          float64
		seeds         uint64
		maxEncodeMs   int64 // maximum time to encode a snapshot, in milliseconds
		faults        faults
		syncEvery     int  // see world
		wantViolation bool // whether the checks have to find a violation
	}{
		"three in memory":           {members: 3, loss: 0.02, seeds: 40},
		"three in memory, lossless": {members: 3, seeds: 20},
		"five in memory":            {members: 5, loss: 0.02, seeds: 20},
		"three with disks":          {members: 3, durable: true, loss: 0.02, seeds: 30},
		"seven with disks":          {members: 7, durable: true, loss: 0.02, seeds: 10},
		"late snapshots":            {members: 3, loss: 0.02, seeds: 30, maxEncodeMs: 2000},
		"late snapshots on disks":   {members: 3, durable: true, loss: 0.02, seeds: 20, maxEncodeMs: 2000},
		"votes without recovery":    {members: 3, loss: 0.02, seeds: 40, faults: faults{noRecovery: true}, wantViolation: true},
		"messages before syncing":   {members: 3, durable: true, loss: 0.02, seeds: 30, syncEvery: 200, wantViolation: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			foundViolation := false
			for seed := range tt.seeds {
				cfg := testConfig(tt.members)
				cfg.Durable = tt.durable
				w := newWorld(seed, cfg)
				w.maxEncodeMs = tt.maxEncodeMs
				w.startAll()
				w.faults, w.syncEvery, w.loss = tt.faults, tt.syncEvery, tt.loss
				for _, h := range w.hosts {
					h.r.faults = tt.faults
				}
				w.run(15_000, w.chaos)
				w.healAndCheck()
				foundViolation = foundViolation || len(w.violations) > 0
				if len(w.violations) > 0 && !tt.wantViolation {
					t.Errorf("seed %d: %d violations, first: %s", seed, len(w.violations), w.violations[0])
				}
				if w.ackedOp < 100 && !tt.wantViolation {
					t.Errorf("seed %d: acknowledged only up to op %d", seed, w.ackedOp)
				}
			}
			if tt.wantViolation && !foundViolation {
				t.Error("no violation found with a disabled mechanism")
			}
		})
	}
}
