package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// checker drives a placer and records the lease that each server holds.
type checker struct {
	*driver
	begin  time.Time
	rate   float64
	leases map[string]int64
}

func newChecker(t *testing.T, rate float64) *checker {
	d := newDriver(t)
	return &checker{driver: d, begin: d.now, rate: rate, leases: map[string]int64{}}
}

// clock returns the current time of the servers' clocks.
func (c *checker) clock() int64 {
	return 5000 + int64(c.rate*float64(c.now.Sub(c.begin).Milliseconds()))
}

// carryOut carries out the orders of the placer, and returns the starts.
func (c *checker) carryOut(active map[string][]ActiveRun, ended map[string][]EndedRun) []Start {
	out := c.drain()
	for _, o := range out.Starts {
		c.renewLease(o.Server.Name, o.Deadline)
		c.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
	}
	for _, o := range out.Polls {
		c.renewLease(o.Server.Name, o.Deadline)
		c.p.Polled(PollResult{
			Server: o.Server.Name, Born: 1, Seq: o.Seq, Outcome: OutcomeTaken, Clock: c.clock(), Sent: c.now,
			Active: active[o.Server.Name], Ended: ended[o.Server.Name],
		}, c.now)
	}
	return out.Starts
}

// renewLease renews a lease as a server does.
func (c *checker) renewLease(name string, deadline int64) {
	c.leases[name] = max(c.leases[name], min(deadline, c.clock()+maxLease.Milliseconds()))
}

// leaseEnd returns when the server's lease expires.
func (c *checker) leaseEnd(name string) time.Time {
	return c.now.Add(time.Duration(float64(c.leases[name]-c.clock())/c.rate) * time.Millisecond)
}

func (c *checker) pass(span time.Duration) {
	for end := c.now.Add(span); c.now.Before(end); {
		c.now = c.now.Add(50 * time.Millisecond)
		for i := range c.servers {
			c.servers[i].Seq++
			c.p.Report(c.servers[i], c.now)
		}
		c.p.Tick(c.now)
	}
}

func (c *checker) submitFor(id, host string) {
	c.p.Submit(Job{
		ID: id, Host: host, Incarnation: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: c.now,
		Objective: time.Minute, Expires: time.Minute,
		Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 200 * time.Millisecond},
	}, c.now)
}

// maxLeaseOnSlowClock is how long a lease of leaseWindow lasts on a slow clock, plus rounding.
const maxLeaseOnSlowClock = leaseWindow*100/98 + 2*time.Millisecond

// TestLeaseOfServer starts a task whose host last confirmed its wait some time ago. A
// server's lease covers all of its runs and is never shortened, so the new run gets the
// lease that the server already holds, which may be too long for it.
func TestLeaseOfServer(t *testing.T) {
	tests := map[string]func(c *checker) (server string){
		"the lease of another host's run was renewed there": func(c *checker) string {
			c.submitFor("k", "h1")
			server := c.carryOut(nil, nil)[0].Server.Name
			c.pass(700 * time.Millisecond)
			c.p.ConfirmWait("h1", c.now)
			c.carryOut(map[string][]ActiveRun{server: {{Task: "k.0.0.0", Run: 1}}}, nil)
			c.carryOut(map[string][]ActiveRun{server: {{Task: "k.0.0.0", Run: 1}}}, nil)
			return server
		},
		"the end of another host's run was acknowledged there": func(c *checker) string {
			c.submitFor("k", "h1")
			server := c.carryOut(nil, nil)[0].Server.Name
			c.pass(700 * time.Millisecond)
			c.p.ConfirmWait("h1", c.now)
			ended := map[string][]EndedRun{server: {{N: 1, Task: "k.0.0.0", Run: 1, How: RunDone}}}
			for range 3 {
				c.carryOut(nil, ended)
			}
			return server
		},
		"nothing was there": func(c *checker) string { c.pass(700 * time.Millisecond); return "a" },
	}
	for name, before := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, 1)
			waited := c.now // of h2
			before(c)
			c.now = c.now.Add(50 * time.Millisecond)
			c.submitFor("j", "h2")
			for _, o := range c.carryOut(nil, nil) {
				if o.Task != "j.0.0.0" {
					continue
				}
				if got := c.leaseEnd(o.Server.Name).Sub(waited); got > maxLeaseOnSlowClock {
					t.Fatalf("the run holds a lease until %v after its host was known to wait, want %v at most", got, maxLeaseOnSlowClock)
				}
			}
		})
	}
}

