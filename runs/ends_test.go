package runs

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestEndNamesHandover checks that each entry host is notified which of its handovers an
// end answers.
func TestEndNamesHandover(t *testing.T) {
	type notification struct {
		host              string
		incarnation, hand uint64
	}
	handOver := func(d *driver, host string, incarnation, number uint64) {
		d.p.Submit(Job{
			ID: "j", Host: host, Incarnation: incarnation, Hand: number, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now,
			Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
		}, d.now)
	}
	tests := map[string]struct {
		before, after func(d *driver) // the run starts and ends in between
		want          []notification
	}{
		"one handover": {before: func(d *driver) { handOver(d, "h1", 1, 7) }, want: []notification{{"h1", 1, 7}}},
		"handed over again by its host": {
			before: func(d *driver) { handOver(d, "h1", 1, 7); handOver(d, "h1", 1, 9) }, want: []notification{{"h1", 1, 9}},
		},
		"by the host's next process": {
			before: func(d *driver) { handOver(d, "h1", 1, 7); handOver(d, "h1", 2, 1) }, want: []notification{{"h1", 2, 1}},
		},
		"by two hosts": {
			before: func(d *driver) { handOver(d, "h1", 1, 7); handOver(d, "h2", 5, 3) }, want: []notification{{"h1", 1, 7}, {"h2", 5, 3}},
		},
		"one arrived after its end": {
			before: func(d *driver) { handOver(d, "h1", 1, 7) }, after: func(d *driver) { handOver(d, "h2", 5, 3) }, want: []notification{{"h1", 1, 7}, {"h2", 5, 3}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			tt.before(d)
			o := d.drain().Starts[0]
			d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeTaken, Clock: 5001}, d.now)
			d.answerPoll(o.Server.Name, nil, []EndedRun{{N: 1, Task: "j.0.0.0", Run: 1, How: RunDone}})
			if tt.after != nil {
				tt.after(d)
			}
			var got []notification
			for _, e := range d.drain().Ends {
				got = append(got, notification{host: e.Host, incarnation: e.Incarnation, hand: e.Hand})
			}
			if !slices.Equal(got, tt.want) {
				t.Fatalf("notified %+v, want %+v", got, tt.want)
			}
		})
	}
}

// TestLostHostIsNotified checks that a placer reports the ends of its jobs to an entry
// host that it considers lost, since that host may be alive and wait for them.
func TestLostHostIsNotified(t *testing.T) {
	tests := map[string]struct {
		hosts       []string // which wait for the job
		incarnation uint64   // which is not lost, 0 for none
		want        []string // hosts that are notified
	}{
		"alone":                        {hosts: []string{"h1"}, want: []string{"h1"}},
		"beside another host":          {hosts: []string{"h1", "h2"}, want: []string{"h1"}},
		"its former process":           {hosts: []string{"h1"}, incarnation: 2},
		"another host waits for a job": {hosts: []string{"h2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			for _, h := range tt.hosts {
				d.submit("j", h)
			}
			d.drain()
			d.p.HostLost("h1", tt.incarnation, d.now)
			var notified []string
			for _, e := range d.drain().Ends {
				notified = append(notified, e.Host)
				if e.Job != "j" || e.State != model.JobEndUnknown {
					t.Errorf("end %+v, want that the job may have run", e)
				}
			}
			if !slices.Equal(notified, tt.want) {
				t.Fatalf("notified %v, want %v", notified, tt.want)
			}
		})
	}
}
