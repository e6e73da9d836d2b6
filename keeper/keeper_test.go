package keeper

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestRace has all hosts edit from the same version at once: one edit wins.
func TestConcurrentEdits(t *testing.T) {
	w := newFixture(t)
	var all []*msgs.ListsDone
	for i, host := range allHosts {
		all = append(all, w.put(host, fmt.Sprint("edit-", i), 0))
	}
	w.run(target)
	won := 0
	for i, d := range all {
		switch {
		case d.Refusal == nil && d.Version == 1:
			won++
		case d.Refusal == nil || d.Refusal.Code != model.CodeConflict:
			t.Errorf("edit %d: %+v", i, d)
		}
	}
	if won != 1 {
		t.Errorf("%d edits won", won)
	}
	w.wantActive(1)
}

// TestResend loses the answer to an edit and sends it again through another host.
func TestResend(t *testing.T) {
	w := newFixture(t)
	w.drop = func(l message) bool { _, answer := l.msg.(msgs.ListsDone); return answer && l.to == "d1" }
	lost := w.put("d1", "edit", 0)
	w.run(step)
	w.put("k2", "next", 1)
	w.run(10 * time.Second)
	if lost.Refusal == nil || lost.Refusal.Code != model.CodeUnavailable {
		t.Errorf("without an answer the edit got %+v", lost)
	}
	again := w.put("d2", "edit", 0)
	w.run(target)
	if again.Version != 1 || again.Refusal != nil {
		t.Errorf("the resend got %+v, want the first answer", again)
	}
	w.wantActive(2)
}

// TestLagging has hosts miss an edit. They have it in force soon after they are
// back, also those that lost what they had.
func TestLaggingHosts(t *testing.T) {
	tests := map[string]struct {
		host    string
		restart bool
		missed  bool // the update is lost, though the host can be reached
	}{
		"cut off, with disk":     {host: "k3"},
		"cut off, without disk":  {host: "d1"},
		"restarts, with disk":    {host: "k3", restart: true},
		"restarts, without disk": {host: "d1", restart: true},
		"update lost":            {host: "d1", missed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			w.put("k1", "first", 0)
			w.run(target)
			w.partitioned[tt.host] = !tt.missed
			w.drop = func(l message) bool {
				_, update := l.msg.(msgs.ListsUpdate)
				return tt.missed && update && l.to == tt.host
			}
			if tt.restart {
				delete(w.hosts, tt.host)
			}
			w.put("d2", "second", 1)
			w.run(step)
			w.run(target)
			w.partitioned[tt.host] = false
			w.drop = func(message) bool { return false }
			if tt.restart {
				w.start(tt.host)
			}
			w.run(target)
			w.wantActive(2)
		})
	}
}

// TestPrimaryLost edits through every host right after the primary was lost. The
// group has none for a while, which no operator sees.
func TestPrimaryLost(t *testing.T) {
	w := newFixture(t)
	for _, name := range members {
		if n := w.hosts[name]; n.replica.Status(w.now).Leading {
			delete(w.hosts, name)
		}
	}
	var all []*msgs.ListsDone
	for name := range w.hosts {
		all = append(all, w.put(name, "edit", 0))
	}
	w.run(target)
	for _, d := range all {
		if d.Version != 1 || d.Refusal != nil {
			t.Errorf("an edit got %+v", d)
		}
	}
	w.wantActive(1)
}

// repeatOld sends the first version to all hosts again.
func (w *fixture) resendFirstUpdate() {
	if w.firstUpdate.Version == 0 {
		w.firstUpdate = w.hosts["k1"].active.Update
	}
	for _, name := range allHosts {
		w.queue = append(w.queue, message{from: name, to: name, msg: msgs.ListsUpdate{Update: w.firstUpdate}})
	}
	w.run(step)
}

// TestRestarts restarts hosts after each of many edits, and sends old versions
// about. No host goes back to an older version, and none is lost, also when all restart together.
func TestRestarts(t *testing.T) {
	tests := map[string]struct {
		victims func(i int) []string
	}{
		"one":     {victims: func(i int) []string { return allHosts[i%5 : i%5+1] }},
		"keepers": {victims: func(int) []string { return members }},
		"all":     {victims: func(int) []string { return allHosts }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			for i := range 20 {
				done := w.put(allHosts[(i+2)%5], fmt.Sprint("edit-", i), uint64(i))
				w.run(3 * time.Second)
				if done.Refusal != nil || done.Version != uint64(i+1) {
					t.Fatalf("edit %d got %+v", i, done)
				}
				w.resendFirstUpdate()
				for _, name := range tt.victims(i) {
					delete(w.hosts, name)
				}
				w.run(step)
				for _, name := range tt.victims(i) {
					w.start(name)
				}
				w.run(target)
				w.wantActive(uint64(i + 1))
			}
		})
	}
}

// TestStartsWithNewest starts a host without a disk while an old version reaches
// it before a newer one. It begins with the newest.
func TestStartsWithNewestVersion(t *testing.T) {
	w := newFixture(t)
	w.put("k1", "first", 0)
	w.run(target)
	old := w.hosts["d2"].active.Update
	w.partitioned["d2"] = true
	w.put("k1", "second", 1)
	w.run(target)
	w.partitioned["d2"] = false
	delete(w.hosts, "d1")
	w.start("d1")
	var seen []uint64
	w.queue = append(w.queue, message{from: "d2", to: "d1", msg: msgs.ListsUpdate{Update: old}})
	for range int(target / step) {
		w.run(step)
		if v := w.hosts["d1"].active.Update.Version; len(seen) == 0 || seen[len(seen)-1] != v {
			seen = append(seen, v)
		}
	}
	if fmt.Sprint(seen) != "[0 2]" {
		t.Errorf("versions in force were %v, want none and then 2", seen)
	}
}

// TestFormerProcessSaysHelloLate has hellos of a host's processes come in any order.
func TestLateHelloOfPreviousProcess(t *testing.T) {
	tests := map[string]struct {
		hellos []uint64 // incarnations
		want   int      // restarts that are reported
	}{
		"one process":                  {hellos: []uint64{7, 7}},
		"a restart":                    {hellos: []uint64{7, 2, 2}, want: 1},
		"the former one comes late":    {hellos: []uint64{7, 2, 7, 2}, want: 1},
		"two former ones come late":    {hellos: []uint64{7, 2, 3, 7, 2, 3}, want: 2},
		"the first of one before":      {hellos: []uint64{2, 7, 2, 2}, want: 1},
		"a restart after a late hello": {hellos: []uint64{7, 2, 7, 4}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture(t)
			n, other := w.hosts[allHosts[0]], allHosts[1]
			n.peers[other] = &peer{}
			got := 0
			n.Hooks.Restarted = func(string) { got++ }
			for _, incarnation := range tt.hellos {
				n.Handle(msgs.Hello{Host: other, Incarnation: incarnation})
			}
			if got != tt.want {
				t.Fatalf("%d restarts are reported, want %d", got, tt.want)
			}
		})
	}
}
