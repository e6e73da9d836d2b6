package quorum

import "testing"

// foundingTests are faults during the formation of a group's first generation. They end after a
// second, and no host loses state.
var foundingTests = map[string]struct {
	members int
	disturb func(w *world, h *host)
}{
	"no fault":                                    {members: 3, disturb: func(*world, *host) {}},
	"a host is partitioned":                       {members: 3, disturb: func(w *world, h *host) { w.isolate(h) }},
	"a host can only receive":                     {members: 3, disturb: func(w *world, h *host) { w.block(h, true, false, -1) }},
	"a host can only send to one other":           {members: 3, disturb: func(w *world, h *host) { w.block(h, true, false, (h.slot+1)%3) }},
	"a host is paused":                            {members: 3, disturb: func(w *world, h *host) { h.pausedUntil = w.nowMs + 900 }},
	"a host of five is partitioned":               {members: 5, disturb: func(w *world, h *host) { w.isolate(h) }},
	"a host of five can only send to one other":   {members: 5, disturb: func(w *world, h *host) { w.block(h, true, false, (h.slot+1)%5) }},
	"all hosts are partitioned from one another":  {members: 3, disturb: func(w *world, _ *host) { w.isolateAll() }},
	"five hosts are partitioned from one another": {members: 5, disturb: func(w *world, _ *host) { w.isolateAll() }},
}

func (w *world) isolateAll() {
	for _, h := range w.hosts {
		w.isolate(h)
	}
}

// proposeToLeader proposes an entry at the leader, if there is one.
func (w *world) proposeToLeader() {
	if l := w.leader(); l != nil {
		_ = w.propose(l)
	}
}

// TestFoundingInterrupted injects a fault at the first leader before it proposes its first entry, or
// at a random host at each millisecond of the first exchange of messages. Members must not be left in
// different generations, or with an entry that can't commit.
func TestFoundingInterrupted(t *testing.T) {
	const atLeader, first, last = -1, 40, 70 // milliseconds between which the generation is formed
	moments := []int64{atLeader}
	for ms := int64(first); ms < last; ms++ {
		moments = append(moments, ms)
	}
	for name, tt := range foundingTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed, moment := range moments {
				cfg := testConfig(tt.members)
				cfg.Durable = true
				w := newWorld(uint64(seed), cfg)
				for _, h := range w.hosts {
					h.start()
				}
				h := w.hosts[w.rng.IntN(len(w.hosts))]
				if moment == atLeader {
					h = w.firstLeader(t)
				} else {
					w.run(moment, w.proposeToLeader)
				}
				tt.disturb(w, h)
				w.proposeToLeader()
				w.run(1_000, w.proposeToLeader)
				w.healAndCheck()
				if len(w.violations) > 0 {
					t.Errorf("seed %d, disturbed at %d ms: %s", seed, moment, w.violations[0])
				}
			}
		})
	}
}

// firstLeader runs until there is a leader.
func (w *world) firstLeader(t *testing.T) *host {
	for w.leader() == nil {
		w.run(1, nil)
		if w.nowMs > 5_000 {
			t.Fatal("no leader")
		}
	}
	return w.leader()
}
