package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// handOf takes a job of a process of host h1.
func (w *waiting) handOf(job string, incarnation, number uint64) {
	w.hand(msgs.JobHand{
		Job: job, Host: "h1", Incarnation: incarnation, Epoch: w.latest.Epoch, Tasks: 1, Again: true, Hand: number,
		Objective: time.Minute, Expires: time.Minute,
	}, w.now)
}

// pulseOf takes a pulse of a process of host h1, with a stamp unless that is zero.
func (w *waiting) pulseOf(incarnation uint64, stamp time.Duration) {
	m := msgs.Pulse{Host: "h1", DataCentre: "dc", Incarnation: incarnation}
	if stamp > 0 {
		m.Placing, m.Stamp = w.latest.Epoch, stamp
	}
	w.pulse(m, w.now)
}

// TestFormerProcessIsForgotten has a message of an entry host's process before
// come late, when a silence or a new epoch was in between.
func TestFormerProcessIsForgotten(t *testing.T) {
	silence := func(d time.Duration) func(w *waiting) {
		return func(w *waiting) {
			for end := w.now.Add(d); w.now.Before(end); {
				w.now = w.now.Add(restTick)
				w.tick(w.now)
			}
		}
	}
	between := map[string]func(w *waiting){
		"at once":                  func(*waiting) {},
		"after a silence":          silence(hostSilence + restTick),
		"after a minute's silence": silence(time.Minute),
		"in the next epoch": func(w *waiting) {
			w.placed(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: waitEpoch + 1, Former: waitEpoch}, w.now)
		},
		"after another host placed": func(w *waiting) {
			w.placed(model.Placement{DataCentre: "dc", Host: "p2", Incarnation: 1, Epoch: waitEpoch + 1, Former: waitEpoch}, w.now)
			silence(time.Minute)(w)
			w.placed(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: waitEpoch + 2, Former: waitEpoch + 1}, w.now)
		},
	}
	late := map[string]func(w *waiting){
		"a hand-over":  func(w *waiting) { w.handOf("late", 7, 9) },
		"a pulse":      func(w *waiting) { w.pulseOf(7, 0) },
		"a withdrawal": func(w *waiting) { w.withdraw(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 9}, w.now) },
	}
	for when, pass := range between {
		for what, come := range late {
			t.Run(what+" "+when, func(t *testing.T) {
				w := newWaiting()
				w.pulseOf(7, 0)
				pass(w)
				w.handOf("j", 2, 1)
				come(w)
				w.pulseOf(2, 0)
				w.handOf("k", 2, 2)
				if n := w.placer.Jobs(); n != 2 {
					t.Fatalf("%d jobs are known, want both of the present process", n)
				}
			})
		}
	}
}

// TestFirstMessageOfFormerProcess has the first message of a process before come
// after those of the present one, which isn't to be cut off by it.
func TestFirstMessageOfFormerProcess(t *testing.T) {
	tests := map[string]func(w *waiting){
		"the present one pulses":               func(*waiting) {},
		"it pulses after a silence":            func(w *waiting) { w.now = w.now.Add(hostSilence + tick); w.tick(w.now) },
		"a former one pulses with an old word": func(w *waiting) { w.pulseOf(7, waitAge) },
	}
	for name, pass := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWaiting()
			w.pulseOf(2, 0)
			w.now = w.now.Add(time.Millisecond)
			w.handOf("late", 7, 9)
			w.now = w.now.Add(time.Millisecond)
			pass(w)
			for range 2 { // with the stamp that it was told last
				w.pulseOf(2, w.told[len(w.told)-1].Stamp)
				w.now = w.now.Add(time.Millisecond)
			}
			w.handOf("j", 2, 1)
			w.handOf("k", 2, 2)
			w.pulseOf(7, waitAge)
			w.handOf("late", 7, 9)
			if n := w.placer.Jobs(); n != 2 {
				t.Fatalf("%d jobs are known, want both of the present process", n)
			}
		})
	}
}

// TestHostsThatRestartAreForgotten has hosts come and go.
func TestHostsThatRestartAreForgotten(t *testing.T) {
	w := newWaiting()
	for i := range uint64(100) {
		w.handOf("j", i+1, 1)
		w.now = w.now.Add(time.Second)
		w.tick(w.now)
		if n := w.placer.Jobs(); n > 1 {
			t.Fatalf("%d jobs are known after restart %d, want one at most", n, i)
		}
	}
	w.now = w.now.Add(processMemory + time.Second)
	w.tick(w.now)
	if n := len(w.processes); n != 0 {
		t.Fatalf("the processes of %d hosts are remembered, want none", n)
	}
}
