package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestLooksThatOvertake has two starts get no answer, so that two looks are on
// their way. The server answers the second one before the starts reach it.
func TestLooksThatOvertake(t *testing.T) {
	tests := map[string]struct {
		sent time.Duration // of the second look, after the first was answered
		gone bool          // the runs aren't on the server any more
	}{
		"sent before the runs were listed": {sent: -time.Millisecond},
		"sent later":                       {sent: time.Millisecond, gone: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDesk(t)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 2, Attempts: 3, Came: d.now,
				Objective: time.Second, Expires: time.Second, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, d.now)
			starts := d.drain().Starts
			if len(starts) != 2 || starts[0].Server.Name != starts[1].Server.Name {
				t.Fatalf("starts %v, want two on one server", starts)
			}
			var looks []Look
			for _, o := range starts {
				d.now = d.now.Add(60 * time.Millisecond)
				d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeUnknown}, d.now)
				looks = append(looks, d.drain().Looks...)
			}
			if len(looks) != 2 {
				t.Fatalf("%d looks after starts without an answer, want 2", len(looks))
			}
			d.now = d.now.Add(5 * time.Millisecond)
			listed := []Listed{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 1}}
			seen := Seen{Server: looks[0].Server.Name, Born: 1, Outcome: OutcomeTaken, Clock: 6000}
			first, second := seen, seen
			first.Seq, first.Sent, first.Active = looks[0].Seq, d.now.Add(-time.Millisecond), listed
			second.Seq, second.Sent = looks[1].Seq, d.now.Add(tt.sent)
			d.p.Looked(first, d.now)
			d.now = d.now.Add(5 * time.Millisecond)
			d.p.Looked(second, d.now)
			if got := len(d.drain().Starts) > 0; got != tt.gone {
				t.Errorf("the tasks are started again: %v, want %v", got, tt.gone)
			}
		})
	}
}
