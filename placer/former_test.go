package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestPreviousProcess guards against late messages of an entry host's previous process
// dropping the jobs of its current process.
func TestPreviousProcess(t *testing.T) {
	hand := func(incarnation, number uint64) msgs.JobHand {
		return msgs.JobHand{
			Job: "j", Host: "h1", Incarnation: incarnation, Epoch: testEpoch, Tasks: 1, Again: true, Hand: number,
			Objective: time.Minute, Expires: time.Minute,
		}
	}
	tests := map[string]func(f *fixture){
		"a pulse after the next process's handover": func(f *fixture) {
			f.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 7}, f.now)
			f.submitJob(hand(2, 1), f.now)
			f.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 7}, f.now)
		},
		"a withdrawal while the host is unknown": func(f *fixture) {
			f.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 50}, f.now)
			f.submitJob(hand(2, 1), f.now)
		},
		"a withdrawal after the next process's handover": func(f *fixture) {
			f.submitJob(hand(2, 1), f.now)
			f.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 50}, f.now)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			act(f)
			if n := f.placer.Jobs(); n != 1 {
				t.Fatalf("%d jobs remain, want the one of the host's current process", n)
			}
		})
	}
}

// TestOlderTable guards against a second run of a task after a host starts placing with
// an outdated table. The previous placer may have used a server that isn't in it, as it
// uses a new server after the replication time even if a host hasn't confirmed it.
func TestOlderTable(t *testing.T) {
	server := func(name string) model.Server {
		return model.Server{Name: name, DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}
	}
	f := newFixture()
	epoch := f.placer.Epoch()
	f.handleReport(server("s1"), f.now)
	f.handlePulse(msgs.Pulse{Host: "next", DataCentre: "dc", Incarnation: 1}, f.now)
	reply := f.replies[len(f.replies)-1]
	next := newFixture()
	next.placer, next.placement, next.tableEpoch = nil, model.Placement{}, 0
	next.applyTable(TableUpdate{Epoch: reply.Epoch, Complete: reply.Since == 0, Servers: reply.Table})
	next.tableCompleteAt = f.now
	f.handleReport(server("s2"), f.now) // not sent to the next placer: it is partitioned from this one
	poll := func(n *fixture, active map[string][]runs.ActiveRun) []runs.Start {
		out := n.placer.Drain(n.now)
		for _, l := range out.Polls {
			n.placer.Polled(runs.PollResult{
				Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 5, Sent: n.now, Active: active[l.Server.Name],
			}, n.now)
		}
		return append(out.Starts, n.placer.Drain(n.now).Starts...)
	}
	submit := func(n *fixture, again bool, former, epoch uint64) {
		n.submitJob(msgs.JobHand{
			Job: "j", Host: "far", Incarnation: 1, Epoch: epoch, Service: "svc", Tasks: 1, CPU: 60, Again: again, Hand: 1, Former: former,
			Expected: time.Millisecond, Objective: time.Minute, Expires: time.Minute, Attempts: 1,
		}, n.now)
		n.handlePulse(msgs.Pulse{Host: "far", Incarnation: 1, Placing: epoch, Stamp: n.now.Sub(n.startedAt)}, n.now)
	}
	poll(f, nil)
	for end := f.now.Add(runs.ReplicationTime); f.now.Before(end); {
		f.now = f.now.Add(150 * time.Millisecond)
		f.handlePulse(msgs.Pulse{Host: "far", DataCentre: "other", Incarnation: 1, Placing: epoch, Stamp: f.now.Sub(f.startedAt)}, f.now)
		f.placer.Tick(f.now)
		poll(f, nil)
	}
	for _, name := range []string{"s1", "s2"} {
		s := server(name)
		s.Seq = 2
		f.handleReport(s, f.now)
	}
	f.handleReport(model.Server{Name: "s1", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 3, Draining: true}, f.now)
	submit(f, false, 0, epoch)
	starts := poll(f, nil)
	if len(starts) != 1 || starts[0].Server.Name != "s2" {
		t.Fatalf("starts %+v, want one on s2", starts)
	}
	next.now = f.now
	next.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: epoch + 1, Former: epoch}, next.now)
	submit(next, true, epoch, epoch+1)
	for _, o := range poll(next, nil) {
		t.Fatalf("%s is started on %s while the run of the previous placer may be on s2", o.Task, o.Server.Name)
	}
}
