package place

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"pgregory.net/rapid"
)

func TestServerResources(t *testing.T) {
	announce := func(p *Placer, change func(b *model.BackendServer)) {
		b := backend(0, 2)
		change(&b)
		p.Announce(b, start)
	}
	with := func(tasks int, change func(i int, s *Shape)) Request {
		req := jobOf("a", "x", tasks)
		for i := range req.Tasks {
			change(i, &req.Tasks[i])
		}
		return req
	}
	checkGrants(t, map[string]grantTest{
		"fewer slots than running tasks": {1, 2, func(p *Placer) {
			p.Submit(jobOf("a", "x", 4), start)
			announce(p, func(b *model.BackendServer) { b.Slots = 1 })
			p.Complete(Completion{Grant: 1}, start)
		}, []string{"a/0@b000", "a/1@b000"}},
		"a restart doesn't free the slots of the former process": {1, 2, func(p *Placer) {
			p.Submit(jobOf("a", "x", 4), start)
			announce(p, func(b *model.BackendServer) { b.Address = "10.0.0.9:1" })
		}, []string{"a/0@b000", "a/1@b000"}},
		"tasks of a former process are released after the bounded time": {1, 2, func(p *Placer) {
			p.Submit(jobOf("a", "x", 3), start)
			announce(p, func(b *model.BackendServer) { b.Address = "10.0.0.9:1" })
			for now := start; !now.After(start.Add(DefaultMinOrphanTime)); now = now.Add(time.Second) {
				p.Tick(now)
			}
		}, []string{"a/0@b000", "a/1@b000", "a/2@b000"}},
		"no grants after the lease has expired": {1, 2, func(p *Placer) {
			announce(p, func(b *model.BackendServer) { b.Lease = time.Second })
			p.Tick(start.Add(time.Second))
			p.Submit(jobOf("a", "x", 1), start)
		}, nil},
		"accelerators are reserved": {1, 2, func(p *Placer) {
			p.Submit(with(3, func(_ int, s *Shape) { s.Accelerators = 1 }), start)
			p.Complete(Completion{Grant: 1}, start)
		}, []string{"a/0@b000", "a/1@b000"}},
		"memory is reserved and doesn't block a smaller task": {1, 2, func(p *Placer) {
			p.Submit(with(3, func(i int, s *Shape) { s.MemoryBytes = []int64{40, 40, 24}[i] }), start)
		}, []string{"a/0@b000", "a/2@b000"}},
	})
}

// No window of one second holds more starts than the limit, for any time steps.
func TestStartLog(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 20).Draw(rt, "limit")
		var l startLog
		var starts []time.Time
		now := start
		for range rapid.IntRange(1, 200).Draw(rt, "ops") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200_000).Draw(rt, "step")) * time.Microsecond)
			starts = slices.DeleteFunc(starts, func(at time.Time) bool { return now.Sub(at) >= rateWindow })
			counted := l.count(now)
			if counted < len(starts) {
				rt.Fatalf("count %d, want at least %d starts", counted, len(starts))
			}
			if counted < limit {
				l.add(now)
				starts = append(starts, now)
			}
		}
	})
}
