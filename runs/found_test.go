package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// newTakeover returns a placer that takes over servers a, b and c from the previous
// one. Its first polls are in flight.
func newTakeover(t *testing.T) *driver {
	d := &driver{t: t, now: time.Unix(1000, 0)}
	d.p = New(2, true, d.now)
	var servers []model.Server
	for _, name := range []string{"a", "b", "c"} {
		servers = append(servers, model.Server{Name: name, Address: name, Service: "svc", Born: 1, CPU: 1000, MemoryMB: 10})
	}
	d.p.TakeOver(servers, d.now)
	d.drain()
	return d
}

// TestUnclaimedRun has a new placer find a run that no entry host claims in time. The run
// is not a failure of its server, which must not be ejected.
func TestUnclaimedRun(t *testing.T) {
	d := newTakeover(t)
	d.answerPoll("a", []ActiveRun{{Task: "j.0.0.0", Run: 1}}, nil)
	d.answerPoll("b", nil, nil)
	d.answerPoll("c", nil, nil)
	for range 8 {
		d.now = d.now.Add(50 * time.Millisecond)
		d.p.Tick(d.now)
		for _, e := range d.drain().Events {
			if e.Kind == EventEjected {
				t.Fatalf("server %s is ejected (%s) because no job claims a run on it", e.Server, e.Reason)
			}
		}
	}
}

// TestClaimedRun has a new placer find a run whose entry host waits for it, while
// another server doesn't answer for some time. The run must not be stopped or lose its
// lease meanwhile.
func TestClaimedRun(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration // of the other server
		lease  bool          // has to be renewed meanwhile
	}{
		"for 0.1 s": {silent: 100 * time.Millisecond},
		"for 0.4 s": {silent: 400 * time.Millisecond, lease: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newTakeover(t)
			begin := d.now
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Again: true,
				Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 2 * time.Second},
			}, d.now)
			d.p.ConfirmWait("h1", d.now)
			active := []ActiveRun{{Task: "j.0.0.0", Run: 1}}
			d.answerPoll("a", active, nil)
			d.answerPoll("c", nil, nil)
			granted := int64(0)
			for d.now.Sub(begin) < tt.silent {
				d.now = d.now.Add(50 * time.Millisecond)
				d.p.ConfirmWait("h1", d.now)
				d.p.Tick(d.now)
				out := d.drain()
				for range out.Stops {
					t.Fatalf("the run is stopped %v after it was found, though its entry host waits", d.now.Sub(begin))
				}
				for _, o := range out.Polls {
					if o.Server.Name == "a" {
						granted = max(granted, o.Deadline)
						d.answerPoll("a", active, nil)
					}
				}
			}
			if tt.lease && granted == 0 {
				t.Fatalf("the server got no lease for the run in %v, though its entry host waits", d.now.Sub(begin))
			}
		})
	}
}

// TestDuplicateRunIsStopped has a server list a run of a task that has another run
// recorded there, as after a restart in which the server accepted a late start.
func TestDuplicateRunIsStopped(t *testing.T) {
	d := newDriver(t)
	server := d.startJob("j")
	d.drain()
	d.answerPoll(server, []ActiveRun{{Task: "j.0.0.0", Run: 7}}, nil)
	for range 5 {
		for _, o := range d.drain().Stops {
			if o.Run == 7 {
				return
			}
		}
		d.now = d.now.Add(50 * time.Millisecond)
		d.p.Tick(d.now)
	}
	t.Fatal("run 7 is listed while run 1 is recorded, and isn't stopped")
}

// TestRestartWaitsForDuplicateRun has a server list a different run of a task than the one
// that was recorded there. The task may start again only when the listed run has ended.
func TestRestartWaitsForDuplicateRun(t *testing.T) {
	tests := map[string]struct {
		ended  []EndedRun
		starts int
	}{
		"it is being stopped": {},
		"it has ended":        {ended: []EndedRun{{N: 1, Task: "j.0.0.0", Run: 7, How: RunStopped}}, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			server := d.startJob("j")
			d.drain()
			d.now = d.now.Add(20 * time.Millisecond)
			d.p.servers[server].pollNow = true
			d.drain()
			d.answerPoll(server, []ActiveRun{{Task: "j.0.0.0", Run: 7}}, nil)
			out := d.drain()
			if len(out.Starts) > 0 || len(out.Stops) != 1 || out.Stops[0].Run != 7 {
				t.Fatalf("starts %+v and stops %+v while run 7 is listed", out.Starts, out.Stops)
			}
			d.now = d.now.Add(20 * time.Millisecond)
			d.p.servers[server].pollNow = true
			d.drain()
			active := []ActiveRun{{Task: "j.0.0.0", Run: 7}}
			if tt.ended != nil {
				active = nil
			}
			d.answerPoll(server, active, tt.ended)
			starts := d.drain().Starts
			if len(starts) != tt.starts {
				t.Fatalf("starts %+v, want %d", starts, tt.starts)
			}
			for _, o := range starts {
				if o.Run <= 7 {
					t.Fatalf("run %d follows run 7", o.Run)
				}
			}
		})
	}
}

