package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// takeJobAgain submits a job of host h1 that the placer of epoch former had for held
// after another placer, and confirms that the host waits for it.
func (f *fixture) takeJobAgain(former uint64, held time.Duration) {
	f.submitJob(msgs.JobHand{
		Job: "j", Host: "h1", Incarnation: 1, Epoch: f.placement.Epoch, Service: "svc", Tasks: 1, CPU: 60, Again: true, Hand: 1,
		Former: former, Held: held, Expected: time.Millisecond, Objective: time.Minute, Expires: time.Minute, Attempts: 1,
	}, f.now)
	f.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 1, Placing: f.placement.Epoch, Stamp: f.now.Sub(f.startedAt)}, f.now)
}

// TestTableAge guards against a second run of a task when the table that a placer starts
// with is too old: the job may run on a server that the previous placer found since and
// that the table lacks.
func TestTableAge(t *testing.T) {
	const former = testEpoch + 2
	tests := map[string]struct {
		age    time.Duration // since the table was last known to be complete, when the host starts placing; 0 for never
		final  bool          // the previous placer sent it when it stopped
		after  time.Duration // from when the host starts placing until the job arrives
		sends  bool          // the previous placer sends its table then
		starts int           // tasks started immediately
	}{
		"confirmed just before":                                 {age: time.Millisecond, starts: 1},
		"confirmed as long ago as a takeover takes":             {age: runs.TableValidity - tickInterval, starts: 1},
		"confirmed longer ago":                                  {age: runs.TableValidity},
		"never known to be complete":                            {},
		"sent by the previous placer":                           {final: true, starts: 1},
		"a job that arrives later":                              {age: time.Second, after: runs.TableValidity - time.Second - tickInterval, starts: 1},
		"a job that arrives too late":                           {age: time.Second, after: runs.TableValidity - time.Second},
		"a late job, after the previous placer's end":           {final: true, after: time.Minute, starts: 1},
		"a late job, and the previous placer stops":             {age: time.Second, after: time.Minute, sends: true, starts: 1},
		"a table of unknown age, and the previous placer stops": {sends: true, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.stopPlacing("superseded")
			servers := []model.Server{{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1}}
			f.applyTable(TableUpdate{Epoch: former, Complete: true, Servers: servers})
			if tt.age > 0 {
				f.tableCompleteAt = f.now.Add(-tt.age)
			}
			table := model.ServerTable{DataCentre: "dc", Epoch: former, Version: 9, Servers: servers}
			if tt.final {
				f.receiveFinalTable(table, f.now)
			}
			f.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: former + 1, Former: former}, f.now)
			f.answerPolls()
			for end := f.now.Add(tt.after); f.now.Before(end); {
				f.now = f.now.Add(min(100*time.Millisecond, end.Sub(f.now)))
				f.handleReport(model.Server{Name: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: uint64(f.now.UnixMilli())}, f.now)
				f.placer.Tick(f.now)
				f.answerPolls()
			}
			f.takeJobAgain(former, 0)
			if tt.sends {
				f.receiveFinalTable(table, f.now)
			}
			if got := len(f.placer.Drain(f.now).Starts); got != tt.starts {
				t.Fatalf("%d tasks start immediately, want %d", got, tt.starts)
			}
		})
	}
}

// TestEarlierPlacers guards against a second run of a task that a placer before the
// previous one may have started, on servers that the previous placer's table lacks. Its
// tasks wait until the leases of that placer have expired.
func TestEarlierPlacers(t *testing.T) {
	const former, lease = testEpoch + 2, 1200 * time.Millisecond // time until the last lease has expired
	tests := map[string]struct {
		former uint64
		held   time.Duration
		waits  time.Duration
	}{
		"the previous placer had it first":     {former: former},
		"shortly after another one":            {former: former, held: 300 * time.Millisecond, waits: lease - 300*time.Millisecond},
		"long after another one":               {former: former, held: lease},
		"its host knew only an earlier placer": {former: testEpoch, waits: lease},
		"its host names no placer":             {waits: lease},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.stopPlacing("superseded")
			f.receiveFinalTable(model.ServerTable{DataCentre: "dc", Epoch: former, Servers: []model.Server{testServer}}, f.now)
			f.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: former + 1, Former: former}, f.now)
			f.answerPolls()
			f.takeJobAgain(tt.former, tt.held)
			waited := -tickInterval
			for begin := f.now; len(f.placer.Drain(f.now).Starts) == 0; f.now = f.now.Add(tickInterval) {
				waited = f.now.Sub(begin)
				if waited > 2*lease {
					t.Fatalf("no task started within %v", waited)
				}
				f.placer.ConfirmWait("h1", f.now)
				f.placer.Tick(f.now)
			}
			if waited += tickInterval; waited < tt.waits || waited > tt.waits+2*tickInterval {
				t.Fatalf("task started after %v, want %v", waited, tt.waits)
			}
		})
	}
}
