package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// handOf takes a job of a process of host h1.
func (w *fixture) takeJobFrom(job string, incarnation, number uint64) {
	w.submitJob(msgs.JobHand{
		Job: job, Host: "h1", Incarnation: incarnation, Epoch: w.placement.Epoch, Tasks: 1, Again: true, Hand: number,
		Objective: time.Minute, Expires: time.Minute,
	}, w.now)
}

// pulseOf takes a pulse of a process of host h1, with a stamp unless that is zero.
func (w *fixture) receivePulseFrom(incarnation uint64, stamp time.Duration) {
	m := msgs.Pulse{Host: "h1", DataCentre: "dc", Incarnation: incarnation}
	if stamp > 0 {
		m.Placing, m.Stamp = w.placement.Epoch, stamp
	}
	w.handlePulse(m, w.now)
}

// TestFormerProcessIsForgotten has a message of an entry host's process before
// come late, when a silence or a new epoch was in between.
func TestLateMessageOfPreviousProcess(t *testing.T) {
	silence := func(d time.Duration) func(w *fixture) {
		return func(w *fixture) {
			for end := w.now.Add(d); w.now.Before(end); {
				w.now = w.now.Add(standbyTick)
				w.tick(w.now)
			}
		}
	}
	between := map[string]func(w *fixture){
		"at once":                  func(*fixture) {},
		"after a silence":          silence(hostTimeout + standbyTick),
		"after a minute's silence": silence(time.Minute),
		"in the next epoch": func(w *fixture) {
			w.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: testEpoch + 1, Former: testEpoch}, w.now)
		},
		"after another host placed": func(w *fixture) {
			w.setPlacement(model.Placement{DataCentre: "dc", Host: "p2", Incarnation: 1, Epoch: testEpoch + 1, Former: testEpoch}, w.now)
			silence(time.Minute)(w)
			w.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: testEpoch + 2, Former: testEpoch + 1}, w.now)
		},
	}
	late := map[string]func(w *fixture){
		"a hand-over": func(w *fixture) { w.takeJobFrom("late", 7, 9) },
		"a pulse":     func(w *fixture) { w.receivePulseFrom(7, 0) },
		"a withdrawal": func(w *fixture) {
			w.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 9}, w.now)
		},
	}
	for when, pass := range between {
		for what, come := range late {
			t.Run(what+" "+when, func(t *testing.T) {
				w := newFixture()
				w.receivePulseFrom(7, 0)
				pass(w)
				w.takeJobFrom("j", 2, 1)
				come(w)
				w.receivePulseFrom(2, 0)
				w.takeJobFrom("k", 2, 2)
				if n := w.placer.Jobs(); n != 2 {
					t.Fatalf("%d jobs are known, want both of the present process", n)
				}
			})
		}
	}
}

// TestFirstMessageOfFormerProcess has the first message of a process before come
// after those of the present one, which isn't to be cut off by it.
func TestLateFirstMessageOfPreviousProcess(t *testing.T) {
	tests := map[string]func(w *fixture){
		"the present one pulses":               func(*fixture) {},
		"it pulses after a silence":            func(w *fixture) { w.now = w.now.Add(hostTimeout + tickInterval); w.tick(w.now) },
		"a former one pulses with an old word": func(w *fixture) { w.receivePulseFrom(7, processAge) },
	}
	for name, pass := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.receivePulseFrom(2, 0)
			w.now = w.now.Add(time.Millisecond)
			w.takeJobFrom("late", 7, 9)
			w.now = w.now.Add(time.Millisecond)
			pass(w)
			for range 2 { // with the stamp that it was told last
				w.receivePulseFrom(2, w.replies[len(w.replies)-1].Stamp)
				w.now = w.now.Add(time.Millisecond)
			}
			w.takeJobFrom("j", 2, 1)
			w.takeJobFrom("k", 2, 2)
			w.receivePulseFrom(7, processAge)
			w.takeJobFrom("late", 7, 9)
			if n := w.placer.Jobs(); n != 2 {
				t.Fatalf("%d jobs are known, want both of the present process", n)
			}
		})
	}
}

// TestHostsThatRestartAreForgotten has hosts come and go.
func TestRestartedHostsAreEvicted(t *testing.T) {
	w := newFixture()
	for i := range uint64(100) {
		w.takeJobFrom("j", i+1, 1)
		w.now = w.now.Add(time.Second)
		w.tick(w.now)
		if n := w.placer.Jobs(); n > 1 {
			t.Fatalf("%d jobs are known after restart %d, want one at most", n, i)
		}
	}
	w.now = w.now.Add(processRetention + time.Second)
	w.tick(w.now)
	if n := len(w.processes); n != 0 {
		t.Fatalf("the processes of %d hosts are remembered, want none", n)
	}
}
