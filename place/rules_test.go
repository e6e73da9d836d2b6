package place

import (
	"slices"
	"strings"
	"testing"
	"time"
)

// completeRounds completes the given number of rounds of one task per server. ran returns the
// run time on a server.
func completeRounds(p *Placer, rounds int, ran func(server string) time.Duration) {
	for i := range rounds {
		p.Submit(jobOf(strings.Repeat("p", i+1), "x", len(p.servers)), start)
		for _, g := range slices.Clone(p.Drain().Grants) {
			p.Complete(Completion{Grant: g.ID, RunTime: ran(g.BackendServer)}, start)
		}
	}
	p.Drain()
}

func equalRunTimes(string) time.Duration { return 100 * ms }

func slowB001(server string) time.Duration {
	if server == "b001" {
		return 400 * ms
	}
	return 100 * ms
}

// endLatest submits a task and ends the latest grant with the given result.
func endLatest(p *Placer, r Result) {
	p.Submit(jobOf("f", "x", 1), start)
	p.Complete(Completion{Grant: p.nextGrant - 1, Result: r}, start)
}

func TestPlacementRules(t *testing.T) {
	checkGrants(t, map[string]grantTest{
		"a retry avoids the server where the task did not start": {2, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			endLatest(p, NotStarted)
			p.Retry("f", Shape{Service: "check"}, start)
		}, []string{"f/0@b000", "f/0@b001"}},
		"a server that fails before any success gets no tasks during the backoff": {1, 1, func(p *Placer) {
			endLatest(p, Failed)
			p.Submit(jobOf("a", "x", 1), start)
			p.Tick(start.Add(100*ms - 1))
		}, []string{"f/0@b000"}},
		"the backoff ends after the expected run time": {1, 1, func(p *Placer) {
			endLatest(p, Failed)
			p.Submit(jobOf("a", "x", 1), start)
			p.Tick(start.Add(101 * ms))
		}, []string{"f/0@b000", "a/0@b000"}},
		"a server that refused gets no tasks during the backoff": {2, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			endLatest(p, NotStarted)
			p.Submit(jobOf("a", "x", 2), start)
			p.Tick(start.Add(refusalBackoff - 1))
		}, []string{"f/0@b000", "a/0@b001"}},
		"a server that refused gets tasks again after the backoff": {2, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			endLatest(p, NotStarted)
			p.Submit(jobOf("a", "x", 2), start)
			p.Tick(start.Add(refusalBackoff + 1))
		}, []string{"f/0@b000", "a/0@b001", "a/1@b000"}},
		"a withdrawn grant is no evidence against the server": {1, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			endLatest(p, Withdrawn)
			p.Submit(jobOf("a", "x", 1), start)
		}, []string{"f/0@b000", "a/0@b000"}},
		"one of two servers may be ejected": {2, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			p.eject(p.servers["b000"].members[0], CauseFailing, start)
			p.Submit(jobOf("a", "x", 2), start)
		}, []string{"a/0@b001"}},
		"a non-idempotent job is not used as a probe": {3, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			p.eject(p.servers["b000"].members[0], CauseFailing, start)
			p.Tick(start.Add(DefaultProbeInterval))
			req := jobOf("a", "x", 1)
			req.NonIdempotent = true
			p.Submit(req, start.Add(DefaultProbeInterval))
			p.Submit(jobOf("b", "x", 1), start.Add(DefaultProbeInterval))
		}, []string{"a/0@b001", "b/0@b000"}},
		"a task waits for a faster server": {2, 1, func(p *Placer) {
			completeRounds(p, 40, slowB001)
			p.Tick(start.Add(time.Minute))
			p.Submit(jobOf("a", "x", 2), start.Add(time.Minute))
			p.Tick(start.Add(time.Minute + 100*ms))
		}, []string{"a/0@b000"}},
		"a task waits for a faster server no longer than it could save": {2, 1, func(p *Placer) {
			completeRounds(p, 40, slowB001)
			p.Tick(start.Add(time.Minute))
			p.Submit(jobOf("a", "x", 2), start.Add(time.Minute))
			p.Tick(start.Add(time.Minute + 500*ms))
		}, []string{"a/0@b000", "a/1@b001"}},
		"a failing server that may not be ejected is used last": {2, 1, func(p *Placer) {
			completeRounds(p, 1, equalRunTimes)
			p.servers["b000"].members[0].health.failing = maxEvidence
			p.refresh(p.servers["b000"].members[0])
			p.Submit(jobOf("a", "x", 1), start)
		}, []string{"a/0@b001"}},
	})
}

// A server that never responds is ejected while its peers continue to get tasks.
func TestHungServer(t *testing.T) {
	p := newPlacer(listsOf(plan("x", 1)), 5, 4)
	var events []Event
	now := start
	for n := 0; now.Before(start.Add(10 * time.Second)); n++ {
		now = now.Add(50 * ms)
		p.Tick(now)
		p.Submit(jobOf(now.String(), "x", 20), now)
		out := p.Drain()
		events = append(events, out.Events...)
		for _, g := range slices.Clone(out.Grants) {
			if g.BackendServer != "b000" {
				p.Complete(Completion{Grant: g.ID, RunTime: 50 * ms}, now)
			}
		}
	}
	if len(events) != 1 || events[0].Kind != Ejected || events[0].BackendServer != "b000" {
		t.Errorf("events %+v, want the ejection of b000", events)
	}
}
