package runs

import (
	"testing"
	"time"
)

// TestTaskOfSilentServer has a server stop answering while a task runs there and its
// caller waits. The task must start elsewhere, but only after the server's lease expired.
func TestTaskOfSilentServer(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration
		starts int // elsewhere
	}{
		"for 0.6 s": {silent: 600 * time.Millisecond},
		"for 1.8 s": {silent: 1800 * time.Millisecond, starts: 1},
		"for good":  {silent: time.Hour, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newChecker(t, 1)
			c.submitFor("j", "h1")
			o := c.drain().Starts[0]
			silent := o.Server.Name
			c.renewLease(silent, o.Deadline)
			c.p.Started(Answer{Server: silent, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
			start, starts := c.now, 0
			unanswered := []Poll{{Server: o.Server, Seq: c.p.servers[silent].pollInFlight, Fence: o.Fence}}
			for c.now.Sub(start) < 4*time.Second {
				for _, l := range unanswered {
					c.p.Polled(PollResult{Server: silent, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeUnknown}, c.now)
				}
				unanswered = nil
				c.now = c.now.Add(20 * time.Millisecond)
				c.p.ConfirmWait("h1", c.now)
				for i := range c.servers {
					c.servers[i].Seq++
					c.p.Report(c.servers[i], c.now)
				}
				c.p.Tick(c.now)
				out := c.drain()
				starts += len(out.Starts)
				for _, s := range out.Starts {
					if s.Server.Name == silent || c.now.Before(c.leaseEnd(silent)) {
						t.Fatalf("the task starts on %s %v after the server became silent, %v before its lease expires", s.Server.Name, c.now.Sub(start), c.leaseEnd(silent).Sub(c.now))
					}
					c.p.Started(Answer{Server: s.Server.Name, Task: s.Task, Run: s.Run, Fence: s.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
				}
				for _, l := range out.Polls {
					result := PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeTaken, Clock: c.clock(), Sent: c.now}
					switch {
					case l.Server.Name != silent:
						if starts > 0 {
							result.Active = []ActiveRun{{Task: o.Task, Run: o.Run + 1}}
						}
					case c.now.Sub(start) < tt.silent:
						c.renewLease(silent, l.Deadline)
						unanswered = append(unanswered, l)
						continue
					default:
						c.renewLease(silent, l.Deadline)
						if c.now.Before(c.leaseEnd(silent)) && starts == 0 {
							result.Active = []ActiveRun{{Task: o.Task, Run: o.Run}}
						}
					}
					c.p.Polled(result, c.now)
				}
			}
			if starts != tt.starts {
				t.Fatalf("the task starts %d times elsewhere, want %d", starts, tt.starts)
			}
		})
	}
}
