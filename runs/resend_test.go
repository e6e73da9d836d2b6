package runs

import (
	"fmt"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// driver drives a placer with two servers step by step.
type driver struct {
	t   *testing.T
	now time.Time
	p   *Placer
	out Output

	servers []model.Server
}

func newDriver(t *testing.T) *driver { return newDriverWith(t, true) }

// newDriverWith returns a placer whose servers have answered. tableComplete states
// whether it knows all servers of the previous placer.
func newDriverWith(t *testing.T, tableComplete bool) *driver {
	d := newTakenOver(t, tableComplete)
	d.p.ConfirmWait("h1", d.now)
	d.p.ConfirmWait("h2", d.now)
	d.answerPoll("a", nil, nil)
	d.answerPoll("b", nil, nil)
	d.drain()
	return d
}

// newUnpolledDriver returns a placer whose servers have not answered yet.
func newUnpolledDriver(t *testing.T) *driver { return newTakenOver(t, true) }

func newTakenOver(t *testing.T, tableComplete bool) *driver {
	d := &driver{t: t, now: time.Unix(1000, 0)}
	d.p = New(1, tableComplete, d.now)
	var servers []model.Server
	for _, name := range []string{"a", "b"} {
		servers = append(servers, model.Server{Name: name, Address: name, Service: "svc", Born: 1, CPU: 1000, MemoryMB: 10, Labels: []string{"k"}})
	}
	d.p.TakeOver(servers, d.now)
	d.servers = servers
	d.drain()
	return d
}

func (d *driver) drain() Output {
	d.out = d.p.Drain(d.now)
	return d.out
}

// answerPoll answers the poll of a server that is in flight.
func (d *driver) answerPoll(name string, active []ActiveRun, ended []EndedRun) {
	s := d.p.servers[name]
	if s.pollInFlight == 0 {
		d.t.Fatalf("there is no poll of server %s in flight", name)
	}
	d.p.Polled(PollResult{
		Server: name, Born: 1, Seq: s.pollInFlight, Outcome: OutcomeTaken, Clock: 5000 + d.now.Sub(time.Unix(1000, 0)).Milliseconds(),
		Sent: d.now, Active: active, Ended: ended,
	}, d.now)
}

func (d *driver) submit(id, host string) {
	d.p.Submit(Job{
		ID: id, Host: host, Incarnation: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Strict: true,
		Objective: 400 * time.Millisecond, Expires: 1500 * time.Millisecond,
		Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
	}, d.now)
}

// startJob starts a job of host h1 and returns the server of its run.
func (d *driver) startJob(id string) string {
	d.submit(id, "h1")
	out := d.drain()
	if len(out.Starts) != 1 {
		d.t.Fatalf("%d starts of a job, want 1", len(out.Starts))
	}
	o := out.Starts[0]
	d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeTaken, Clock: 5001}, d.now)
	return o.Server.Name
}

// TestResendDuringStop has a job resent while its earlier run is being stopped. The task
// must not start before that run has ended.
func TestResendDuringStop(t *testing.T) {
	tests := map[string]func(d *driver){
		"its caller left":         func(d *driver) { d.p.Withdraw("j", "h1", 0, d.now) },
		"its entry host was lost": func(d *driver) { d.p.HostLost("h1", 0, d.now) },
		"its host has restarted":  func(d *driver) { d.p.HostLost("h1", 2, d.now) },
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			first := d.startJob("j")
			leave(d)
			if n := len(d.drain().Stops); n != 1 {
				t.Fatalf("%d stops, want 1", n)
			}
			d.submit("j", "h2")
			for _, o := range d.drain().Starts {
				t.Fatalf("run %d of %s is ordered on %s while run 1 on %s is not known to have ended", o.Run, o.Task, o.Server.Name, first)
			}
			d.answerPoll(first, nil, []EndedRun{{N: 1, Task: "j.0.0.0", Run: 1, How: RunStopped}})
			starts := d.drain().Starts
			if len(starts) != 1 || starts[0].Run <= 1 {
				t.Fatalf("starts %+v after the first run has ended, want one of a higher run", starts)
			}
		})
	}
}

