package place

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

func TestPlacer(t *testing.T) {
	checkGrants(t, map[string]grantTest{
		"a repeated completion frees no slot": {2, 1, func(p *Placer) {
			p.Submit(jobOf("a", "x", 4), start)
			p.Complete(Completion{Grant: 1}, start)
			p.Complete(Completion{Grant: 1}, start)
		}, []string{"a/0@b000", "a/1@b001", "a/2@b000"}},
		"a cancelled job gets no more grants": {2, 1, func(p *Placer) {
			p.Submit(jobOf("a", "x", 3), start)
			p.Cancel("a", start)
			p.Complete(Completion{Grant: 1}, start)
		}, []string{"a/0@b000", "a/1@b001"}},
		"grants of a lost host keep their slots for the bounded time": {2, 1, func(p *Placer) { loseHostAndWait(p, DefaultMinOrphanTime-time.Second) }, []string{"a/0@b000", "a/1@b001"}},
		"grants of a lost host are released after the bounded time":   {2, 1, func(p *Placer) { loseHostAndWait(p, DefaultMinOrphanTime) }, []string{"a/0@b000", "a/1@b001", "b/0@b000"}},
	})
}

// Tasks with many different resource needs share a bounded number of resource queues.
func TestResourceQueuesAreBounded(t *testing.T) {
	p := newPlacer(listsOf(plan("x", 1)), 0, 0)
	b := backend(0, 1)
	b.MemoryBytes = 1 << 20
	p.Announce(b, start)
	for i := range 1000 {
		req := jobOf(fmt.Sprint(i), "x", 1)
		req.Tasks[0].MemoryBytes = int64(1000 * i)
		if r := p.Submit(req, start); r != nil {
			t.Fatal(r)
		}
	}
	if n, limit := len(p.services["check"].queues), maxQueues+20; n > limit {
		t.Errorf("%d resource queues, want at most %d", n, limit)
	}
}

// loseHostAndWait loses a host with running tasks, queues another job and advances the
// time by wait.
func loseHostAndWait(p *Placer, wait time.Duration) {
	p.Submit(jobOf("a", "x", 4), start)
	p.HostLost("h1", 1, start)
	req := jobOf("b", "x", 1)
	req.Incarnation = 2
	p.Submit(req, start)
	for passed := time.Duration(0); passed <= wait; passed += time.Second {
		p.Tick(start.Add(passed))
	}
}

// After a change of primary nothing is granted until the pending hosts have
// reported. Restored grants keep their slots and their tasks are not started again.
func TestRestore(t *testing.T) {
	old := newPlacer(listsOf(plan("x", 1)), 2, 1)
	old.Submit(jobOf("a", "x", 3), start)
	outstanding := slices.Clone(old.Drain().Grants)

	p := newPlacer(listsOf(plan("x", 1)), 2, 1, RecoverUntil(start.Add(time.Second), "h1"), FirstGrant(100))
	p.Submit(jobOf("a", "x", 3), start)
	if got := drainGrants(p); got != nil {
		t.Fatalf("granted %v before all hosts had reported", got)
	}
	p.Restore("h1", 1, outstanding, start)
	if got := drainGrants(p); got != nil {
		t.Fatalf("granted %v on occupied slots", got)
	}
	p.Complete(Completion{Grant: outstanding[1].ID}, start)
	if got, want := drainGrants(p), []string{"a/2@b001"}; !slices.Equal(got, want) {
		t.Fatalf("granted %v, want %v", got, want)
	}
}
