package entry

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestStall guards against a stalled host taking its placer for silent, when the answers
// of others are only waiting to be read: it would send jobs to another data centre.
func TestStall(t *testing.T) {
	const stallTime = time.Second
	other := func(f *fixture) { f.Handle(msgs.Pulsed{Host: "q1", Incarnation: 1, Epoch: placedB.Epoch}) }
	stall := func(f *fixture, d time.Duration) { f.now = f.now.Add(d); f.Tick() }
	idle := func(f *fixture) { f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch}); other(f) }
	nextPlacer := func(f *fixture) {
		f.receiveRenewed(0, "", placedA2)
		f.Handle(msgs.Pulsed{Host: "p2", Incarnation: 1, Epoch: placedA2.Epoch})
	}
	tests := map[string]struct {
		act func(f *fixture)
		to  []string // placers that get the job
	}{
		"after a pulse to its placer": {act: func(f *fixture) { stall(f, stallTime); f.submitJob("j", "/v/j") }, to: []string{"p1"}},
		"several times": {act: func(f *fixture) {
			for range 8 {
				stall(f, stallGap+tickInterval)
			}
			f.submitJob("j", "/v/j")
		}, to: []string{"p1"}},
		"its placer is silent afterwards": {act: func(f *fixture) {
			stall(f, stallTime)
			f.advance(placerTimeout + 2*pulseInterval)
			f.submitJob("j", "/v/j")
		}, to: []string{"q1"}},
		"while a job waits for the next placer": {act: func(f *fixture) {
			idle(f)
			f.submitLong("j", "/v/j", 2*stallTime)
			stall(f, stallTime)
			nextPlacer(f)
		}, to: []string{"p2"}},
		"before a job arrives that waits for the next placer": {act: func(f *fixture) {
			idle(f)
			stall(f, stallTime)
			f.submitLong("j", "/v/j", 2*stallTime)
			nextPlacer(f)
		}, to: []string{"p2"}},
		"no placer is chosen afterwards": {act: func(f *fixture) {
			idle(f)
			f.submitLong("j", "/v/j", 2*stallTime)
			stall(f, stallTime)
			f.advance(parkTimeout + 2*tickInterval)
		}, to: []string{"q1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			f.Handle(msgs.Pulsed{Host: "p1", Incarnation: 1, Epoch: placedA.Epoch})
			other(f)
			f.advance(pulseInterval + tickInterval)
			tt.act(f)
			var to []string
			for _, h := range f.handovers() {
				to = append(to, h.Host)
			}
			if !slices.Equal(to, tt.to) {
				t.Fatalf("handed to %v, want %v", to, tt.to)
			}
		})
	}
}

// TestTimeoutDuringStall guards against handing a job over whose deadline passed while
// this host was stalled.
func TestTimeoutDuringStall(t *testing.T) {
	tests := map[string]struct {
		stall     time.Duration
		message   any // handled first after the stall
		open      int
		withdrawn int // jobs that the next pulse to p1 lists
	}{
		"the next placer becomes known": {stall: 3 * time.Second, message: msgs.HostRenewed{Host: "c1", Leader: "c1", Placements: []model.Placement{placedA2}}},
		"its placer requests a pulse":   {stall: 3 * time.Second, message: msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true}, withdrawn: 1},
		"its placer refuses it":         {stall: 3 * time.Second, message: msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, Hand: 1, Incarnation: 3, State: model.JobEndRefused}},
		"its caller has some time left": {stall: time.Second, message: msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true}, open: 1},
		"its placer reports its end":    {stall: 2*time.Second + answerGrace/2, message: msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, Hand: 1, Incarnation: 3, State: model.JobEndComplete}},
		"another placer becomes known":  {stall: 3 * time.Second, message: msgs.HostRenewed{Host: "c1", Leader: "c1", Placements: []model.Placement{{DataCentre: "b", Host: "q2", Incarnation: 1, Epoch: 9}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			f.submitLong("j", "/v/j", 2*time.Second)
			f.sent = nil
			f.now = f.now.Add(tt.stall)
			f.Handle(tt.message)
			if n := len(f.handovers()); n != 0 {
				t.Errorf("handed over %d times after the stall", n)
			}
			if len(f.jobs) != tt.open {
				t.Errorf("%d open jobs, want %d", len(f.jobs), tt.open)
			}
			if all := f.sentPulses()["p1"]; tt.withdrawn > 0 && (len(all) == 0 || len(all[0].Withdrawn) != tt.withdrawn) {
				t.Errorf("pulses %+v, want one that lists %d withdrawn jobs", all, tt.withdrawn)
			}
		})
	}
}
