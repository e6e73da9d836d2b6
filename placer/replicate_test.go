package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// found has a server report for the first time, and lets it answer the looks.
func (w *fixture) addServer(name string) {
	w.handleReport(model.Server{Name: name, Address: name, DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}, w.now)
	w.answerPolls()
}

var testServer = model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}

// former has the table of the placer before come after this one began.
func (w *fixture) receiveFormerTable() {
	w.receiveFinalTable(model.ServerTable{DataCentre: "dc", Epoch: w.placement.Former, Servers: []model.Server{testServer}}, w.now)
	w.answerPolls()
}

// kept has a table come that the core has kept.
func (w *fixture) receiveStoredTable() {
	w.addStoredServers(model.ServerTable{DataCentre: "dc", Epoch: w.placement.Former, Servers: []model.Server{testServer}}, w.now)
	w.answerPolls()
}

func (w *fixture) answerPolls() {
	for _, l := range w.placer.Drain(w.now).Looks {
		w.placer.Looked(runs.Seen{Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: w.now}, w.now)
	}
}

// confirm has a host of the data centre pulse with the table of a version.
func (w *fixture) confirmTable(name string, version uint64) {
	w.handlePulse(msgs.Pulse{
		Host: name, DataCentre: "dc", Incarnation: 1, Epoch: testEpoch, Servers: version,
		Placing: testEpoch, Stamp: w.now.Sub(w.startedAt),
	}, w.now)
}

// pass lets time pass in ticks, in which some hosts confirm the whole table.
func (w *fixture) advance(d time.Duration, hosts ...string) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tickInterval)
		for _, name := range hosts {
			w.confirmTable(name, w.tableVersion)
		}
		w.answerPolls()
		w.tick(w.now)
		w.answerPolls()
	}
}

func (w *fixture) usableServers() int {
	usable := 0
	for _, k := range w.placer.Kinds(w.now) {
		usable += k.Usable
	}
	return usable
}

// TestUsedBeforeConfirmed has a placer find a server while hosts have the table
// without it.
func TestServerUsedOnceReplicated(t *testing.T) {
	const silent = hostTimeout + 2*tickInterval // it is dropped by then
	tests := map[string]struct {
		act  func(w *fixture)
		used int
	}{
		"no other host has the table": {act: func(w *fixture) { w.addServer("s"); w.advance(tickInterval) }, used: 1},
		"all have confirmed it": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.addServer("s")
			w.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"one hasn't yet":            {act: func(w *fixture) { w.advance(tickInterval, "h1", "h2"); w.addServer("s"); w.advance(tickInterval, "h1") }},
		"one that is silent hasn't": {act: func(w *fixture) { w.advance(tickInterval, "h1", "h2"); w.addServer("s"); w.advance(silent, "h1") }},
		"one that was silent before hasn't": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.advance(silent, "h1")
			w.addServer("s")
			w.advance(tickInterval, "h1")
		}},
		"all but one have confirmed its new address": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.addServer("s")
			w.advance(tickInterval, "h1", "h2")
			w.handleReport(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
			w.advance(tickInterval, "h1")
		}},
		"all have confirmed its new address": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.addServer("s")
			w.handleReport(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
			w.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"the placer before has sent it, and one hasn't confirmed it": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.receiveFormerTable()
			w.advance(tickInterval, "h1")
		}},
		"the placer before has sent it": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.receiveFormerTable()
			w.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"the core has kept it, and one hasn't confirmed it": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.receiveStoredTable()
			w.advance(tickInterval, "h1")
		}},
		"the core has kept it": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.receiveStoredTable()
			w.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"all of them are silent": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.advance(silent)
			w.addServer("s")
			w.advance(tickInterval)
		}},
		"one that was silent has another process": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.advance(silent, "h1")
			w.addServer("s")
			w.handlePulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2}, w.now)
			w.handlePulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2, Epoch: testEpoch, Servers: w.tableVersion}, w.now)
			w.advance(tickInterval, "h1")
		}, used: 1},
		"one is silent for so long that it can't begin with its table": {act: func(w *fixture) {
			w.advance(tickInterval, "h1", "h2")
			w.advance(runs.SpreadTime+hostTimeout+tickInterval, "h1")
			w.addServer("s")
			w.advance(tickInterval, "h1")
		}, used: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newFixture()
			tt.act(w)
			if got := w.usableServers(); got != tt.used {
				t.Fatalf("%d new servers are used, want %d", got, tt.used)
			}
		})
	}
}
