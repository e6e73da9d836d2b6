package quorum

import "testing"

// formationTests are faults during the formation of a group's first generation. They end after a
// second, and no host loses state.
var formationTests = map[string]struct {
	members int
	disturb func(sim *simulation, h *host)
}{
	"no fault":                                    {members: 3, disturb: func(*simulation, *host) {}},
	"a host is partitioned":                       {members: 3, disturb: func(sim *simulation, h *host) { sim.isolate(h) }},
	"a host can only receive":                     {members: 3, disturb: func(sim *simulation, h *host) { sim.block(h, true, false, -1) }},
	"a host can only send to one other":           {members: 3, disturb: func(sim *simulation, h *host) { sim.block(h, true, false, (h.slot+1)%3) }},
	"a host is paused":                            {members: 3, disturb: func(sim *simulation, h *host) { h.pausedUntil = sim.nowMs + 900 }},
	"a host of five is partitioned":               {members: 5, disturb: func(sim *simulation, h *host) { sim.isolate(h) }},
	"a host of five can only send to one other":   {members: 5, disturb: func(sim *simulation, h *host) { sim.block(h, true, false, (h.slot+1)%5) }},
	"all hosts are partitioned from one another":  {members: 3, disturb: func(sim *simulation, _ *host) { sim.isolateAll() }},
	"five hosts are partitioned from one another": {members: 5, disturb: func(sim *simulation, _ *host) { sim.isolateAll() }},
}

func (sim *simulation) isolateAll() {
	for _, h := range sim.hosts {
		sim.isolate(h)
	}
}

// proposeToLeader proposes an entry at the leader, if there is one.
func (sim *simulation) proposeToLeader() {
	if l := sim.leader(); l != nil {
		_ = sim.propose(l)
	}
}

// TestFormationInterrupted injects a fault at the first leader before it proposes its first entry, or
// at a random host at each millisecond of the first exchange of messages. Members must not be left in
// different generations, or with an entry that can't commit.
func TestFormationInterrupted(t *testing.T) {
	const atLeader, first, last = -1, 40, 70 // milliseconds between which the generation is formed
	moments := []int64{atLeader}
	for ms := int64(first); ms < last; ms++ {
		moments = append(moments, ms)
	}
	for name, tt := range formationTests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed, moment := range moments {
				cfg := testConfig(tt.members)
				cfg.Durable = true
				sim := newSimulation(uint64(seed), cfg)
				for _, h := range sim.hosts {
					h.start()
				}
				h := sim.hosts[sim.rng.IntN(len(sim.hosts))]
				if moment == atLeader {
					h = sim.firstLeader(t)
				} else {
					sim.run(moment, sim.proposeToLeader)
				}
				tt.disturb(sim, h)
				sim.proposeToLeader()
				sim.run(1_000, sim.proposeToLeader)
				sim.healAndCheck()
				if len(sim.violations) > 0 {
					t.Errorf("seed %d, disturbed at %d ms: %s", seed, moment, sim.violations[0])
				}
			}
		})
	}
}

// firstLeader runs until there is a leader.
func (sim *simulation) firstLeader(t *testing.T) *host {
	for sim.leader() == nil {
		sim.run(1, nil)
		if sim.nowMs > 5_000 {
			t.Fatal("no leader")
		}
	}
	return sim.leader()
}
