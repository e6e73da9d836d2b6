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
func (w *world) leader() *simHost {
	w.t.Helper()
	for _, name := range w.names() {
		if h := w.hosts[name]; h.up && h.node.watch != nil {
			return h
		}
	}
	w.t.Fatal("no host leads")
	return nil
}

// TestFullDisk lets the disk of one host be full for a while. The others decide
// without it; it answers, decides nothing, and goes on by itself.
func TestFullDisk(t *testing.T) {
	tests := map[string]struct {
		full func(w *world) *simHost
		time time.Duration
	}{
		"of the leader":              {full: (*world).leader, time: 3 * time.Second},
		"of the leader, for long":    {full: (*world).leader, time: time.Minute},
		"of another host":            {full: (*world).follower, time: 3 * time.Second},
		"of another host, for long":  {full: (*world).follower, time: time.Minute},
		"of a host, for a moment":    {full: (*world).follower, time: 200 * time.Millisecond},
		"of the leader for a moment": {full: (*world).leader, time: 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(5) {
				w := newWorld(t, seed)
				if !w.settled(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				w.putAll()
				w.playFull(tt.full(w), tt.time)
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func (w *world) follower() *simHost {
	leader := w.leader()
	return w.hosts[names[(indexOf(leader.name)+1)%len(names)]]
}

func (w *world) playFull(h *simHost, length time.Duration) {
	w.t.Helper()
	h.full = 1
	began, acked := w.now, w.acked
	for w.now.Sub(began) < length {
		w.putAll()
	}
	if length > time.Second {
		w.checkFull(h)
		if w.acked == acked {
			w.t.Errorf("nothing was committed without %s", h.name)
		}
	}
	if most := int(w.now.Sub(began)/roomInterval) + 1; h.tries > most {
		w.t.Errorf("%s tried to write %d times in %v, want at most %d", h.name, h.tries, w.now.Sub(began), most)
	}
	h.full = 0
	w.run(3 * time.Second)
	w.putAll()
	w.run(time.Second) // in which all hosts learn what is committed
	if got := h.node.book.Routes().Version; h.life != 1 || got != w.acked {
		w.t.Errorf("%s in its process %d has version %d, want %d", h.name, h.life, got, w.acked)
	}
	if !slices.Equal(h.rooms, []bool{true, false}) {
		w.t.Errorf("%s told %v of its disk, want one begin and one end", h.name, h.rooms)
	}
}

// checkFull asks a host whose disk is full.
func (w *world) checkFull(h *simHost) {
	w.t.Helper()
	version++
	var answers []Answer
	reply := func(a Answer) { answers = append(answers, a) }
	h.node.Handle(Put{Routes: model.RoutesText{Version: version}, Reply: reply})
	h.node.Handle(Read{Reply: reply})
	if want := []Answer{{Full: true}, {Full: true}}; fmt.Sprint(answers) != fmt.Sprint(want) {
		w.t.Errorf("%s answers %v, want %v", h.name, answers, want)
	}
	var v View
	h.node.Handle(Inspect{Reply: func(got View) { v = got }})
	if v.Routes == 0 || len(v.Members) != len(names) || v.Leader == h.name || v.Leader == "" {
		w.t.Errorf("%s shows %+v", h.name, v)
	}
	if h.node.watch != nil {
		w.t.Errorf("%s leads", h.name)
	}
	if got := h.node.replica.Status(w.now); got.View != h.stood.View || got.Op != h.stood.Op || got.Commit != h.stood.Commit {
		w.t.Errorf("the replica of %s goes on from %+v to %+v", h.name, h.stood, got)
	}
}

// TestFullHostTells checks that a host whose disk is full learns from the others
// who places.
func TestFullHostTells(t *testing.T) {
	w := newWorld(t, 1)
	if !w.settled(10 * time.Second) {
		t.Fatal("the core doesn't begin")
	}
	h := w.follower()
	h.full = 1
	w.putAll()
	w.renewFor(2*time.Second, "e1")
	if got := h.node.placerOf("z"); got != "e1" {
		t.Errorf("the placer is %q, want e1", got)
	}
	w.renewFor(3*time.Second, "e2")
	if got := h.node.placerOf("z"); got != "e2" {
		t.Errorf("after a change the placer is %q, want e2", got)
	}
	h.full = 0
	w.renewFor(3*time.Second, "e2")
	if got := h.node.placerOf("z"); got != "e2" || h.node.log.Blocked() != nil {
		t.Errorf("with room the placer is %q, want e2", got)
	}
}

// renewFor has an entry host ask for its placement.
func (w *world) renewFor(d time.Duration, host string) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, name := range names {
			w.hosts[name].node.Handle(msgs.HostRenew{Host: host, DataCentre: "z", Incarnation: 1})
		}
		w.run(100 * time.Millisecond)
	}
}

// TestPutUnderWayWhenFull checks that a caller is answered at once when the disk
// of the leader takes no more, and that what was told to nobody isn't told as
// committed.
func TestPutUnderWayWhenFull(t *testing.T) {
	w := newWorld(t, 1)
	if !w.settled(10 * time.Second) {
		t.Fatal("the core doesn't begin")
	}
	h := w.leader()
	h.full = 1
	version++
	var answers []Answer
	h.node.Handle(Put{Routes: model.RoutesText{Version: version}, Reply: func(a Answer) { answers = append(answers, a) }})
	if len(answers) != 1 || !answers[0].Full || answers[0].Done {
		t.Fatalf("answers %+v", answers)
	}
	h.full = 0
	w.run(3 * time.Second)
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
			w := newWorld(t, 1)
			if !w.settled(10 * time.Second) {
				t.Fatal("the core doesn't begin")
			}
			h := w.leader()
			h.full = full
			w.putAll()
			h.full, h.broken = 0, true
			w.putAll()
			version++
			h.node.Handle(Put{Routes: model.RoutesText{Version: version}, Reply: func(a Answer) {
				if a.Done {
					t.Error("a host with a broken disk decides")
				}
			}})
			w.run(2 * time.Second)
			if h.failed != 1 || h.node.watch != nil && full > 0 {
				t.Errorf("%s gave up %d times", h.name, h.failed)
			}
		})
	}
}
