package entry

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestCallerDisconnected guards against handing over, or still confirming, a job whose
// caller has closed its connection while the listener hasn't noticed that yet: the caller
// may have resent the job to another host.
func TestCallerDisconnected(t *testing.T) {
	closed, replies := map[uint64]bool{}, map[uint64][]Kind{}
	submit := func(f *fixture, waiter uint64) {
		f.Handle(Submit{
			Authority: "x.example", Path: "/v/j", Job: "j", Timeout: 2 * time.Second, Waiter: waiter,
			Spec:         Spec{Text: "t", Tasks: 2, Demand: model.Demand{CPU: 100, Expected: time.Second}},
			Disconnected: func() bool { return closed[waiter] }, Reply: func(o Outcome) { replies[waiter] = append(replies[waiter], o.Kind) },
		})
	}
	disconnect := func(waiters ...uint64) {
		for _, w := range waiters {
			closed[w] = true
		}
	}
	request := func(f *fixture) {
		f.Handle(msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true})
	}
	tests := map[string]struct {
		act       func(f *fixture)
		to        []string // placers that get the job
		withdrawn []uint64 // handovers that the last pulse to p1 lists
		open      int
	}{
		"before its request is read": {act: func(f *fixture) { disconnect(1); submit(f, 1) }},
		"before a pulse": {
			act: func(f *fixture) { submit(f, 1); disconnect(1); f.advance(pulseInterval + tickInterval) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"before a pulse that is requested": {
			act: func(f *fixture) { submit(f, 1); disconnect(1); request(f) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"before the next placer is known": {
			act: func(f *fixture) { submit(f, 1); disconnect(1); f.receiveRenewed(0, "", placedA2) }, to: []string{"p1"},
		},
		"before a refusal arrives": {
			act: func(f *fixture) {
				submit(f, 1)
				disconnect(1)
				f.endLatest(msgs.JobEnded{Job: "j", Epoch: 4, State: model.JobEndRefused})
			},
			to: []string{"p1"},
		},
		"while it waits for the next placer": {act: func(f *fixture) {
			f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch})
			submit(f, 1)
			disconnect(1)
			f.receiveRenewed(0, "", placedA2)
			f.Handle(msgs.Pulsed{Host: "p2", Incarnation: 1, Epoch: placedA2.Epoch})
		}},
		"before another data centre gets it": {act: func(f *fixture) {
			f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch})
			submit(f, 1)
			disconnect(1)
			f.advance(parkTimeout + 2*tickInterval)
		}},
		"one of two callers": {
			act: func(f *fixture) { submit(f, 1); submit(f, 2); disconnect(1); request(f) }, to: []string{"p1"}, open: 1,
		},
		"both callers": {
			act: func(f *fixture) { submit(f, 1); submit(f, 2); disconnect(1, 2); request(f) }, to: []string{"p1"}, withdrawn: []uint64{1},
		},
		"the listener notices too": {
			act: func(f *fixture) {
				submit(f, 1)
				disconnect(1)
				request(f)
				submit(f, 2)
				f.Handle(Abandon{Job: "j", Waiter: 1})
				request(f)
			},
			to: []string{"p1", "p1"}, withdrawn: []uint64{1}, open: 1,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			clear(closed)
			clear(replies)
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
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
			for w := range closed {
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
