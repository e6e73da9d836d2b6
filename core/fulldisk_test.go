package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// leader returns the host that leads.
func (sim *simulation) leader() *simHost {
	sim.t.Helper()
	for _, name := range sim.names() {
		if h := sim.hosts[name]; h.up && h.node.watch != nil {
			return h
		}
	}
	sim.t.Fatal("no host leads")
	return nil
}

// TestFullDisk lets the disk of one host be full for a while. The others decide
// without it; it answers, decides nothing, and goes on by itself.
func TestFullDisk(t *testing.T) {
	tests := map[string]struct {
		full func(sim *simulation) *simHost
		time time.Duration
	}{
		"of the leader":              {full: (*simulation).leader, time: 3 * time.Second},
		"of the leader, for long":    {full: (*simulation).leader, time: time.Minute},
		"of another host":            {full: (*simulation).follower, time: 3 * time.Second},
		"of another host, for long":  {full: (*simulation).follower, time: time.Minute},
		"of a host, for a moment":    {full: (*simulation).follower, time: 200 * time.Millisecond},
		"of the leader for a moment": {full: (*simulation).leader, time: 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				sim := newSimulation(t, seed)
				if !sim.available(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				sim.putAll()
				sim.runFullDisk(tt.full(sim), tt.time)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func (sim *simulation) follower() *simHost {
	leader := sim.leader()
	return sim.hosts[names[(indexOf(leader.name)+1)%len(names)]]
}

func (sim *simulation) runFullDisk(h *simHost, length time.Duration) {
	sim.t.Helper()
	h.fullRate = 1
	began, acked := sim.now, sim.acked
	for sim.now.Sub(began) < length {
		sim.putAll()
	}
	if length > time.Second {
		sim.checkFullDisk(h)
		if sim.acked == acked {
			sim.t.Errorf("nothing was committed without %s", h.name)
		}
	}
	if most := int(sim.now.Sub(began)/diskRetryInterval) + 1; h.failedWrites > most {
		sim.t.Errorf("%s tried to write %d times in %v, want at most %d", h.name, h.failedWrites, sim.now.Sub(began), most)
	}
	h.fullRate = 0
	sim.run(3 * time.Second)
	sim.putAll()
	sim.run(time.Second) // in which all hosts learn what is committed
	if got := h.node.state.Routes().Version; h.starts != 1 || got != sim.acked {
		sim.t.Errorf("%s in its process %d has version %d, want %d", h.name, h.starts, got, sim.acked)
	}
	if !slices.Equal(h.diskEvents, []bool{true, false}) {
		sim.t.Errorf("%s told %v of its disk, want one begin and one end", h.name, h.diskEvents)
	}
}

// checkFull asks a host whose disk is full.
func (sim *simulation) checkFullDisk(h *simHost) {
	sim.t.Helper()
	lastVersion++
	var answers []Answer
	reply := func(a Answer) { answers = append(answers, a) }
	h.node.Handle(Put{Routes: model.RoutesText{Version: lastVersion}, Reply: reply})
	h.node.Handle(Read{Reply: reply})
	if want := []Answer{{DiskFull: true}, {DiskFull: true}}; fmt.Sprint(answers) != fmt.Sprint(want) {
		sim.t.Errorf("%s answers %v, want %v", h.name, answers, want)
	}
	var v View
	h.node.Handle(Inspect{Reply: func(got View) { v = got }})
	if v.Routes == 0 || len(v.Members) != len(names) || v.Leader == h.name || v.Leader == "" {
		sim.t.Errorf("%s shows %+v", h.name, v)
	}
	if h.node.watch != nil {
		sim.t.Errorf("%s leads", h.name)
	}
	if got := h.node.replica.Status(sim.now); got.View != h.statusWhenFull.View || got.Op != h.statusWhenFull.Op || got.Commit != h.statusWhenFull.Commit {
		sim.t.Errorf("the replica of %s goes on from %+v to %+v", h.name, h.statusWhenFull, got)
	}
}

// TestFullHostTells checks that a host whose disk is full learns from the others
// who places.
func TestFullDiskHostFollowsLeader(t *testing.T) {
	sim := newSimulation(t, 1)
	if !sim.available(10 * time.Second) {
		t.Fatal("the core doesn't begin")
	}
	h := sim.follower()
	h.fullRate = 1
	sim.putAll()
	sim.renewFor(2*time.Second, "e1")
	if got := h.node.placerOf("z"); got != "e1" {
		t.Errorf("the placer is %q, want e1", got)
	}
	sim.renewFor(3*time.Second, "e2")
	if got := h.node.placerOf("z"); got != "e2" {
		t.Errorf("after a change the placer is %q, want e2", got)
	}
	h.fullRate = 0
	sim.renewFor(3*time.Second, "e2")
	if got := h.node.placerOf("z"); got != "e2" || h.node.log.Blocked() != nil {
		t.Errorf("with room the placer is %q, want e2", got)
	}
}

// renewFor has an entry host ask for its placement.
func (sim *simulation) renewFor(d time.Duration, host string) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		for _, name := range names {
			sim.hosts[name].node.Handle(msgs.HostRenew{Host: host, DataCentre: "z", Incarnation: 1})
		}
		sim.run(100 * time.Millisecond)
	}
}

// TestPutUnderWayWhenFull checks that a caller is answered at once when the disk
// of the leader takes no more, and that what was told to nobody isn't told as
// committed.
func TestPendingPutOnFullDisk(t *testing.T) {
	sim := newSimulation(t, 1)
	if !sim.available(10 * time.Second) {
		t.Fatal("the core doesn't begin")
	}
	h := sim.leader()
	h.fullRate = 1
	lastVersion++
	var answers []Answer
	h.node.Handle(Put{Routes: model.RoutesText{Version: lastVersion}, Reply: func(a Answer) { answers = append(answers, a) }})
	if len(answers) != 1 || !answers[0].DiskFull || answers[0].Done {
		t.Fatalf("answers %+v", answers)
	}
	h.fullRate = 0
	sim.run(3 * time.Second)
	if len(answers) != 1 {
		t.Errorf("answered again: %+v", answers)
	}
}

// TestBrokenDisk checks that a host whose sync failed gives up, also when its
// disk was full before.
func TestBrokenDisk(t *testing.T) {
	tests := map[string]float64{"with room": 0, "without room": 1}
	for name, full := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newSimulation(t, 1)
			if !sim.available(10 * time.Second) {
				t.Fatal("the core doesn't begin")
			}
			h := sim.leader()
			h.fullRate = full
			sim.putAll()
			h.fullRate, h.syncFails = 0, true
			sim.putAll()
			lastVersion++
			h.node.Handle(Put{Routes: model.RoutesText{Version: lastVersion}, Reply: func(a Answer) {
				if a.Done {
					t.Error("a host with a broken disk decides")
				}
			}})
			sim.run(2 * time.Second)
			if h.failures != 1 || h.node.watch != nil && full > 0 {
				t.Errorf("%s gave up %d times", h.name, h.failures)
			}
		})
	}
}
