package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// found has a server report for the first time, and lets it answer the looks.
func (w *waiting) found(name string) {
	w.beat(model.Server{Name: name, Address: name, DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}, w.now)
	w.answerLooks()
}

var laterServer = model.Server{Name: "s", Address: "s", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 1}

// former has the table of the placer before come after this one began.
func (w *waiting) former() {
	w.inherit(model.ServerTable{DataCentre: "dc", Epoch: w.latest.Former, Servers: []model.Server{laterServer}}, w.now)
	w.answerLooks()
}

// kept has a table come that the core has kept.
func (w *waiting) kept() {
	w.learn(model.ServerTable{DataCentre: "dc", Epoch: w.latest.Former, Servers: []model.Server{laterServer}}, w.now)
	w.answerLooks()
}

func (w *waiting) answerLooks() {
	for _, l := range w.placer.Drain(w.now).Polls {
		w.placer.Polled(runs.PollResult{Server: l.Server.Name, Born: 1, Seq: l.Seq, Outcome: runs.OutcomeTaken, Clock: 1, Sent: w.now}, w.now)
	}
}

// confirm has a host of the data centre pulse with the table of a version.
func (w *waiting) confirm(name string, version uint64) {
	w.pulse(msgs.Pulse{
		Host: name, DataCentre: "dc", Incarnation: 1, Epoch: waitEpoch, Servers: version,
		Placing: waitEpoch, Stamp: w.now.Sub(w.began),
	}, w.now)
}

// pass lets time pass in ticks, in which some hosts confirm the whole table.
func (w *waiting) pass(d time.Duration, hosts ...string) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		for _, name := range hosts {
			w.confirm(name, w.version)
		}
		w.answerLooks()
		w.tick(w.now)
		w.answerLooks()
	}
}

func (w *waiting) usable() int {
	usable := 0
	for _, k := range w.placer.Kinds(w.now) {
		usable += k.Usable
	}
	return usable
}

// TestUsedBeforeConfirmed has a placer find a server while hosts have the table
// without it.
func TestUsedBeforeConfirmed(t *testing.T) {
	const silent = hostSilence + 2*tick // it is dropped by then
	tests := map[string]struct {
		act  func(w *waiting)
		used int
	}{
		"no other host has the table": {act: func(w *waiting) { w.found("s"); w.pass(tick) }, used: 1},
		"all have confirmed it":       {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.found("s"); w.pass(tick, "h1", "h2") }, used: 1},
		"one hasn't yet":              {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.found("s"); w.pass(tick, "h1") }},
		"one that is silent hasn't":   {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.found("s"); w.pass(silent, "h1") }},
		"one that was silent before hasn't": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.pass(silent, "h1")
			w.found("s")
			w.pass(tick, "h1")
		}},
		"all but one have confirmed its new address": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.found("s")
			w.pass(tick, "h1", "h2")
			w.beat(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
			w.pass(tick, "h1")
		}},
		"all have confirmed its new address": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.found("s")
			w.beat(model.Server{Name: "s", Address: "t", DataCentre: "dc", Service: "svc", CPU: 100, Born: 1, Seq: 2}, w.now)
			w.pass(tick, "h1", "h2")
		}, used: 1},
		"the placer before has sent it, and one hasn't confirmed it": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.former()
			w.pass(tick, "h1")
		}},
		"the placer before has sent it": {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.former(); w.pass(tick, "h1", "h2") }, used: 1},
		"the core has kept it, and one hasn't confirmed it": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.kept()
			w.pass(tick, "h1")
		}},
		"the core has kept it":   {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.kept(); w.pass(tick, "h1", "h2") }, used: 1},
		"all of them are silent": {act: func(w *waiting) { w.pass(tick, "h1", "h2"); w.pass(silent); w.found("s"); w.pass(tick) }},
		"one that was silent has another process": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.pass(silent, "h1")
			w.found("s")
			w.pulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2}, w.now)
			w.pulse(msgs.Pulse{Host: "h2", DataCentre: "dc", Incarnation: 2, Epoch: waitEpoch, Servers: w.version}, w.now)
			w.pass(tick, "h1")
		}, used: 1},
		"one is silent for so long that it can't begin with its table": {act: func(w *waiting) {
			w.pass(tick, "h1", "h2")
			w.pass(runs.ReplicationTime+hostSilence+tick, "h1")
			w.found("s")
			w.pass(tick, "h1")
		}, used: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWaiting()
			tt.act(w)
			if got := w.usable(); got != tt.used {
				t.Fatalf("%d new servers are used, want %d", got, tt.used)
			}
		})
	}
}
