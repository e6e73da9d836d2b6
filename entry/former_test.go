package entry

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestPreviousProcessOfPlacer guards against a late answer of the previous process of
// the placer's host, that it doesn't place, marking the placer idle for good: the placer
// answers a later pulse.
func TestPreviousProcessOfPlacer(t *testing.T) {
	places := func(f *fixture) {
		f.Handle(msgs.Pulsed{Host: placedA.Host, Incarnation: placedA.Incarnation, Epoch: placedA.Epoch})
	}
	former := func(f *fixture) { f.Handle(msgs.Pulsed{Host: placedA.Host, Incarnation: 7}) }
	submit := func(f *fixture) { f.submitLong("j", "/v/j", time.Second) }
	tests := map[string]struct {
		act  []func(f *fixture)
		want string // placer that gets the job
	}{
		"no such answer":              {act: []func(*fixture){places, submit}, want: "p1"},
		"before the placer's":         {act: []func(*fixture){former, places, submit}, want: "p1"},
		"between the placer's":        {act: []func(*fixture){places, former, places, submit}, want: "p1"},
		"twice":                       {act: []func(*fixture){places, former, former, places, submit}, want: "p1"},
		"the placer restarted":        {act: []func(*fixture){places, former, submit}, want: "q1"},
		"it answers, then restarts":   {act: []func(*fixture){places, former, places, former, submit}, want: "q1"},
		"it restarted and stays idle": {act: []func(*fixture){former, former, submit}, want: "q1"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			f.Handle(msgs.Pulsed{Host: placedB.Host, Incarnation: placedB.Incarnation, Epoch: placedB.Epoch})
			for _, act := range tt.act {
				act(f)
			}
			f.advance(parkTimeout + 2*tickInterval)
			got := f.handovers()
			if len(got) != 1 || got[0].Host != tt.want {
				t.Fatalf("handed over %+v, want once, to %s", got, tt.want)
			}
		})
	}
}
