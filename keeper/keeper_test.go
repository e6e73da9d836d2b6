package keeper

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestConcurrentEdits submits edits of the same version through all hosts concurrently.
// Exactly one is accepted; the others get a Conflict.
func TestConcurrentEdits(t *testing.T) {
	f := newFixture(t)
	var results []*msgs.ListsDone
	for i, host := range allHosts {
		results = append(results, f.put(host, fmt.Sprint("edit-", i), 0))
	}
	f.run(target)
	accepted := 0
	for i, d := range results {
		switch {
		case d.Refusal == nil && d.Version == 1:
			accepted++
		case d.Refusal == nil || d.Refusal.Code != model.CodeConflict:
			t.Errorf("edit %d: %+v", i, d)
		}
	}
	if accepted != 1 {
		t.Errorf("%d edits were accepted, want 1", accepted)
	}
	f.wantActive(1)
}

// TestResend loses the answer to an edit and resends the edit through another host,
// which must return the first answer and not apply the edit twice.
func TestResend(t *testing.T) {
	f := newFixture(t)
	f.drop = func(m message) bool { _, answer := m.msg.(msgs.ListsDone); return answer && m.to == "d1" }
	lost := f.put("d1", "edit", 0)
	f.run(step)
	f.put("k2", "next", 1)
	f.run(10 * time.Second)
	if lost.Refusal == nil || lost.Refusal.Code != model.CodeUnavailable {
		t.Errorf("without an answer the edit got %+v", lost)
	}
	resent := f.put("d2", "edit", 0)
	f.run(target)
	if resent.Version != 1 || resent.Refusal != nil {
		t.Errorf("the resend got %+v, want the first answer", resent)
	}
	f.wantActive(2)
}

// TestLaggingHosts makes a host miss an edit. The host must activate it within target
// after it is reachable again, even if it lost its state in a restart.
func TestLaggingHosts(t *testing.T) {
	tests := map[string]struct {
		host       string
		restart    bool
		updateLost bool // the update is lost although the host is reachable
	}{
		"partitioned, with disk":    {host: "k3"},
		"partitioned, without disk": {host: "d1"},
		"restarts, with disk":       {host: "k3", restart: true},
		"restarts, without disk":    {host: "d1", restart: true},
		"update lost":               {host: "d1", updateLost: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.put("k1", "first", 0)
			f.run(target)
			f.partitioned[tt.host] = !tt.updateLost
			f.drop = func(m message) bool {
				_, update := m.msg.(msgs.ListsUpdate)
				return tt.updateLost && update && m.to == tt.host
			}
			if tt.restart {
				delete(f.hosts, tt.host)
			}
			f.put("d2", "second", 1)
			f.run(step)
			f.run(target)
			f.partitioned[tt.host] = false
			f.drop = func(message) bool { return false }
			if tt.restart {
				f.start(tt.host)
			}
			f.run(target)
			f.wantActive(2)
		})
	}
}

// TestPrimaryLost submits an edit through every host right after the primary failed.
// Operators get no error while the group elects a new primary.
func TestPrimaryLost(t *testing.T) {
	f := newFixture(t)
	for _, name := range members {
		if k := f.hosts[name]; k.replica.Status(f.now).Leading {
			delete(f.hosts, name)
		}
	}
	var results []*msgs.ListsDone
	for name := range f.hosts {
		results = append(results, f.put(name, "edit", 0))
	}
	f.run(target)
	for _, d := range results {
		if d.Version != 1 || d.Refusal != nil {
			t.Errorf("an edit got %+v", d)
		}
	}
	f.wantActive(1)
}

// resendFirstUpdate sends the first version to all hosts again.
func (f *fixture) resendFirstUpdate() {
	if f.firstUpdate.Version == 0 {
		f.firstUpdate = f.hosts["k1"].active.Update
	}
	for _, name := range allHosts {
		f.queue = append(f.queue, message{from: name, to: name, msg: msgs.ListsUpdate{Update: f.firstUpdate}})
	}
	f.run(step)
}

// TestRestarts restarts hosts after each of many edits and resends an old version. No
// host may return to an older version, and no version may be lost, even if all hosts
// restart together.
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
			f := newFixture(t)
			for i := range 20 {
				done := f.put(allHosts[(i+2)%5], fmt.Sprint("edit-", i), uint64(i))
				f.run(3 * time.Second)
				if done.Refusal != nil || done.Version != uint64(i+1) {
					t.Fatalf("edit %d got %+v", i, done)
				}
				f.resendFirstUpdate()
				for _, name := range tt.victims(i) {
					delete(f.hosts, name)
				}
				f.run(step)
				for _, name := range tt.victims(i) {
					f.start(name)
				}
				f.run(target)
				f.wantActive(uint64(i + 1))
			}
		})
	}
}

// TestStartsWithNewestVersion starts a host without a disk that receives an old
// version before a newer one. It must activate only the newest.
func TestStartsWithNewestVersion(t *testing.T) {
	f := newFixture(t)
	f.put("k1", "first", 0)
	f.run(target)
	old := f.hosts["d2"].active.Update
	f.partitioned["d2"] = true
	f.put("k1", "second", 1)
	f.run(target)
	f.partitioned["d2"] = false
	delete(f.hosts, "d1")
	f.start("d1")
	var seen []uint64
	f.queue = append(f.queue, message{from: "d2", to: "d1", msg: msgs.ListsUpdate{Update: old}})
	for range int(target / step) {
		f.run(step)
		if v := f.hosts["d1"].active.Update.Version; len(seen) == 0 || seen[len(seen)-1] != v {
			seen = append(seen, v)
		}
	}
	if fmt.Sprint(seen) != "[0 2]" {
		t.Errorf("active versions were %v, want 0 and then 2", seen)
	}
}

// TestLateHelloOfPreviousProcess delivers hellos of a host's processes out of order. A
// late hello of a previous process must not count as a restart.
func TestLateHelloOfPreviousProcess(t *testing.T) {
	tests := map[string]struct {
		hellos []uint64 // incarnations
		want   int      // reported restarts
	}{
		"one process":                           {hellos: []uint64{7, 7}},
		"a restart":                             {hellos: []uint64{7, 2, 2}, want: 1},
		"late hello of the previous process":    {hellos: []uint64{7, 2, 7, 2}, want: 1},
		"late hellos of two previous processes": {hellos: []uint64{7, 2, 3, 7, 2, 3}, want: 2},
		"higher incarnation second":             {hellos: []uint64{2, 7, 2, 2}, want: 1},
		"a restart after a late hello":          {hellos: []uint64{7, 2, 7, 4}, want: 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			k, other := f.hosts[allHosts[0]], allHosts[1]
			k.peers[other] = &peer{}
			got := 0
			k.Hooks.Restarted = func(string) { got++ }
			for _, incarnation := range tt.hellos {
				k.Handle(msgs.Hello{Host: other, Incarnation: incarnation})
			}
			if got != tt.want {
				t.Fatalf("%d restarts were reported, want %d", got, tt.want)
			}
		})
	}
}