// TestLeaseAfterIdleTime starts a task on a server whose slow clock wasn't read for some
// time, because nothing ran there. The estimate of that clock must not give the run a
// lease that is too long.
func TestLeaseAfterIdleTime(t *testing.T) {
	for name, rest := range map[string]time.Duration{"at once": 0, "10 s": 10 * time.Second, "40 s": 40 * time.Second} {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, minClockRate)
			c.pass(rest)
			c.p.ConfirmWait("h1", c.now)
			waited := c.now
			c.pass(startWindow)
			c.submitFor("j", "h1")
			o := c.carryOut(nil, nil)[0]
			if got := c.leaseEnd(o.Server.Name).Sub(waited); got > maxLeaseOnSlowClock {
				t.Fatalf("the run holds a lease until %v after its host was known to wait, want %v at most", got, maxLeaseOnSlowClock)
			}
		})
	}
}

// TestWithdrawalsOfOneJob has a host withdraw a job twice. Its pulses may arrive before
// messages that were sent earlier on the reliable link.
func TestWithdrawalsOfOneJob(t *testing.T) {
	tests := map[string]struct {
		hands []uint64 // of the withdrawals in order of arrival
		hand  uint64   // of the handover that arrives after them
		taken bool
	}{
		"in order":                     {hands: []uint64{1, 2}, hand: 2},
		"the earlier one arrives late": {hands: []uint64{2, 1}, hand: 2},
		"a third handover":             {hands: []uint64{2, 1}, hand: 3, taken: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			for _, hand := range tt.hands {
				d.p.Withdraw("j", "h1", hand, d.now)
			}
			d.p.Submit(Job{
				ID: "j", Host: "h1", Hand: tt.hand, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Objective: time.Minute, Expires: time.Minute,
				Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, d.now)
			if taken := len(d.drain().Starts) == 1; taken != tt.taken {
				t.Fatalf("the job is started: %v, want %v", taken, tt.taken)
			}
		})
	}
}

// TestHostsAreForgotten has a withdrawal arrive after its entry host was lost. The record
// of the host must not be kept forever.
func TestHostsAreForgotten(t *testing.T) {
	d := newDriver(t)
	d.p.HostLost("h1", 0, d.now)
	d.p.HostLost("h2", 0, d.now)
	d.p.Withdraw("j", "h1", 1, d.now)
	for range 100 {
		d.now = d.now.Add(100 * time.Millisecond)
		d.p.Tick(d.now)
	}
	if len(d.p.hosts) > 0 {
		t.Fatalf("%d entry hosts are kept 10 s after they were lost", len(d.p.hosts))
	}
}

// TestHostOfOpenJobIsKept hands a job over before the placer receives a pulse of its host,
// or while it learns that the host has restarted. The record of the host has to stay, so
// that its next pulse counts for the job.
func TestHostOfOpenJobIsKept(t *testing.T) {
	tests := map[string]func(d *driver){
		"a tick comes before its first pulse": func(d *driver) { d.p.Tick(d.now) },
		"the former process is lost":          func(d *driver) { d.p.HostLost("h3", 9, d.now) },
		"and has withdrawn a job": func(d *driver) {
			d.p.Withdraw("k", "h3", 5, d.now)
			d.p.HostLost("h3", 9, d.now)
		},
	}
	for name, meanwhile := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			hand := func(id string, hand uint64) {
				d.p.Submit(Job{
					ID: id, Host: "h3", Incarnation: 9, Hand: hand, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now,
					Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 500, MemoryMB: 1, Expected: 200 * time.Millisecond},
				}, d.now)
			}
			hand("j", 1)
			meanwhile(d)
			hand("k", 2)
			d.p.ConfirmWait("h3", d.now)
			if n := len(d.drain().Starts); n != 2 {
				t.Fatalf("%d jobs start when their host confirms its wait, want 2", n)
			}
		})
	}
}

