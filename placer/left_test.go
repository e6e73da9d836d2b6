package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestLeftServerInLateTable has a server leave before a table comes that still lists it.
func TestLeftServerInLateTable(t *testing.T) {
	tests := map[string]func(w *fixture){
		"of the placer before": (*fixture).receiveFormerTable,
		"kept by the core":     (*fixture).receiveStoredTable,
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.addServer("s")
			w.handleReport(model.Server{Name: "s", Left: true}, w.now)
			act(w)
			w.advance(tickInterval)
			if used := w.usableServers(); used != 0 || len(w.servers) != 0 {
				t.Fatalf("%d servers are used and %d in the table, want none", used, len(w.servers))
			}
		})
	}
}

// TestLostServerLeavesTable has a server end without a word. A host that places next
// would wait for its answer.
func TestLostServerLeavesTable(t *testing.T) {
	const forgotten = 11 * time.Second
	tests := map[string]struct {
		act  func(w *fixture)
		want int // servers in the table
	}{
		"it isn't heard of":                   {act: func(w *fixture) { w.advance(forgotten, "h1") }},
		"it isn't heard of for a short while": {act: func(w *fixture) { w.advance(forgotten/2, "h1") }, want: 1},
		"it comes back": {act: func(w *fixture) {
			w.advance(forgotten, "h1")
			w.handleReport(model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
		}, want: 1},
		"it comes back as it is forgotten": {act: func(w *fixture) {
			w.advance(forgotten/2, "h1")
			w.now = w.now.Add(forgotten / 2)
			w.placer.Tick(w.now)
			w.handleReport(model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
			w.answerPolls()
		}, want: 1},
		"another process answers at its address": {act: func(w *fixture) {
			w.now = w.now.Add(time.Second) // it stands still, so it looks at the server again
			w.placer.Tick(w.now)
			for _, l := range w.placer.Drain(w.now).Looks {
				w.placer.Looked(runs.Seen{Server: l.Server.Name, Seq: l.Seq, Outcome: runs.OutcomeGone, Sent: w.now}, w.now)
			}
			w.advance(stateInterval+tickInterval, "h1")
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			w.addServer("s")
			tt.act(w)
			w.advance(tickInterval, "h1")
			if got := len(w.servers); got != tt.want {
				t.Fatalf("%d servers are in the table, want %d", got, tt.want)
			}
		})
	}
}
