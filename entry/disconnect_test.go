package entry

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestCallerGone has a caller close its connection, which the listener hasn't
// noticed yet.
func TestCallerDisconnected(t *testing.T) {
	gone, replies := map[uint64]bool{}, map[uint64][]Kind{}
	submit := func(f *fixture, waiter uint64) {
		f.Handle(Submit{
			Authority: "x.example", Path: "/v/j", Job: "j", Timeout: 2 * time.Second, Waiter: waiter,
			Spec:         Spec{Text: "t", Tasks: 2, Demand: model.Demand{CPU: 100, Expected: time.Second}},
			Disconnected: func() bool { return gone[waiter] }, Reply: func(o Outcome) { replies[waiter] = append(replies[waiter], o.Kind) },
		})
	}
	leave := func(waiters ...uint64) {
		for _, w := range waiters {
			gone[w] = true
		}
	}
	ask := func(f *fixture) {
		f.Handle(msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true})
	}
	tests := map[string]struct {
		act       func(f *fixture)
		to        []string // placers that get the job
		withdrawn []uint64 // hand-overs that the last pulse to p1 lists
		open      int
	}{
		"before its request is read": {act: func(f *fixture) { leave(1); submit(f, 1) }},
		"before a pulse": {
			act: func(f *fixture) { submit(f, 1); leave(1); f.advance(pulseInterval + tickInterval) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"before a pulse that is asked for": {
			act: func(f *fixture) { submit(f, 1); leave(1); ask(f) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"before the next placer is known": {
			act: func(f *fixture) { submit(f, 1); leave(1); f.renew(0, "", placedA2) }, to: []string{"p1"},
		},
		"before a refusal comes": {
			act: func(f *fixture) {
				submit(f, 1)
				leave(1)
				f.end(msgs.JobEnded{Job: "j", Epoch: 4, State: model.JobEndRefused})
			},
			to: []string{"p1"},
		},
		"before a placer comes that it waits for": {act: func(f *fixture) {
			f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch})
			submit(f, 1)
			leave(1)
			f.renew(0, "", placedA2)
			f.Handle(msgs.Pulsed{Host: "p2", Incarnation: 1, Epoch: placedA2.Epoch})
		}},
		"before another data centre gets it": {act: func(f *fixture) {
			f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch})
			submit(f, 1)
			leave(1)
			f.advance(parkTimeout + 2*tickInterval)
		}},
		"one of two callers": {
			act: func(f *fixture) { submit(f, 1); submit(f, 2); leave(1); ask(f) }, to: []string{"p1"}, open: 1,
		},
		"both callers": {
			act: func(f *fixture) { submit(f, 1); submit(f, 2); leave(1, 2); ask(f) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"the listener notices too": {
			act: func(f *fixture) {
				submit(f, 1)
				leave(1)
				ask(f)
				submit(f, 2)
				f.Handle(Abandon{Job: "j", Waiter: 1})
				ask(f)
			},
			to: []string{"p1", "p1"}, withdrawn: []uint64{1}, open: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clear(gone)
			clear(replies)
			f := newFixture()
			f.renew(2, "v", placedA, placedB)
			tt.act(f)
			var to []string
			for _, h := range f.handovers() {
				to = append(to, h.Host)
			}
			if !slices.Equal(to, tt.to) {
				t.Errorf("handed to %v, want %v", to, tt.to)
			}
			var listed []uint64
			if all := f.sentPulses()["p1"]; len(all) > 0 {
				for _, w := range all[len(all)-1].Withdrawn {
					listed = append(listed, w.Hand)
				}
			}
			if tt.withdrawn != nil && !slices.Equal(listed, tt.withdrawn) {
				t.Errorf("the last pulse lists %v as withdrawn, want %v", listed, tt.withdrawn)
			}
			for w := range gone {
				if len(replies[w]) != 1 || replies[w][0] == KindComplete {
					t.Errorf("replies %v to waiter %d, want one, so that its handler ends", replies[w], w)
				}
			}
			if len(f.jobs) != tt.open {
				t.Errorf("%d open jobs, want %d", len(f.jobs), tt.open)
			}
		})
	}
}