// TestLateStart has a handover arrive some time after its entry host was killed. Its
// task starts on a server that has just become empty and is then cut off. Its caller
// resends the job to another data centre, where it must not start before that run ends.
func TestLateStart(t *testing.T) {
	const (
		freed  = 540 * time.Millisecond // since the host was killed, when the server becomes empty
		handed = 555 * time.Millisecond // when the handover arrives
	)
	for name, cut := range map[string]bool{"a stop arrives": false, "no stop arrives": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			s := w.addServer("s", "a", 1)
			w.addServerTo("other", "t", "a", 1)
			placer, other := w.newPlacer(1), w.newPlacerIn("other", 1)
			steady, killed := w.newHost("h1", placer), w.newHost("h2", placer)
			job := func(id string) Job {
				w.work[id] = 10 * time.Second
				return Job{
					ID: id, Service: "svc", Tasks: 1, Attempts: 3, Arrived: w.now, Objective: time.Minute, Expires: time.Minute,
					Demand: model.Demand{CPU: 16000, MemoryMB: 64, Expected: 2 * time.Second},
				}
			}
			w.run(time.Second)
			steady.submit(job("k"))
			w.run(5 * time.Millisecond)
			killed.linkFree[placer] = w.now.Add(handed)
			killed.submit(job("j"))
			killed.lost = true
			w.after(freed, func() { s.finish("k.0.0.0", RunDone) })
			w.after(handed+20*time.Millisecond, func() { s.cut = cut })
			w.after(resendTime, func() { w.newHost("h3", other).submit(job("j")) })
			w.run(2 * time.Second)
			if w.duplicate != "" {
				t.Fatal(w.duplicate)
			}
		})
	}
}

// TestTakeoverWithSharedLease has a placer start a task late after the last confirmation
// of its host, on a server whose lease is shared with another run and which the next
// placer can't poll. The next placer must not start the task before that lease expires.
func TestTakeoverWithSharedLease(t *testing.T) {
	tests := map[string]struct {
		after time.Duration // since the last confirmation of the job's host, when the previous placer starts its task
		rate  float64       // of the server's clock
	}{
		"at once":                           {after: 0, rate: 1},
		"late, on a clock that is right":    {after: startWindow, rate: 1},
		"late, on a slow clock":             {after: startWindow, rate: minClockRate},
		"slightly earlier, on a slow clock": {after: 250 * time.Millisecond, rate: minClockRate},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, tt.rate)
			c.submitFor("k", "h1")
			server := c.carryOut(nil, nil)[0].Server.Name
			active := map[string][]ActiveRun{server: {{Task: "k.0.0.0", Run: 1}}}
			c.pass(800 * time.Millisecond)
			c.p.ConfirmWait("h2", c.now)
			c.p.ConfirmWait("h1", c.now)
			c.carryOut(active, nil)
			lastPulse := c.now // of h2, which learns of the next placer now and hands j over to it
			c.pass(tt.after)
			c.p.ConfirmWait("h1", c.now)
			c.carryOut(active, nil)
			c.carryOut(active, nil)
			c.submitFor("j", "h2")
			starts := c.carryOut(active, nil)
			if len(starts) != 1 || starts[0].Server.Name != server {
				t.Fatalf("starts %+v, want one on %s", starts, server)
			}
			ends := c.leaseEnd(server)

			next := New(2, true, lastPulse)
			next.TakeOver(c.servers, lastPulse)
			now := lastPulse.Add(time.Millisecond)
			next.Submit(Job{
				ID: "j", Host: "h2", Incarnation: 1, Hand: 2, Service: "svc", Tasks: 1, Attempts: 3, Arrived: now, Again: true,
				Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, now)
			for ; now.Before(lastPulse.Add(2 * time.Second)); now = now.Add(time.Millisecond) {
				next.ConfirmWait("h2", now)
				next.Tick(now)
				out := next.Drain(now)
				for _, o := range out.Polls {
					if o.Server.Name != server {
						next.Polled(PollResult{Server: o.Server.Name, Born: 1, Seq: o.Seq, Outcome: OutcomeTaken, Clock: 1000, Sent: now}, now)
					}
				}
				for _, o := range out.Starts {
					if now.Before(ends) {
						t.Fatalf("%s starts on %s %v after the last pulse, and its run on %s holds a lease until %v after it",
							o.Task, o.Server.Name, now.Sub(lastPulse), server, ends.Sub(lastPulse))
					}
					return
				}
			}
			t.Fatal("the next placer starts nothing")
		})
	}
}