// TestResendIsNotRefused has a job resent to a placer whose servers are full while an
// earlier run of it is active. If it were refused, another data centre would start it
// beside that run.
func TestResendIsNotRefused(t *testing.T) {
	d := newDriver(t)
	first := d.startJob("j")
	d.startJob("other")
	d.p.Withdraw("j", "h1", 0, d.now)
	for _, id := range []string{"k1", "k2", "k3", "k4"} {
		d.submit(id, "h1")
	}
	d.drain()
	d.submit("j", "h2")
	for _, e := range d.drain().Ends {
		if e.Job == "j" {
			t.Fatalf("the job is %v (%s), so that another placer would start it while run 1 is on %s", e.State, e.Reason, first)
		}
	}
}

// TestWaitingHosts has two entry hosts wait for one job, and one of them stop waiting.
func TestWaitingHosts(t *testing.T) {
	tests := map[string]func(d *driver){
		"the first one's caller left":       func(d *driver) { d.p.Withdraw("j", "h1", 0, d.now) },
		"the second one's caller left":      func(d *driver) { d.p.Withdraw("j", "h2", 0, d.now) },
		"the first one is lost":             func(d *driver) { d.p.HostLost("h1", 0, d.now) },
		"the second one is lost":            func(d *driver) { d.p.HostLost("h2", 0, d.now) },
		"both continue to wait for the end": func(*driver) {},
	}
	for name, leave := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			server := d.startJob("j")
			d.submit("j", "h2")
			leave(d)
			if n := len(d.drain().Stops); n != 0 {
				t.Fatalf("%d stops while a host waits", n)
			}
			d.answerPoll(server, nil, []EndedRun{{N: 1, Task: "j.0.0.0", Run: 1, How: RunDone}})
			ends := d.drain().Ends
			want := 1
			if name == "both continue to wait for the end" {
				want = 2
			}
			if len(ends) != want {
				t.Fatalf("%d hosts are notified of the end, want %d: %+v", len(ends), want, ends)
			}
		})
	}
}

// TestHandedOverAgain has jobs arrive that the previous placer may have started. Some of
// them arrive late, because a slow core informed their entry hosts of this placer.
func TestHandedOverAgain(t *testing.T) {
	tests := map[string]struct {
		tableComplete bool
		after         time.Duration // the placer began
		waits         bool
	}{
		"all servers are known":                        {tableComplete: true},
		"all servers are known, and it arrives late":   {tableComplete: true, after: 3 * time.Second},
		"some servers may be unknown":                  {waits: true},
		"the last former lease has nearly expired":     {after: formerLeaseTime - 10*time.Millisecond, waits: true},
		"the host followed the previous placer so far": {after: 3 * time.Second, waits: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriverWith(t, tt.tableComplete)
			pass := func(span time.Duration) (starts int) {
				for end := d.now.Add(span); d.now.Before(end); d.now = d.now.Add(50 * time.Millisecond) {
					d.p.ConfirmWait("h1", d.now)
					for i := range d.servers {
						d.servers[i].Seq++
						d.p.Report(d.servers[i], d.now)
					}
					d.p.Tick(d.now)
					for _, o := range d.drain().Polls {
						d.answerPoll(o.Server.Name, nil, nil)
					}
					starts += len(d.out.Starts)
				}
				return starts
			}
			pass(tt.after)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Again: true,
				Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, d.now)
			if waits := pass(formerLeaseTime-50*time.Millisecond) == 0; waits != tt.waits {
				t.Fatalf("the job waits: %v, want %v", waits, tt.waits)
			}
			if tt.waits && pass(200*time.Millisecond) != 1 {
				t.Fatal("the job doesn't start after the last lease of the previous placer")
			}
		})
	}
}