// TestStartRefusedAsOld has a server refuse a start because it knows a higher run, which
// may still be active there. The task may start again only when that run has ended.
func TestStartRefusedAsOld(t *testing.T) {
	tests := map[string]struct {
		active []ActiveRun
		starts int
	}{
		"the higher run is active": {active: []ActiveRun{{Task: "j.0.0.0", Run: 3}}},
		"it has ended":             {starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.submit("j", "h1")
			o := d.drain().Starts[0]
			d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: OutcomeOld, Clock: 5001}, d.now)
			if n := len(d.drain().Starts); n > 0 {
				t.Fatalf("%d starts before a poll has shown whether the higher run is active", n)
			}
			d.now = d.now.Add(time.Millisecond)
			d.p.servers[o.Server.Name].pollNow = true
			d.drain()
			d.answerPoll(o.Server.Name, tt.active, nil)
			if n := len(d.drain().Starts); n != tt.starts {
				t.Fatalf("%d starts after the poll, want %d", n, tt.starts)
			}
		})
	}
}

// TestPollAnswerOfFormerProcess has the poll answer of a server's former process arrive
// after the report of the new one. It must not count for the new process.
func TestPollAnswerOfFormerProcess(t *testing.T) {
	d := newDriver(t)
	server := d.startJob("j")
	d.drain()
	next := d.servers[0]
	if next.Name != server {
		next = d.servers[1]
	}
	next.Born, next.Seq = 2, 1
	seq := d.p.servers[server].pollInFlight
	if seq == 0 {
		t.Fatal("there is no poll in flight")
	}
	d.p.Report(next, d.now)
	d.drain() // a poll of the new process
	d.p.Polled(PollResult{Server: server, Born: 1, Seq: seq, Outcome: OutcomeTaken, Clock: 486000, Sent: d.now}, d.now)
	s := d.p.servers[server]
	if s.Born != 2 || s.polled || s.clock != 0 {
		t.Fatalf("born %d, polled %v, clock %d after the late answer, want a new process that isn't polled", s.Born, s.polled, s.clock)
	}
}

// TestJobIsQueuedOnce has one task's run found and another task's run fail before the
// next dispatch. The job is still in the queue then and must not be queued twice.
func TestJobIsQueuedOnce(t *testing.T) {
	d := newTakeover(t)
	d.p.ConfirmWait("h1", d.now)
	d.answerPoll("b", nil, nil)
	d.answerPoll("c", nil, nil)
	d.p.Submit(Job{
		ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 3, Attempts: 3, Arrived: d.now,
		Objective: time.Second, Expires: time.Second, Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
	}, d.now)
	starts := d.drain().Starts
	if len(starts) != 2 {
		t.Fatalf("%d starts, want 2: one task has to wait", len(starts))
	}
	first := starts[0]
	for _, o := range starts {
		d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeTaken, Clock: 5000}, d.now)
	}
	d.drain()
	d.answerPoll("a", []ActiveRun{{Task: "j.0.0.2", Run: 1, CPU: 1000}}, nil)
	d.answerPoll(first.Server.Name, nil, []EndedRun{{N: 1, Task: first.Task, Run: first.Run, How: RunFailed}})
	if got := d.p.Waiting(); got != 1 {
		t.Fatalf("the job is in the queue %d times", got)
	}
}

// TestLateJobDuringTakeover has a job handed over again that is too late to start,
// while its run is active and the new placer has yet to find it. The job must not be
// refused before that.
func TestLateJobDuringTakeover(t *testing.T) {
	tests := map[string]struct {
		active []ActiveRun // on server a
		starts int
	}{
		"its run is found":   {active: []ActiveRun{{Task: "j.0.0.0", Run: 1}}},
		"nothing runs of it": {starts: 1}, // since there is room
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newTakeover(t)
			d.p.ConfirmWait("h1", d.now)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now.Add(-2 * time.Second), Again: true,
				Objective: 700 * time.Millisecond, Expires: 6 * time.Second, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 400 * time.Millisecond},
			}, d.now)
			d.p.Tick(d.now)
			if ends := d.drain().Ends; len(ends) > 0 {
				t.Fatalf("the job ended %v before the servers were polled", ends[0].State)
			}
			d.answerPoll("a", tt.active, nil)
			d.answerPoll("b", nil, nil)
			d.answerPoll("c", nil, nil)
			starts := len(d.drain().Starts)
			d.p.Tick(d.now)
			if ends := d.drain().Ends; len(ends) > 0 || starts != tt.starts {
				t.Fatalf("%d starts and ends %v after the polls, want %d and none", starts, ends, tt.starts)
			}
		})
	}
}
