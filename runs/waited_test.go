package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// after advances the time in ticks, as for a placer that isn't stalled.
func (d *driver) after(wait time.Duration) {
	for end := d.now.Add(wait); d.now.Before(end); {
		d.now = d.now.Add(20 * time.Millisecond)
		d.p.Tick(d.now)
	}
}

// end reports the end of the run of a job's only task, as the n-th end on its server.
func (d *driver) end(server, job string, n uint64, run int, how RunEnd) Output {
	d.drain()
	d.answerPoll(server, nil, []EndedRun{{N: n, Task: job + ".0.0.0", Run: run, How: how}})
	return d.drain()
}

// TestWaited checks how long an End reports that a job waited for the start of its
// last task.
func TestWaited(t *testing.T) {
	const step = 100 * time.Millisecond
	tests := map[string]struct {
		play   func(d *driver) Output
		state  model.JobEnd
		waited time.Duration
		took   time.Duration
	}{
		"started at once": {state: model.JobEndComplete, took: step, play: func(d *driver) Output {
			s := d.startJob("j")
			d.after(step)
			return d.end(s, "j", 1, 1, RunDone)
		}},
		"waited for a server": {state: model.JobEndComplete, waited: step, took: 2 * step, play: func(d *driver) Output {
			first := d.startJob("k")
			d.startJob("l")
			d.submit("j", "h1")
			d.drain()
			d.after(step)
			d.end(first, "k", 1, 1, RunDone)
			d.after(step)
			return d.end(first, "j", 2, 1, RunDone)
		}},
		"a run failed": {state: model.JobEndComplete, waited: step, took: 2 * step, play: func(d *driver) Output {
			s := d.startJob("j")
			d.after(step)
			second := d.end(s, "j", 1, 1, RunFailed).Starts[0].Server.Name
			d.after(step)
			return d.end(second, "j", 1, 2, RunDone)
		}},
		"it expires while it waits": {state: model.JobEndRefused, waited: 10 * step, took: 10 * step, play: func(d *driver) Output {
			d.startJob("k")
			d.startJob("l")
			d.submit("j", "h1")
			d.drain()
			d.after(10 * step)
			return d.drain()
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			for _, e := range tt.play(d).Ends {
				if e.Job != "j" {
					continue
				}
				if e.State != tt.state || e.Waited != tt.waited || e.Took != tt.took {
					t.Errorf("%v after %v, waited %v, want %v after %v, waited %v", e.State, e.Took, e.Waited, tt.state, tt.took, tt.waited)
				}
				return
			}
			t.Error("the job has no end")
		})
	}
}