// TestFoundRunsAreAdopted has a new placer find a run while another server doesn't answer,
// so that jobs of the previous placer wait until the lease of that server expires. The run
// must be adopted without waiting for that.
func TestFoundRunsAreAdopted(t *testing.T) {
	tests := map[string]struct {
		handed time.Duration // when the job is handed over again, after the run is found; negative for before that
		waits  bool          // its entry host confirms its wait
		stops  int
		leases bool // the server's lease is renewed
	}{
		"handed over before":               {handed: -1, waits: true, leases: true},
		"handed over after":                {handed: 100 * time.Millisecond, waits: true, leases: true},
		"no host hands it over":            {handed: time.Hour, waits: true, stops: 1},
		"its entry host is not heard from": {handed: -1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newUnpolledDriver(t)
			submit := func() {
				d.p.Submit(Job{
					ID: "j", Host: "h1", Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Again: true,
					Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 5 * time.Second},
				}, d.now)
			}
			if tt.handed < 0 {
				submit()
			}
			d.drain()
			running := []ActiveRun{{Task: "j.0.0.0", Run: 3, CPU: 1000}}
			d.answerPoll("a", running, nil)
			stops, leases := 0, false
			for begin := d.now; d.now.Sub(begin) < 600*time.Millisecond; d.now = d.now.Add(10 * time.Millisecond) {
				if tt.handed == d.now.Sub(begin) {
					submit()
				}
				if tt.waits {
					d.p.ConfirmWait("h1", d.now)
				}
				d.p.Tick(d.now)
				out := d.drain()
				stops += len(out.Stops)
				for _, o := range out.Polls {
					if o.Server.Name == "a" {
						leases = leases || o.Deadline > 0
						d.answerPoll("a", running, nil)
					}
				}
				if len(out.Starts) > 0 {
					t.Fatalf("start %+v in addition to the run that was found", out.Starts[0])
				}
			}
			if (stops > 0) != (tt.stops > 0) {
				t.Errorf("%d stops, want %d", stops, tt.stops)
			}
			if leases != tt.leases {
				t.Errorf("the lease is renewed: %v, want %v", leases, tt.leases)
			}
		})
	}
}

// TestCopiesInTwoDataCentres has a job arrive from two entry hosts at the same time,
// because its caller's connection was reset. The first copy is refused for the load, so
// its host hands it over to another data centre. The second copy must not start here too.
func TestCopiesInTwoDataCentres(t *testing.T) {
	tests := map[string]struct {
		host      string        // of the second copy
		later     time.Duration // after the first
		notStrict bool          // the other data centres have refused it
		starts    bool
	}{
		"from another host":                             {host: "h2"},
		"from another host, refused elsewhere":          {host: "h2", notStrict: true, starts: true},
		"from the same host, refused elsewhere":         {host: "h1", notStrict: true, starts: true},
		"after the deadline of the first copy's caller": {host: "h2", later: 1500 * time.Millisecond, starts: true},
		"from the same host, whose caller resent it":    {host: "h1", later: 1300 * time.Millisecond, starts: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			busy := map[string]string{d.startJob("k1"): "k1", d.startJob("k2"): "k2"}
			for i := range 8 {
				d.submit(fmt.Sprintf("w%d", i), "h1")
			}
			d.submit("j", "h1")
			refused := false
			for _, e := range d.drain().Ends {
				refused = refused || e.Job == "j" && e.State == model.JobEndRefused
			}
			if !refused {
				t.Fatal("the first copy isn't refused")
			}
			for i := range 8 {
				d.p.Withdraw(fmt.Sprintf("w%d", i), "h1", 0, d.now)
			}
			d.drain()
			for server, id := range busy {
				d.answerPoll(server, nil, []EndedRun{{N: 1, Task: id + ".0.0.0", Run: 1, How: RunDone}})
			}
			d.drain()
			d.now = d.now.Add(tt.later)
			d.p.ConfirmWait(tt.host, d.now)
			for i := range d.servers {
				d.servers[i].Seq++
				d.p.Report(d.servers[i], d.now)
			}
			d.p.Submit(Job{
				ID: "j", Host: tt.host, Incarnation: 1, Hand: 9, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Strict: !tt.notStrict,
				Objective: 400 * time.Millisecond, Expires: 1500 * time.Millisecond,
				Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, d.now)
			for range 3 {
				for _, o := range d.drain().Polls {
					d.answerPoll(o.Server.Name, nil, nil)
				}
				if len(d.out.Starts) > 0 {
					break
				}
			}
			if starts := len(d.out.Starts) == 1; starts != tt.starts {
				t.Fatalf("the second copy is started: %v, want %v (%+v)", starts, tt.starts, d.out.Ends)
			}
		})
	}
}
