package entry

import (
	"cmp"
	"maps"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// sentPulses returns the pulses sent, by the placer's host.
func (f *fixture) sentPulses() map[string][]msgs.Pulse {
	list := map[string][]msgs.Pulse{}
	for _, e := range f.sent {
		if m, ok := e.Body.(msgs.Pulse); ok {
			list[e.To] = append(list[e.To], m)
		}
	}
	return list
}

func TestStamps(t *testing.T) {
	send := func(f *fixture, epoch uint64, stamp time.Duration) {
		f.Handle(msgs.Pulsed{Host: "p1", Incarnation: 1, Epoch: epoch, Stamp: stamp})
	}
	tests := map[string]struct {
		act     func(f *fixture)
		placing uint64 // of the next pulse
		stamp   time.Duration
	}{
		"none was sent":          {act: func(*fixture) {}},
		"it is returned":         {act: func(f *fixture) { send(f, 4, 7*time.Second) }, placing: 4, stamp: 7 * time.Second},
		"one of another epoch":   {act: func(f *fixture) { send(f, 3, 7*time.Second) }},
		"one that is late":       {act: func(f *fixture) { send(f, 4, 7*time.Second); send(f, 4, 6*time.Second) }, placing: 4, stamp: 7 * time.Second},
		"the host doesn't place": {act: func(f *fixture) { f.Handle(msgs.Pulsed{Host: "p1", Incarnation: 1, Idle: 4, Stamp: time.Second}) }},
		"the next epoch on the same host": {act: func(f *fixture) {
			send(f, 4, 7*time.Second)
			f.receiveRenewed(0, "", model.Placement{DataCentre: "a", Host: "p1", Incarnation: 1, Epoch: 8})
			send(f, 4, 8*time.Second)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA)
			tt.act(f)
			f.sent = nil
			f.advance(pulseInterval + tickInterval)
			got := f.sentPulses()["p1"]
			if len(got) == 0 || got[0].Placing != tt.placing || got[0].Stamp != tt.stamp {
				t.Fatalf("pulses %+v, want stamp %v of epoch %d", got, tt.stamp, tt.placing)
			}
		})
	}
}

func TestRequestedPulses(t *testing.T) {
	tests := map[string]struct {
		before func(f *fixture)
		pulsed msgs.Pulsed
		want   map[string]int // pulses sent immediately
	}{
		"no request":                   {pulsed: msgs.Pulsed{Host: "p1", Epoch: 4}},
		"by the own placer":            {pulsed: msgs.Pulsed{Host: "p1", Epoch: 4, Ask: true}, want: map[string]int{"p1": 1}},
		"with a change of servers":     {pulsed: msgs.Pulsed{Host: "p1", Epoch: 4, Ask: true, Servers: 3}, want: map[string]int{"p1": 1}},
		"by the placer of another one": {pulsed: msgs.Pulsed{Host: "q1", Epoch: 5, Ask: true, Servers: 3}, want: map[string]int{"q1": 1}},
		"under another epoch":          {pulsed: msgs.Pulsed{Host: "p1", Epoch: 3, Ask: true}},
		"by a superseded placer": {
			before: func(f *fixture) { f.receiveRenewed(0, "", placedA2) },
			pulsed: msgs.Pulsed{Host: "p1", Epoch: 4, Ask: true},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			if tt.before != nil {
				tt.before(f)
			}
			f.sent = nil
			tt.pulsed.Stamp = time.Second
			f.Handle(tt.pulsed)
			got := map[string]int{}
			for host, list := range f.sentPulses() {
				got[host] = len(list)
				if list[0].Stamp != tt.pulsed.Stamp {
					t.Errorf("stamp %v, want the one of the request, %v", list[0].Stamp, tt.pulsed.Stamp)
				}
			}
			if !maps.Equal(got, tt.want) {
				t.Fatalf("pulses %v, want %v", got, tt.want)
			}
		})
	}
}

