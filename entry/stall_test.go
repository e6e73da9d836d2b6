package entry

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestStoodStill has this host run out of processor time, so that the answers of
// others wait to be read.
func TestStall(t *testing.T) {
	const still = time.Second
	other := func(f *fixture) { f.Handle(msgs.Pulsed{Host: "q1", Incarnation: 1, Epoch: placedB.Epoch}) }
	stand := func(f *fixture, d time.Duration) { f.now = f.now.Add(d); f.Tick() }
	idle := func(f *fixture) { f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch}); other(f) }
	come := func(f *fixture) {
		f.renew(0, "", placedA2)
		f.Handle(msgs.Pulsed{Host: "p2", Incarnation: 1, Epoch: placedA2.Epoch})
	}
	tests := map[string]struct {
		act func(f *fixture)
		to  []string // placers that get the job
	}{
		"its placer was asked before": {act: func(f *fixture) { stand(f, still); f.submitJob("j", "/v/j") }, to: []string{"p1"}},
		"again and again": {act: func(f *fixture) {
			for range 8 {
				stand(f, stallGap+tickInterval)
			}
			f.submitJob("j", "/v/j")
		}, to: []string{"p1"}},
		"its placer is silent since": {act: func(f *fixture) {
			stand(f, still)
			f.advance(placerTimeout + 2*pulseInterval)
			f.submitJob("j", "/v/j")
		}, to: []string{"q1"}},
		"while a job waits for the next placer": {act: func(f *fixture) {
			idle(f)
			f.submitLong("j", "/v/j", 2*still)
			stand(f, still)
			come(f)
		}, to: []string{"p2"}},
		"before a job comes that waits for the next placer": {act: func(f *fixture) {
			idle(f)
			stand(f, still)
			f.submitLong("j", "/v/j", 2*still)
			come(f)
		}, to: []string{"p2"}},
		"no placer comes since": {act: func(f *fixture) {
			idle(f)
			f.submitLong("j", "/v/j", 2*still)
			stand(f, still)
			f.advance(parkTimeout + 2*tickInterval)
		}, to: []string{"q1"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.renew(2, "v", placedA, placedB)
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

// TestOverdue has the patience of a caller end while this host stands still.
func TestTimeoutDuringStall(t *testing.T) {
	tests := map[string]struct {
		still     time.Duration
		message   any // that is handled first
		open      int
		withdrawn int // jobs that the next pulse to p1 lists
	}{
		"the next placer becomes known": {still: 3 * time.Second, message: msgs.HostRenewed{Host: "c1", Leader: "c1", Placements: []model.Placement{placedA2}}},
		"its placer asks for a word":    {still: 3 * time.Second, message: msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true}, withdrawn: 1},
		"its placer refuses it":         {still: 3 * time.Second, message: msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, Hand: 1, Incarnation: 3, State: model.JobEndRefused}},
		"its caller has some time left": {still: time.Second, message: msgs.Pulsed{Host: "p1", Epoch: placedA.Epoch, Stamp: time.Second, Ask: true}, open: 1},
		"its placer tells its end then": {still: 2*time.Second + answerGrace/2, message: msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, Hand: 1, Incarnation: 3, State: model.JobEndComplete}},
		"another placer becomes known":  {still: 3 * time.Second, message: msgs.HostRenewed{Host: "c1", Leader: "c1", Placements: []model.Placement{{DataCentre: "b", Host: "q2", Incarnation: 1, Epoch: 9}}}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.renew(2, "v", placedA, placedB)
			f.submitLong("j", "/v/j", 2*time.Second)
			f.sent = nil
			f.now = f.now.Add(tt.still)
			f.Handle(tt.message)
			if n := len(f.handovers()); n != 0 {
				t.Errorf("handed over %d times after that", n)
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
