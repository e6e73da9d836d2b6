package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// addServer handles the first report of a server, and answers the polls of it.
func (f *fixture) addServer(name string) {
	f.handleReport(model.Server{Name: name, Address: name, DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}, f.now)
	f.answerPolls()
}

var testServer = model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}

// receivePreviousTable handles the table of the previous placer after this one has started placing.
func (f *fixture) receivePreviousTable() {
	f.receiveFinalTable(model.ServerTable{DataCentre: "dc", Epoch: f.placement.Former, Servers: []model.Server{testServer}}, f.now)
	f.answerPolls()
}

// receiveStoredTable handles the table that the core has stored.
func (f *fixture) receiveStoredTable() {
	f.addStoredServers(model.ServerTable{DataCentre: "dc", Epoch: f.placement.Former, Servers: []model.Server{testServer}}, f.now)
	f.answerPolls()
}

// answerPolls has all servers answer their polls, as the service of the placer does.
func (f *fixture) answerPolls() {
	for _, l := range f.placer.Drain(f.now).Polls {
		f.handleResult(callResult{epoch: f.placer.Epoch(), server: l.Server.Name, sentAt: f.now, apply: func(p *runs.Placer, now time.Time) {
			p.Polled(runs.PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: now}, now)
		}}, f.now)
	}
}

// confirmTable handles a pulse of a host of the data centre that has a version of the table.
func (f *fixture) confirmTable(name string, version uint64) {
	f.handlePulse(msgs.Pulse{
		Host: name, DataCentre: "dc", Incarnation: 1, Epoch: testEpoch, Servers: version,
		Placing: testEpoch, Stamp: f.now.Sub(f.startedAt),
	}, f.now)
}

// advance runs ticks for d, in each of which the named hosts confirm the latest table.
func (f *fixture) advance(d time.Duration, hosts ...string) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickInterval)
		for _, name := range hosts {
			f.confirmTable(name, f.tableVersion)
		}
		f.answerPolls()
		f.tick(f.now)
		f.answerPolls()
	}
}

func (f *fixture) usableServers() int {
	usable := 0
	for _, k := range f.placer.Kinds(f.now) {
		usable += k.Usable
	}
	return usable
}

// TestServerUsedOnceReplicated guards against using a new server while a host that may
// place next has a table without it: that host would not know of the runs on the server.
func TestServerUsedOnceReplicated(t *testing.T) {
	const silent = hostTimeout + 2*tickInterval // after which a host counts as lost
	tests := map[string]struct {
		act  func(f *fixture)
		used int
	}{
		"no other host has the table": {act: func(f *fixture) { f.addServer("s"); f.advance(tickInterval) }, used: 1},
		"all have confirmed it": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.addServer("s")
			f.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"one hasn't yet":            {act: func(f *fixture) { f.advance(tickInterval, "h1", "h2"); f.addServer("s"); f.advance(tickInterval, "h1") }},
		"one that is silent hasn't": {act: func(f *fixture) { f.advance(tickInterval, "h1", "h2"); f.addServer("s"); f.advance(silent, "h1") }},
		"one that was silent before hasn't": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.advance(silent, "h1")
			f.addServer("s")
			f.advance(tickInterval, "h1")
		}},
		"all but one have confirmed its new address": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.addServer("s")
			f.advance(tickInterval, "h1", "h2")
			f.handleReport(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, f.now)
			f.answerPolls()
			f.advance(tickInterval, "h1")
		}},
		"all have confirmed its new address": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.addServer("s")
			f.handleReport(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, f.now)
			f.answerPolls()
			f.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"the previous placer has sent it, and one hasn't confirmed it": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.receivePreviousTable()
			f.advance(tickInterval, "h1")
		}},
		"the previous placer has sent it": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.receivePreviousTable()
			f.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"the core has stored it, and one hasn't confirmed it": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.receiveStoredTable()
			f.advance(tickInterval, "h1")
		}},
		"the core has stored it": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.receiveStoredTable()
			f.advance(tickInterval, "h1", "h2")
		}, used: 1},
		"all of them are silent": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.advance(silent)
			f.addServer("s")
			f.advance(tickInterval)
		}},
		"one that was silent has another process": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.advance(silent, "h1")
			f.addServer("s")
			f.handlePulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2}, f.now)
			f.handlePulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2, Epoch: testEpoch, Servers: f.tableVersion}, f.now)
			f.advance(tickInterval, "h1")
		}, used: 1},
		"one is silent for so long that it can't place with its table": {act: func(f *fixture) {
			f.advance(tickInterval, "h1", "h2")
			f.advance(runs.ReplicationTime+hostTimeout+tickInterval, "h1")
			f.addServer("s")
			f.advance(tickInterval, "h1")
		}, used: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			tt.act(f)
			if got := f.usableServers(); got != tt.used {
				t.Fatalf("%d new servers usable, want %d", got, tt.used)
			}
		})
	}
}
