package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestSecondPollAnsweredBeforeStarts has two starts get no answer, so that two polls are
// in flight. If the server answers the second poll before the starts reach it, the runs
// must not count as ended.
func TestSecondPollAnsweredBeforeStarts(t *testing.T) {
	tests := map[string]struct {
		sent time.Duration // of the second poll, relative to the answer of the first
		gone bool          // the runs are no longer on the server
	}{
		"sent before the runs were listed": {sent: -time.Millisecond},
		"sent later":                       {sent: time.Millisecond, gone: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 2, Attempts: 3, Arrived: d.now,
				Objective: time.Second, Expires: time.Second, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 200 * time.Millisecond},
			}, d.now)
			starts := d.drain().Starts
			if len(starts) != 2 || starts[0].Server.Name != starts[1].Server.Name {
				t.Fatalf("starts %v, want two on one server", starts)
			}
			var polls []Poll
			for _, o := range starts {
				d.now = d.now.Add(60 * time.Millisecond)
				d.p.Started(Answer{Server: o.Server.Name, Task: o.Task, Run: o.Run, Outcome: OutcomeUnknown}, d.now)
				polls = append(polls, d.drain().Polls...)
			}
			if len(polls) != 2 {
				t.Fatalf("%d polls after unanswered starts, want 2", len(polls))
			}
			d.now = d.now.Add(5 * time.Millisecond)
			listed := []ActiveRun{{Task: starts[0].Task, Run: 1}, {Task: starts[1].Task, Run: 1}}
			result := PollResult{Server: polls[0].Server.Name, Born: 1, Outcome: OutcomeTaken, Clock: 6000}
			first, second := result, result
			first.Seq, first.Sent, first.Active = polls[0].Seq, d.now.Add(-time.Millisecond), listed
			second.Seq, second.Sent = polls[1].Seq, d.now.Add(tt.sent)
			d.p.Polled(first, d.now)
			d.now = d.now.Add(5 * time.Millisecond)
			d.p.Polled(second, d.now)
			if got := len(d.drain().Starts) > 0; got != tt.gone {
				t.Errorf("the tasks are started again: %v, want %v", got, tt.gone)
			}
		})
	}
}

// TestPollAnswersOutOfOrder has a start without an answer, and the answers to two polls
// arrive out of order: the one that lists the run comes before one that was sent earlier
// and doesn't list it. The run must not count as ended.
func TestPollAnswersOutOfOrder(t *testing.T) {
	tests := map[string]struct {
		wait   time.Duration // from the list with the run until the poll for the list without it
		starts int
	}{
		"the list without it was polled earlier": {wait: -time.Millisecond},
		"the list without it was polled later":   {wait: time.Millisecond, starts: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.submit("j", "h1")
			out := d.drain()
			if len(out.Starts) != 1 || len(out.Polls) == 0 {
				t.Fatalf("starts %+v and polls %+v, want one of each", out.Starts, out.Polls)
			}
			start, first := out.Starts[0], out.Polls[len(out.Polls)-1]
			d.now = d.now.Add(60 * time.Millisecond)
			d.p.Started(Answer{Server: start.Server.Name, Task: start.Task, Run: start.Run, Outcome: OutcomeUnknown}, d.now)
			second := d.drain().Polls[0]
			d.now = d.now.Add(30 * time.Millisecond)
			d.p.Polled(PollResult{
				Server: start.Server.Name, Born: 1, Seq: first.Seq, Outcome: OutcomeTaken, Clock: 100, Sent: d.now.Add(-90 * time.Millisecond),
				Active: []ActiveRun{{Task: start.Task, Run: start.Run}},
			}, d.now)
			sent := d.now.Add(tt.wait)
			d.now = d.now.Add(10 * time.Millisecond)
			d.p.ConfirmWait("h1", d.now)
			d.p.Polled(PollResult{Server: start.Server.Name, Born: 1, Seq: second.Seq, Outcome: OutcomeTaken, Clock: 110, Sent: sent}, d.now)
			if got := len(d.drain().Starts); got != tt.starts {
				t.Fatalf("%d starts after the list without the run, want %d", got, tt.starts)
			}
		})
	}
}
