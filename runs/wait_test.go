package runs

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestFirstPulseAfterTick has a new placer tick between the handover of a job and the
// first pulse of its entry host, which happens in each takeover. The tick must not discard
// the record of that host.
func TestFirstPulseAfterTick(t *testing.T) {
	runs := []ActiveRun{{Task: "j.0.0.0", Run: 1}}
	tests := map[string]struct {
		active []ActiveRun   // on server a
		wait   time.Duration // until the first pulse
		starts int
	}{
		"nothing runs":                  {starts: 1},
		"nothing runs, late pulse":      {wait: 200 * time.Millisecond, starts: 1},
		"its run is active":             {active: runs},
		"its run is active, late pulse": {active: runs, wait: 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newTakeover(t)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now, Again: true,
				Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 2 * time.Second},
			}, d.now)
			d.answerPoll("a", tt.active, nil)
			d.answerPoll("b", nil, nil)
			d.answerPoll("c", nil, nil)
			d.p.Tick(d.now)
			d.drain()
			d.after(tt.wait)
			d.p.ConfirmWait("h1", d.now)
			out := d.drain()
			leased := false
			for _, o := range out.Polls {
				leased = leased || o.Deadline > 0
			}
			if len(out.Starts) != tt.starts || !leased {
				t.Errorf("%d starts after the first pulse, want %d; a lease: %v, want one", len(out.Starts), tt.starts, leased)
			}
		})
	}
}

// TestFirstPulseAfterHandover has a job arrive before the first pulse of its entry host,
// as after each change of the placer, and some time pass in between.
func TestFirstPulseAfterHandover(t *testing.T) {
	tests := map[string]struct {
		before func(d *driver)
		pass   time.Duration // from the handover to the first pulse
	}{
		"at once":                               {},
		"after a tick":                          {pass: 20 * time.Millisecond},
		"after half a second":                   {pass: 500 * time.Millisecond},
		"another job of the host arrived later": {pass: 20 * time.Millisecond, before: func(d *driver) { d.submit("k", "h9") }},
		"its former process was lost": {pass: 20 * time.Millisecond, before: func(d *driver) {
			d.p.ConfirmWait("h9", d.now)
			d.p.HostLost("h9", 2, d.now)
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			if tt.before != nil {
				tt.before(d)
			}
			d.submit("j", "h9")
			d.after(tt.pass)
			d.p.ConfirmWait("h9", d.now)
			if !slices.ContainsFunc(d.drain().Starts, func(s Start) bool { return s.Task == "j.0.0.0" }) {
				t.Fatal("the job doesn't start when its entry host is known to wait")
			}
		})
	}
}

// TestHandoverDelayedByCut has a cut between data centres delay a handover. Meanwhile the
// job's caller leaves and resends the job elsewhere, and the withdrawal is forgotten. The
// delayed handover must not start the job a second time.
func TestHandoverDelayedByCut(t *testing.T) {
	const (
		callerTimeout = 1500 * time.Millisecond
		forgotten     = 3 * time.Second // after a withdrawal
	)
	tests := map[string]struct {
		cut  time.Duration
		lead time.Duration // by which the first pulse after the cut precedes the handover
	}{
		"4 s, the pulse comes first":      {cut: 4003 * time.Millisecond, lead: time.Millisecond},
		"6.2 s, the pulse comes first":    {cut: 6203 * time.Millisecond, lead: time.Millisecond},
		"6.2 s, the handover comes first": {cut: 6203 * time.Millisecond, lead: -5 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 1, faults{})
			w.addServer("s", "a", 1)
			w.addServerTo("other", "t", "a", 1)
			placer, other := w.newPlacer(1), w.newPlacerIn("other", 1)
			w.run(time.Second)
			job := func() Job {
				w.work["j"] = 900 * time.Millisecond
				return Job{
					ID: "j", Service: "svc", Tasks: 1, Attempts: 2, Arrived: w.now, Objective: 1500 * time.Millisecond, Expires: callerTimeout,
					Demand: model.Demand{CPU: 16000, MemoryMB: 64, Expected: 900 * time.Millisecond},
				}
			}
			first := w.newHost("h1", placer)
			first.placer = other // its own placer has refused the job
			first.linkFree[other] = w.now.Add(tt.cut)
			first.submit(job())
			first.placer = placer // its pulses to the other one are lost meanwhile
			w.after(callerTimeout, func() { delete(first.open, "j"); first.withdrawn["j"] = 1 })
			w.after(callerTimeout+forgotten, func() { delete(first.withdrawn, "j") })
			w.after(tt.cut-tt.lead, func() { first.placer = other })
			second := w.newHost("h2", placer)
			// A second attempt got no answer either.
			w.after(2*(callerTimeout+resendTime), func() { second.submit(job()) })
			w.run(8 * time.Second)
			if w.duplicate != "" {
				t.Fatal(w.duplicate)
			}
		})
	}
}

func TestWithdrawBefore(t *testing.T) {
	tests := map[string]struct {
		act  func(d *driver)
		jobs int
	}{
		"nothing is reported":   {act: func(*driver) {}, jobs: 1},
		"from this handover on": {act: func(d *driver) { d.p.WithdrawBefore("h1", 5, d.now) }, jobs: 1},
		"from a later one on":   {act: func(d *driver) { d.p.WithdrawBefore("h1", 6, d.now) }},
		"another host does":     {act: func(d *driver) { d.p.WithdrawBefore("h2", 6, d.now) }, jobs: 1},
		"its next process does": {act: func(d *driver) { d.p.WithdrawBefore("h1", 6, d.now); d.p.HostLost("h1", 2, d.now); d.hand("k", 1) }, jobs: 1},
		"an older pulse arrives late": {act: func(d *driver) {
			d.p.WithdrawBefore("h1", 7, d.now)
			d.p.WithdrawBefore("h1", 3, d.now)
			d.hand("k", 6)
		}},
		"a handover after it":          {act: func(d *driver) { d.p.WithdrawBefore("h1", 6, d.now); d.hand("k", 6) }, jobs: 1},
		"a handover that arrives late": {act: func(d *driver) { d.p.WithdrawBefore("h1", 7, d.now); d.hand("k", 6) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newDriver(t)
			d.hand("j", 5)
			tt.act(d)
			if got := d.p.Jobs(); got != tt.jobs {
				t.Fatalf("%d jobs, want %d", got, tt.jobs)
			}
		})
	}
}

// hand submits a job from h1 as the handover with a number.
func (d *driver) hand(id string, number uint64) {
	d.p.Submit(Job{
		ID: id, Host: "h1", Incarnation: 1, Hand: number, Service: "svc", Tasks: 1, Attempts: 3, Arrived: d.now,
		Objective: time.Second, Expires: time.Second, Demand: model.Demand{CPU: 1000, MemoryMB: 1, Expected: 200 * time.Millisecond},
	}, d.now)
}
