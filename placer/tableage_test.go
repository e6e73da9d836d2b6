package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// handAgain has host h1 hand a job over that the placer of an epoch had, since some
// time after another one.
func (w *fixture) takeJobAgain(former uint64, held time.Duration) {
	w.submitJob(msgs.JobHand{
		Job: "j", Host: "h1", Incarnation: 1, Epoch: w.placement.Epoch, Service: "svc", Tasks: 1, CPU: 60, Again: true, Hand: 1,
		Former: former, Held: held, Expected: time.Millisecond, Objective: time.Minute, Expires: time.Minute, Attempts: 1,
	}, w.now)
	w.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 1, Placing: w.placement.Epoch, Stamp: w.now.Sub(w.startedAt)}, w.now)
}

// TestTableOfAge has a host begin to place with a table of some age, and a job come
// that the placer before had. It may be on a server that the table lacks.
func TestTableAge(t *testing.T) {
	const former = testEpoch + 2
	tests := map[string]struct {
		told   time.Duration // when the table was last known to be all, before the host places; 0 for never
		ended  bool          // the placer before sent it as it stopped
		after  time.Duration // the job comes so long after the host began to place
		sends  bool          // the placer before sends its table then
		starts int           // at once
	}{
		"told just before":                            {told: time.Millisecond, starts: 1},
		"told as long ago as a takeover takes":        {told: runs.TableTime - tickInterval, starts: 1},
		"told longer ago":                             {told: runs.TableTime},
		"never known to be all":                       {},
		"sent by the placer before":                   {ended: true, starts: 1},
		"a job that comes later":                      {told: time.Second, after: runs.TableTime - time.Second - tickInterval, starts: 1},
		"a job that comes too late":                   {told: time.Second, after: runs.TableTime - time.Second},
		"a late job, after the former placer's end":   {ended: true, after: time.Minute, starts: 1},
		"a late job, and the former placer stops":     {told: time.Second, after: time.Minute, sends: true, starts: 1},
		"a table of no age, and the former one stops": {sends: true, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.stopPlacing("superseded")
			servers := []model.Server{{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1}}
			w.applyTable(TableUpdate{Epoch: former, Complete: true, Servers: servers})
			if tt.told > 0 {
				w.tableCompleteAt = w.now.Add(-tt.told)
			}
			table := model.ServerTable{DataCentre: "dc", Epoch: former, Version: 9, Servers: servers}
			if tt.ended {
				w.receiveFinalTable(table, w.now)
			}
			w.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: former + 1, Former: former}, w.now)
			w.answerPolls()
			for end := w.now.Add(tt.after); w.now.Before(end); {
				w.now = w.now.Add(min(100*time.Millisecond, end.Sub(w.now)))
				w.handleReport(model.Server{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: uint64(w.now.UnixMilli())}, w.now)
				w.placer.Tick(w.now)
				w.answerPolls()
			}
			w.takeJobAgain(former, 0)
			if tt.sends {
				w.receiveFinalTable(table, w.now)
			}
			if got := len(w.placer.Drain(w.now).Starts); got != tt.starts {
				t.Fatalf("%d tasks begin at once, want %d", got, tt.starts)
			}
		})
	}
}

// TestEarlierPlacers has a job come that other placers had than the one whose table
// the host has. They may have used other servers.
func TestEarlierPlacers(t *testing.T) {
	const former, lease = testEpoch + 2, 1200 * time.Millisecond // the last lease ends by then
	tests := map[string]struct {
		former uint64
		held   time.Duration
		waits  time.Duration
	}{
		"the placer before had it first":                {former: former},
		"it had it shortly after another one":           {former: former, held: 300 * time.Millisecond, waits: lease - 300*time.Millisecond},
		"it had it long after another one":              {former: former, held: lease},
		"its host knew only the placer before that one": {former: testEpoch, waits: lease},
		"its host meant an earlier placer":              {waits: lease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.stopPlacing("superseded")
			w.receiveFinalTable(model.ServerTable{DataCentre: "dc", Epoch: former, Servers: []model.Server{testServer}}, w.now)
			w.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: former + 1, Former: former}, w.now)
			w.answerPolls()
			w.takeJobAgain(tt.former, tt.held)
			waited := -tickInterval
			for begin := w.now; len(w.placer.Drain(w.now).Starts) == 0; w.now = w.now.Add(tickInterval) {
				waited = w.now.Sub(begin)
				if waited > 2*lease {
					t.Fatalf("nothing begins in %v", waited)
				}
				w.placer.Waits("h1", w.now)
				w.placer.Tick(w.now)
			}
			if waited += tickInterval; waited < tt.waits || waited > tt.waits+2*tickInterval {
				t.Fatalf("its task begins after %v, want %v", waited, tt.waits)
			}
		})
	}
}
