package runs

import (
	"testing"
	"time"
)

// TestTaskOfSilentServer has a server stop to answer while a task runs there and its
// caller waits.
func TestTaskOfSilentServer(t *testing.T) {
	tests := map[string]struct {
		silent time.Duration
		starts int // elsewhere
	}{
		"for 0.6 s":  {silent: 600 * time.Millisecond},
		"for 1.8 s":  {silent: 1800 * time.Millisecond, starts: 1},
		"since then": {silent: time.Hour, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newClerk(t, 1)
			c.ask("j", "h1")
			o := c.drain().Starts[0]
			dark := o.Server.Name
			c.hold(dark, o.Deadline)
			c.p.Started(Answer{Server: dark, Task: o.Task, Run: o.Run, Fence: o.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
			begin, starts := c.now, 0
			unanswered := []Look{{Server: o.Server, Seq: c.p.servers[dark].looking, Fence: o.Fence}}
			for c.now.Sub(begin) < 4*time.Second {
				for _, l := range unanswered {
					c.p.Looked(Seen{Server: dark, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeUnknown}, c.now)
				}
				unanswered = nil
				c.now = c.now.Add(20 * time.Millisecond)
				c.p.Waits("h1", c.now)
				for i := range c.servers {
					c.servers[i].Seq++
					c.p.Report(c.servers[i], c.now)
				}
				c.p.Tick(c.now)
				out := c.drain()
				starts += len(out.Starts)
				for _, s := range out.Starts {
					if s.Server.Name == dark || c.now.Before(c.ends(dark)) {
						t.Fatalf("the task begins on %s %v after the server fell silent, %v before its lease is over", s.Server.Name, c.now.Sub(begin), c.ends(dark).Sub(c.now))
					}
					c.p.Started(Answer{Server: s.Server.Name, Task: s.Task, Run: s.Run, Fence: s.Fence, Outcome: OutcomeTaken, Clock: c.clock()}, c.now)
				}
				for _, l := range out.Looks {
					seen := Seen{Server: l.Server.Name, Born: 1, Seq: l.Seq, Fence: l.Fence, Outcome: OutcomeTaken, Clock: c.clock(), Sent: c.now}
					switch {
					case l.Server.Name != dark:
						if starts > 0 {
							seen.Active = []Listed{{Task: o.Task, Run: o.Run + 1}}
						}
					case c.now.Sub(begin) < tt.silent:
						c.hold(dark, l.Deadline)
						unanswered = append(unanswered, l)
						continue
					default:
						c.hold(dark, l.Deadline)
						if c.now.Before(c.ends(dark)) && starts == 0 {
							seen.Active = []Listed{{Task: o.Task, Run: o.Run}}
						}
					}
					c.p.Looked(seen, c.now)
				}
			}
			if starts != tt.starts {
				t.Fatalf("the task begins %d times elsewhere, want %d", starts, tt.starts)
			}
		})
	}
}
