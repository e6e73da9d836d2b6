package bench

import (
	"testing"
	"time"

	"go.uber.org/goleak"

	"dogwoodrock.example/dogwoodrock/kernel"
)

func TestReplayAgainstNaive(t *testing.T) {
	const pause = 5 * time.Millisecond
	tests := map[string]struct {
		failAll int
		slots   int
		pause   time.Duration
		load    float64
		check   func(t *testing.T, r Report)
	}{
		"light load completes": {load: 0.1, slots: 40, pause: pause, check: func(t *testing.T, r Report) {
			if r.Complete != r.Jobs || r.Wasted.Refused > r.Tasks {
				t.Errorf("report: %+v", r)
			}
		}},
		"a server that fails everything causes retries": {load: 0.1, slots: 40, failAll: 1, check: func(t *testing.T, r Report) {
			if r.Wasted.Retried == 0 {
				t.Errorf("report: %+v", r)
			}
		}},
		"with a pause, full servers make no job fail": {load: 0.5, slots: 4, pause: pause, check: func(t *testing.T, r Report) {
			if r.Complete != r.Jobs || r.Wasted.OverSlots == 0 {
				t.Errorf("report: %+v", r)
			}
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			naive, err := StartNaive(t.Context(), []string{"127.0.0.1:0", "127.0.0.1:0"}, WithRetryPause(tt.pause))
			if err != nil {
				t.Fatal(err)
			}
			defer naive.Stop(t.Context())
			entries, err := naive.Addresses(t.Context())
			if err != nil {
				t.Fatal(err)
			}
			fleet := Fleet{
				Entries: entries, DataCentres: []string{"changwon", "gimhae"},
				Servers: 2, Slots: tt.slots, Speeds: []float64{1, 2}, FailAll: tt.failAll,
			}
			p := Profile{Load: tt.load, Customers: threeCustomers, Burst: 1, KeyedShare: 0.5, ResubmitShare: 0.5}
			recording := Generate(p, Scale{Seed: 3, Duration: time.Second, Capacity: fleet.Capacity(), TaskTime: 0.1})
			for i := range recording.Events {
				recording.Events[i].Deadline = 0 // jobs must not fail because the tests run slowly under load
			}
			r, err := Replay{Recording: recording, Fleet: fleet}.Run(t.Context(), kernel.SystemEnv())
			if err != nil {
				t.Fatal(err)
			}
			if r.Jobs == 0 || r.WrongAnswers > 0 {
				t.Errorf("report: %+v", r)
			}
			tt.check(t, r)
		})
	}
}
