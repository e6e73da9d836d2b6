package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestFormerProcess has messages of an entry host's process before come late.
func TestPreviousProcess(t *testing.T) {
	hand := func(incarnation, number uint64) msgs.JobHand {
		return msgs.JobHand{
			Job: "j", Host: "h1", Incarnation: incarnation, Epoch: testEpoch, Tasks: 1, Again: true, Hand: number,
			Objective: time.Minute, Expires: time.Minute,
		}
	}
	tests := map[string]func(w *fixture){
		"a pulse after the next one's hand-over": func(w *fixture) {
			w.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 7}, w.now)
			w.submitJob(hand(2, 1), w.now)
			w.handlePulse(msgs.Pulse{Host: "h1", Incarnation: 7}, w.now)
		},
		"a withdrawal while the host is unknown": func(w *fixture) {
			w.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 50}, w.now)
			w.submitJob(hand(2, 1), w.now)
		},
		"a withdrawal after the next one's hand-over": func(w *fixture) {
			w.submitJob(hand(2, 1), w.now)
			w.withdrawJob(msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 7, Hand: 50}, w.now)
		},
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			act(w)
			if n := w.placer.Jobs(); n != 1 {
				t.Fatalf("%d jobs are left, want the one of the host's present process", n)
			}
		})
	}
}

// TestOlderTable has a host place that has an older version of the table of the
// placer before, which may have used a server that isn't in it: it uses new
// servers after some time though a host hasn't confirmed them.
func TestOlderTable(t *testing.T) {
	server := func(name string) model.Server {
		return model.Server{Name: name, DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}
	}
	w := newFixture()
	before := w.placer.Epoch()
	w.handleReport(server("s1"), w.now)
	w.handlePulse(msgs.Pulse{Host: "next", DataCentre: "dc", Incarnation: 1}, w.now)
	told := w.replies[len(w.replies)-1]
	next := newFixture()
	next.placer, next.placement, next.tableEpoch = nil, model.Placement{}, 0
	next.applyTable(TableUpdate{Epoch: told.Epoch, Complete: told.Since == 0, Servers: told.Table})
	next.tableCompleteAt = w.now
	w.handleReport(server("s2"), w.now) // not told to the next placer: the link to it is cut
	look := func(n *fixture, active map[string][]runs.Listed) []runs.Start {
		out := n.placer.Drain(n.now)
		for _, l := range out.Looks {
			n.placer.Looked(runs.Seen{
				Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 5, Sent: n.now, Active: active[l.Server.Name],
			}, n.now)
		}
		return append(out.Starts, n.placer.Drain(n.now).Starts...)
	}
	hand := func(n *fixture, again bool, former, epoch uint64) {
		n.submitJob(msgs.JobHand{
			Job: "j", Host: "far", Incarnation: 1, Epoch: epoch, Service: "svc", Tasks: 1, CPU: 60, Again: again, Hand: 1, Former: former,
			Expected: time.Millisecond, Objective: time.Minute, Expires: time.Minute, Attempts: 1,
		}, n.now)
		n.handlePulse(msgs.Pulse{Host: "far", Incarnation: 1, Placing: epoch, Stamp: n.now.Sub(n.startedAt)}, n.now)
	}
	look(w, nil)
	for used := w.now.Add(runs.SpreadTime); w.now.Before(used); {
		w.now = w.now.Add(150 * time.Millisecond)
		w.handlePulse(msgs.Pulse{Host: "far", DataCentre: "other", Incarnation: 1, Placing: before, Stamp: w.now.Sub(w.startedAt)}, w.now)
		w.placer.Tick(w.now)
		look(w, nil)
	}
	for _, name := range []string{"s1", "s2"} {
		r := server(name)
		r.Seq = 2
		w.handleReport(r, w.now)
	}
	w.handleReport(model.Server{Name: "s1", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 3, Draining: true}, w.now)
	hand(w, false, 0, before)
	starts := look(w, nil)
	if len(starts) != 1 || starts[0].Server.Name != "s2" {
		t.Fatalf("starts %+v, want one on s2", starts)
	}
	next.now = w.now
	next.setPlacement(model.Placement{DataCentre: "dc", Host: "p1", Incarnation: 1, Epoch: before + 1, Former: before}, next.now)
	hand(next, true, before, before+1)
	for _, o := range look(next, nil) {
		t.Fatalf("%s is started on %s while the run of the placer before may be on s2", o.Task, o.Server.Name)
	}
}
