package entry

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
)

// TestTableCompleteAt guards against taking a table for newer than it is: an answer only
// proves that the table was complete when the pulse was sent that it answers, however
// late the answer arrives.
func TestTableCompleteAt(t *testing.T) {
	type answer struct {
		pulse   int // number of the pulse that it answers, from 1
		servers uint64
		since   uint64
		epoch   uint64        // 0 for the placer's
		late    time.Duration // after the latest pulse
	}
	tests := map[string]struct {
		answers []answer
		epoch   uint64 // of the table, 0 for none
		pulse   int    // the table was complete when this pulse was sent, 0 for never
	}{
		"no answer":                                    {},
		"an answer":                                    {answers: []answer{{pulse: 3, servers: 2}}, epoch: 4, pulse: 3},
		"one to an earlier pulse":                      {answers: []answer{{pulse: 1, servers: 2}}, epoch: 4, pulse: 1},
		"one that is late":                             {answers: []answer{{pulse: 3, servers: 2, late: time.Second}}, epoch: 4, pulse: 3},
		"the same table again":                         {answers: []answer{{pulse: 1, servers: 2}, {pulse: 3, servers: 2, since: 2}}, epoch: 4, pulse: 3},
		"answers that overtake each other":             {answers: []answer{{pulse: 3, servers: 2}, {pulse: 1, servers: 2}}, epoch: 4, pulse: 3},
		"an older table after a newer one":             {answers: []answer{{pulse: 1, servers: 3}, {pulse: 3, servers: 2}}, epoch: 4, pulse: 1},
		"a change without a pulse":                     {answers: []answer{{pulse: 2, servers: 2}, {pulse: 2, servers: 3, since: 2, late: time.Second}}, epoch: 4, pulse: 2},
		"a change from a version that it doesn't have": {answers: []answer{{pulse: 1, servers: 2}, {pulse: 3, servers: 5, since: 4}}, epoch: 4, pulse: 1},
		"an answer to an earlier process":              {answers: []answer{{pulse: 99, servers: 2}}, epoch: 4},
		"an answer without a table":                    {answers: []answer{{pulse: 3}}},
		"the placer of another epoch":                  {answers: []answer{{pulse: 3, servers: 2, epoch: 3}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA)
			sent := map[int]time.Time{}
			f.sent = nil
			for len(f.sentPulses()["p1"]) < 3 {
				before := len(f.sentPulses()["p1"])
				f.Tick()
				if n := len(f.sentPulses()["p1"]); n > before {
					sent[n] = f.now
				}
				f.now = f.now.Add(tickInterval)
			}
			pulses := f.sentPulses()["p1"]
			for _, a := range tt.answers {
				f.now = f.now.Add(a.late)
				m := msgs.Pulsed{Host: "p1", Incarnation: 1, Epoch: 4, Stamp: time.Second, Servers: a.servers, Since: a.since, Answers: 1 << 40}
				if a.epoch != 0 {
					m.Epoch = a.epoch
				}
				if a.pulse <= len(pulses) {
					m.Answers = pulses[a.pulse-1].Number
				}
				f.Handle(m)
			}
			f.sent = nil
			f.receiveRenewed(0, "", placedA2)
			for _, e := range f.sent {
				m, ok := e.Body.(placer.PlacementUpdate)
				if !ok {
					continue
				}
				if m.TableEpoch != tt.epoch || !m.TableCompleteAt.Equal(sent[tt.pulse]) {
					t.Fatalf("table of epoch %d, complete at %v, want epoch %d and %v", m.TableEpoch, m.TableCompleteAt, tt.epoch, sent[tt.pulse])
				}
				return
			}
			t.Fatal("the placer's service isn't notified of the placement")
		})
	}
}

// TestPreviousPlacers guards against a second run of a job that goes from placer to
// placer: each is notified which one may have started it before, and for how long that
// one had it after another one.
func TestPreviousPlacers(t *testing.T) {
	placed := func(f *fixture, after time.Duration, epoch uint64) {
		f.now = f.now.Add(after)
		f.receiveRenewed(0, "", model.Placement{DataCentre: "a", Host: "p2", Incarnation: 1, Epoch: epoch})
	}
	tests := map[string]struct {
		act    func(f *fixture)
		former uint64
		held   time.Duration
	}{
		"the first":          {act: func(*fixture) {}},
		"the second":         {act: func(f *fixture) { placed(f, time.Second, 6) }, former: 4},
		"the third":          {act: func(f *fixture) { placed(f, time.Second, 6); placed(f, 300*time.Millisecond, 7) }, former: 6, held: 300 * time.Millisecond},
		"the third, at once": {act: func(f *fixture) { placed(f, time.Second, 6); placed(f, 0, 7) }, former: 6, held: time.Nanosecond},
		"the fourth":         {act: func(f *fixture) { placed(f, 0, 6); placed(f, time.Second, 7); placed(f, 900*time.Millisecond, 9) }, former: 7, held: 900 * time.Millisecond},
		"one after some that the host doesn't know of": {act: func(f *fixture) { placed(f, time.Second, 9) }, former: 4},
		"another data centre, when the own one refused it": {act: func(f *fixture) {
			f.endLatest(msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, State: model.JobEndRefused})
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			f.submitLong("j", "/v/j", time.Minute)
			tt.act(f)
			handovers := f.handovers()
			if last := handovers[len(handovers)-1]; last.Former != tt.former || last.Held != tt.held {
				t.Fatalf("handover %+v, want one after epoch %d, which had it for %v", last, tt.former, tt.held)
			}
		})
	}
}