func TestWithdrawals(t *testing.T) {
	abandon := func(f *fixture) { f.submitJob("j", "/v/j"); f.Handle(Abandon{Job: "j", Waiter: 1}) }
	first := []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 3, Hand: 1}}
	tests := map[string]struct {
		act   func(f *fixture)
		epoch uint64             // of p1, 0 for its first one
		want  []msgs.JobWithdraw // listed to p1
	}{
		"an open job":         {act: func(f *fixture) { f.submitJob("j", "/v/j") }},
		"its caller has left": {act: abandon, want: first},
		"cancelled": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.Handle(Cancel{Authority: "x.example", Path: "/v/j", Job: "j", Reply: func(Kind) {}})
		}, want: first},
		"given up": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.advance(2*time.Second + answerGrace + 2*tickInterval)
		}, want: first},
		"ended by its placer": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.endLatest(msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, State: model.JobEndComplete})
		}},
		"ended by the previous placer": {act: func(f *fixture) {
			f.receiveRenewed(0, "", model.Placement{DataCentre: "a", Host: "p0", Incarnation: 1, Epoch: 6})
			f.submitJob("j", "/v/j")
			f.receiveRenewed(0, "", model.Placement{DataCentre: "a", Host: "p1", Incarnation: 1, Epoch: 8})
			f.endLatest(msgs.JobEnded{Job: "j", Host: "p0", Epoch: 6, State: model.JobEndComplete})
		}, epoch: 8, want: []msgs.JobWithdraw{{Job: "j", Host: "h1", Incarnation: 3, Hand: 2}}},
		"just before it is evicted": {act: func(f *fixture) { abandon(f); f.advance(withdrawalRetention) }, want: first},
		"forgotten":                 {act: func(f *fixture) { abandon(f); f.advance(withdrawalRetention + 2*tickInterval) }},
		"resent since":              {act: func(f *fixture) { abandon(f); f.submitJob("j", "/v/j") }, want: first},
		"resent and abandoned again": {
			act: func(f *fixture) { abandon(f); abandon(f) }, want: append(slices.Clone(first), msgs.JobWithdraw{Job: "j", Host: "h1", Incarnation: 3, Hand: 2}),
		},
		"it waited for a placer": {act: func(f *fixture) {
			f.Handle(msgs.Pulsed{Host: "p1", Idle: placedA.Epoch})
			abandon(f)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			tt.act(f)
			f.sent = nil
			f.Handle(msgs.Pulsed{Host: "p1", Epoch: cmp.Or(tt.epoch, placedA.Epoch), Ask: true})
			f.Handle(msgs.Pulsed{Host: "q1", Epoch: 5, Ask: true})
			got := f.sentPulses()
			if len(got["p1"]) != 1 || !slices.Equal(got["p1"][0].Withdrawn, tt.want) {
				t.Errorf("pulses to its placer %+v, want one that lists %+v", got["p1"], tt.want)
			}
			if len(got["q1"]) != 1 || len(got["q1"][0].Withdrawn) != 0 {
				t.Errorf("pulses to another placer %+v, want one that lists nothing", got["q1"])
			}
		})
	}
}

func TestHandoverNumbers(t *testing.T) {
	tests := map[string]func(f *fixture){
		"to a new placer": func(f *fixture) { f.submitJob("j", "/v/j"); f.receiveRenewed(0, "", placedA2) },
		"to another data centre": func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.endLatest(msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, State: model.JobEndRefused})
		},
		"resent after its caller had left": func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.Handle(Abandon{Job: "j", Waiter: 1})
			f.submitJob("j", "/v/j")
		},
		"another job": func(f *fixture) { f.submitJob("j", "/v/j"); f.submitJob("k", "/v/k") },
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			act(f)
			handovers := f.handovers()
			if len(handovers) != 2 || handovers[0].Hand == 0 || handovers[1].Hand <= handovers[0].Hand {
				t.Fatalf("handovers %+v, want two with rising numbers", handovers)
			}
			f.sent = nil
			last := handovers[1]
			f.Handle(Abandon{Job: last.Job, Waiter: 1})
			for _, e := range f.sent {
				if m, ok := e.Body.(msgs.JobWithdraw); !ok || e.To != last.Host || m.Hand != last.Hand {
					t.Fatalf("%+v to %s, want a withdrawal of handover %d to %s", e.Body, e.To, last.Hand, last.Host)
				}
			}
			if len(f.sent) != 1 {
				t.Fatalf("%d messages when the caller leaves, want one", len(f.sent))
			}
		})
	}
}

