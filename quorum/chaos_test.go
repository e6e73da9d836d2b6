package quorum

import (
	"fmt"
	"testing"
)

// chaos does what may happen to a group in one millisecond.
func (w *world) chaos() {
	if h := w.hosts[w.rng.IntN(len(w.hosts))]; h.running && w.nowMs >= h.frozenUntil && w.rng.IntN(3) == 0 {
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
		h.frozenUntil = w.nowMs + w.rng.Int64N(1500)
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

// crash ends a process. It may lose its memory, or its disk, only while a
// majority of the others keeps theirs.
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

// pursueReplacement asks the leader until the new host is a member.
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

// settle heals everything and checks that the group goes on.
func (w *world) healAndCheck() {
	w.heal()
	w.loss = 0
	for _, h := range w.hosts {
		h.frozenUntil, h.crashOnDrain = 0, false
	}
	w.restartAll()
	w.run(10_000, w.driveReplacement)
	l := w.leader()
	if l == nil {
		w.violationf("no leader after healing")
		return
	}
	if err := w.propose(l); err != nil {
		w.violationf("proposal after healing: %v", err)
	}
	w.run(500, nil)
	voters, members := w.voting(), w.latest.Members
	if len(voters) != len(members) {
		w.violationf("%d of %d members vote after healing", len(voters), len(members))
	}
	for _, h := range voters {
		if h.appliedOp < w.ackedOp || h.appliedOp != l.appliedOp {
			w.violationf("%s: applied %d of %d, %d acknowledged", h.name, h.appliedOp, l.appliedOp, w.ackedOp)
		}
	}
}

func TestChaos(t *testing.T) {
	tests := map[string]struct {
		members       int
		durable       bool
		loss          float64
		seeds         uint64
		maxEncodeMs   int64 // longest time in milliseconds that the encoding of a snapshot takes
		faults        faults
		syncEvery     int
		wantViolation bool // whether the checker has to find a violation
	}{
		"three in memory":           {members: 3, loss: 0.02, seeds: 40},
		"three in memory, lossless": {members: 3, seeds: 20},
		"five in memory":            {members: 5, loss: 0.02, seeds: 20},
		"three with disks":          {members: 3, durable: true, loss: 0.02, seeds: 30},
		"seven with disks":          {members: 7, durable: true, loss: 0.02, seeds: 10},
		"late snapshots":            {members: 3, loss: 0.02, seeds: 30, maxEncodeMs: 2000},
		"late snapshots on disks":   {members: 3, durable: true, loss: 0.02, seeds: 20, maxEncodeMs: 2000},
		"votes without memory":      {members: 3, loss: 0.02, seeds: 40, faults: faults{noRecovery: true}, wantViolation: true},
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
					t.Errorf("seed %d: only %d acknowledged", seed, w.ackedOp)
				}
			}
			if tt.wantViolation && !foundViolation {
				t.Error("the checker found nothing")
			}
		})
	}
}
