package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestLeftServerInLateTable guards against using a server that left before a table
// arrived that still lists it.
func TestLeftServerInLateTable(t *testing.T) {
	tests := map[string]func(f *fixture){
		"of the previous placer": (*fixture).receivePreviousTable,
		"stored by the core":     (*fixture).receiveStoredTable,
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.addServer("s")
			f.handleReport(model.Server{Name: "s", Left: true}, f.now)
			act(f)
			f.advance(tickInterval)
			if used := f.usableServers(); used != 0 || len(f.servers) != 0 {
				t.Fatalf("%d servers usable and %d in the table, want none", used, len(f.servers))
			}
		})
	}
}

// TestLostServerLeavesTable guards against keeping a server in the table that ended
// without reporting it: the next placer would wait for its answer.
func TestLostServerLeavesTable(t *testing.T) {
	const removed = 11 * time.Second // of silence, by which a server is removed
	tests := map[string]struct {
		act  func(f *fixture)
		want int // servers in the table
	}{
		"it is silent":                   {act: func(f *fixture) { f.advance(removed, "h1") }},
		"it is silent for a short while": {act: func(f *fixture) { f.advance(removed/2, "h1") }, want: 1},
		"it comes back": {act: func(f *fixture) {
			f.advance(removed, "h1")
			f.handleReport(model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, f.now)
		}, want: 1},
		"it comes back when it is due to be removed": {act: func(f *fixture) {
			f.advance(removed/2, "h1")
			f.now = f.now.Add(removed / 2)
			f.placer.Tick(f.now)
			f.handleReport(model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, f.now)
			f.answerPolls()
		}, want: 1},
		"another process answers at its address": {act: func(f *fixture) {
			f.now = f.now.Add(time.Second) // a stall, after which the placer polls the server again
			f.placer.Tick(f.now)
			for _, l := range f.placer.Drain(f.now).Polls {
				f.placer.Polled(runs.PollResult{Server: l.Server.Name, Seq: l.Seq, Outcome: runs.OutcomeGone, Sent: f.now}, f.now)
			}
			f.advance(stateInterval+tickInterval, "h1")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.addServer("s")
			tt.act(f)
			f.advance(tickInterval, "h1")
			if got := len(f.servers); got != tt.want {
				t.Fatalf("%d servers in the table, want %d", got, tt.want)
			}
		})
	}
}