func TestOldestHandover(t *testing.T) {
	tests := map[string]struct {
		act  func(f *fixture)
		want uint64
	}{
		"nothing was handed over": {act: func(*fixture) {}, want: 1},
		"a job is open":           {act: func(f *fixture) { f.submitJob("j", "/v/j"); f.submitJob("k", "/v/k") }, want: 1},
		"the first one has ended": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.submitJob("k", "/v/k")
			f.Handle(Abandon{Job: "j", Waiter: 1})
		}, want: 2},
		"the caller resent it": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.Handle(Abandon{Job: "j", Waiter: 1})
			f.submitJob("j", "/v/j")
		}, want: 2},
		"none is open": {act: func(f *fixture) { f.submitJob("j", "/v/j"); f.Handle(Abandon{Job: "j", Waiter: 1}) }, want: 2},
		"handed over to the next epoch": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.receiveRenewed(0, "", model.Placement{DataCentre: "a", Host: "p1", Incarnation: 1, Epoch: 8})
		}, want: 2},
		"handed over to another data centre": {act: func(f *fixture) {
			f.submitJob("j", "/v/j")
			f.endLatest(msgs.JobEnded{Job: "j", Host: "p1", Epoch: 4, State: model.JobEndRefused})
		}, want: 3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			tt.act(f)
			f.sent = nil
			f.advance(pulseInterval + tickInterval)
			got := f.sentPulses()["p1"]
			if len(got) == 0 || got[0].Oldest != tt.want {
				t.Fatalf("pulses %+v, want %d as the oldest handover", got, tt.want)
			}
		})
	}
}

// TestTwoCallers guards against withdrawing a job while one of its two callers still
// waits, and against withdrawing it from the wrong placer when the placer changes.
func TestTwoCallers(t *testing.T) {
	send := func(f *fixture, waiter uint64) {
		f.Handle(Submit{
			Authority: "x.example", Path: "/v/j", Job: "j", Timeout: 2 * time.Second, Waiter: waiter,
			Spec: Spec{Text: "t", Tasks: 2, Demand: model.Demand{CPU: 100, Expected: time.Second}}, Reply: func(Outcome) {},
		})
	}
	tests := map[string]struct {
		act       func(f *fixture)
		withdrawn map[string]uint64 // handovers that are withdrawn, by placer
	}{
		"the first one leaves before": {act: func(f *fixture) { f.Handle(Abandon{Job: "j", Waiter: 1}); f.receiveRenewed(0, "", placedA2) }},
		"the first one leaves after":  {act: func(f *fixture) { f.receiveRenewed(0, "", placedA2); f.Handle(Abandon{Job: "j", Waiter: 1}) }},
		"one leaves twice": {act: func(f *fixture) {
			f.Handle(Abandon{Job: "j", Waiter: 2})
			f.receiveRenewed(0, "", placedA2)
			f.Handle(Abandon{Job: "j", Waiter: 2})
		}},
		"both leave": {act: func(f *fixture) {
			f.Handle(Abandon{Job: "j", Waiter: 1})
			f.receiveRenewed(0, "", placedA2)
			f.Handle(Abandon{Job: "j", Waiter: 2})
		}, withdrawn: map[string]uint64{"p2": 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.receiveRenewed(2, "v", placedA, placedB)
			send(f, 1)
			send(f, 2)
			tt.act(f)
			if handovers := f.handovers(); len(handovers) != 2 || handovers[1].Host != "p2" || !handovers[1].Again {
				t.Fatalf("handovers %+v, want one to each placer", handovers)
			}
			got := map[string]uint64{}
			for _, e := range f.sent {
				if m, ok := e.Body.(msgs.JobWithdraw); ok {
					got[e.To] = m.Hand
				}
			}
			if !maps.Equal(got, tt.withdrawn) {
				t.Errorf("withdrawn %v, want %v", got, tt.withdrawn)
			}
			f.sent = nil
			f.Handle(msgs.Pulsed{Host: "p1", Incarnation: 1, Epoch: placedA.Epoch, Stamp: time.Second, Ask: true})
			f.advance(2 * pulseInterval)
			if n := len(f.sentPulses()["p1"]); n != 0 {
				t.Errorf("%d pulses to the previous placer, want none: it holds the first handover", n)
			}
		})
	}
}
