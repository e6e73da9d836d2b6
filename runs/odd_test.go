package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestReportDoesNotMoveRuns reports a server with a task at another address, where another process
// answers. The task runs on at the first address, so it must not start elsewhere while its lease lasts.
func TestReportDoesNotMoveRuns(t *testing.T) {
	tests := map[string]struct {
		change func(s *model.Server)
	}{
		"the same process": {change: func(s *model.Server) { s.Address, s.Seq = "other", s.Seq+1 }},
		"a later process":  {change: func(s *model.Server) { s.Address, s.Seq, s.Born = "other", 1, s.Born+1 }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, 1)
			c.submitFor("j", "h1")
			o := c.drain().Starts[0]
			c.renewLease(o.Server.Name, o.Deadline)
			c.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
			odd := o.Server
			tt.change(&odd)
			c.p.Report(odd, c.now)
			for range 10 {
				c.now = c.now.Add(20 * time.Millisecond)
				c.p.ConfirmWait("h1", c.now)
				c.p.Tick(c.now)
				out := c.drain()
				if len(out.Starts) > 0 {
					t.Fatalf("the task starts on %s, %v before its lease expires", out.Starts[0].Server.Name, c.leaseEnd(o.Server.Name).Sub(c.now))
				}
				for _, l := range out.Polls {
					m := PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeTaken, Clock: c.clock(), Sent: c.now}
					switch {
					case l.Server.Address == "other":
						m = PollResult{Server: l.Server.Name, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeGone, Sent: c.now}
					case l.Server.Name == o.Server.Name:
						c.renewLease(l.Server.Name, l.Deadline)
						m.Active = []ActiveRun{{Task: o.Task, Run: o.Run}}
					}
					c.p.Polled(m, c.now)
				}
			}
		})
	}
}

// TestUnreadRows lists a task in a row that can't be read, or its end. Whether it runs isn't known then,
// so it must not start again, and the server gets no other task.
func TestUnreadRows(t *testing.T) {
	tests := map[string]struct {
		unread int
		starts int
	}{
		"all rows can be read": {starts: 1},
		"one can't":            {unread: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, 1)
			c.submitFor("j", "h1")
			o := c.drain().Starts[0]
			c.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
			c.now = c.now.Add(20 * time.Millisecond)
			c.p.ConfirmWait("h1", c.now)
			c.p.Polled(PollResult{
				Server: o.Server.Name, Born: 1, Seq: c.p.servers[o.Server.Name].pollInFlight + 100, Fence: o.Fence, Outcome: OutcomeTaken,
				Clock: c.clock(), Sent: c.now.Add(-time.Millisecond), Unread: tt.unread,
			}, c.now)
			if got := len(c.drain().Starts); got != tt.starts {
				t.Fatalf("%d starts after the answer, want %d", got, tt.starts)
			}
			if usable := c.p.servers[o.Server.Name].usable(c.now); usable != (tt.unread == 0) {
				t.Fatalf("the server is usable: %v", usable)
			}
		})
	}
}

// TestTakeoverIgnoresNewServers hands a job over that the previous placer may have started, when a
// server has reported that answers nothing. The previous placer didn't use that one.
func TestTakeoverIgnoresNewServers(t *testing.T) {
	tests := map[string]struct {
		complete bool // the table of the previous placer
		reported bool // a server that answers nothing has reported
		starts   int
	}{
		"only the servers of the table":         {complete: true, starts: 1},
		"another one that answers nothing":      {complete: true, reported: true, starts: 1},
		"the table is not known to be complete": {reported: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			server := model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 1000, MemoryMB: 1000, Born: 1, Seq: 1}
			p := New(7, tt.complete, now)
			p.SetFormer(4)
			p.TakeOver([]model.Server{server}, now)
			if tt.reported {
				odd := server
				odd.Name, odd.Address = "odd", "odd"
				p.Report(odd, now)
			}
			for _, l := range p.Drain(now).Polls {
				if l.Server.Name == "s" {
					p.Polled(PollResult{Server: "s", Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeTaken, Clock: 100, Sent: now}, now)
				}
			}
			now = now.Add(20 * time.Millisecond)
			p.ConfirmWait("h1", now)
			p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: now, Again: true, Former: 4,
				Objective: time.Second, Expires: time.Second, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, now)
			if got := len(p.Drain(now).Starts); got != tt.starts {
				t.Fatalf("%d starts, want %d", got, tt.starts)
			}
		})
	}
}
