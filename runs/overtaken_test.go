package runs

import (
	"testing"
	"time"
)

// TestOvertakenLook has a start without an answer, and the answers to two looks
// overtake each other: the one that lists the run comes before an older list.
func TestOvertakenLook(t *testing.T) {
	tests := map[string]struct {
		wait   time.Duration // from the list with the run until the one without it was asked for
		starts int
	}{
		"the list without it was asked for before":   {wait: -time.Millisecond},
		"the list without it was asked for later on": {wait: time.Millisecond, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			d.submit("j", "h1")
			out := d.drain()
			if len(out.Starts) != 1 || len(out.Looks) == 0 {
				t.Fatalf("starts %+v and looks %+v, want one of each", out.Starts, out.Looks)
			}
			start, first := out.Starts[0], out.Looks[len(out.Looks)-1]
			d.now = d.now.Add(60 * time.Millisecond)
			d.p.Started(Answer{Server: start.Server.Name, Task: start.Task, Run: start.Run, Outcome: OutcomeUnknown}, d.now)
			second := d.drain().Looks[0]
			d.now = d.now.Add(30 * time.Millisecond)
			d.p.Looked(Seen{
				Server: start.Server.Name, Born: 1, Seq: first.Seq, Outcome: OutcomeTaken, Clock: 100, Sent: d.now.Add(-90 * time.Millisecond),
				Active: []Listed{{Task: start.Task, Run: start.Run}},
			}, d.now)
			sent := d.now.Add(tt.wait)
			d.now = d.now.Add(10 * time.Millisecond)
			d.p.Waits("h1", d.now)
			d.p.Looked(Seen{Server: start.Server.Name, Born: 1, Seq: second.Seq, Outcome: OutcomeTaken, Clock: 110, Sent: sent}, d.now)
			if got := len(d.drain().Starts); got != tt.starts {
				t.Fatalf("%d starts after the list without the run, want %d", got, tt.starts)
			}
		})
	}
}
