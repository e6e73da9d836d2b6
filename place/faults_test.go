package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"pgregory.net/rapid"
)

// faultTest runs a placer with all mechanisms enabled through random faults and
// keeps its own list of outstanding grants.
type faultTest struct {
	*rapid.T
	p           *Placer
	lists       model.Lists
	now         time.Time
	jobs        int
	outstanding []Grant
	runs        map[string]int // starts of each task that may have run
}

func (f *faultTest) step() {
	switch rapid.SampledFrom([]string{"want", "want", "end", "end", "end", "time", "cancel", "fleet", "lost", "handover"}).Draw(f.T, "op") {
	case "want":
		f.jobs++
		req := jobOf(fmt.Sprint("j", f.jobs), rapid.SampledFrom([]string{"x", "y"}).Draw(f.T, "customer"), rapid.IntRange(1, 6).Draw(f.T, "tasks"))
		req.Host = fmt.Sprint("h", f.jobs%2)
		req.Tasks[0].MemoryBytes = int64(rapid.SampledFrom([]int{0, 40}).Draw(f.T, "memory"))
		f.p.Submit(req, f.now)
	case "end":
		if len(f.outstanding) > 0 {
			f.complete(rapid.IntRange(0, len(f.outstanding)-1).Draw(f.T, "grant"), rapid.SampledFrom([]Result{Succeeded, Succeeded, Failed, NotStarted, Unknown}).Draw(f.T, "result"))
		}
	case "time":
		f.now = f.now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(f.T, "step")) * ms)
		f.p.Tick(f.now)
	case "cancel":
		f.p.Cancel(fmt.Sprint("j", f.jobs), f.now)
	case "fleet":
		b := backend(rapid.IntRange(0, 2).Draw(f.T, "server"), rapid.IntRange(0, 3).Draw(f.T, "slots"))
		if b.Slots == 0 {
			f.p.Leave(b.Name, f.now)
		} else {
			f.p.Announce(b, f.now)
		}
	case "lost":
		f.p.HostLost(rapid.SampledFrom([]string{"h0", "h1"}).Draw(f.T, "host"), 1, f.now)
	case "handover":
		f.failover()
	}
}

func (f *faultTest) complete(i int, r Result) {
	g := f.outstanding[i]
	f.outstanding = slices.Delete(f.outstanding, i, i+1)
	f.p.Complete(Completion{Grant: g.ID, Result: r, RunTime: 100 * ms}, f.now)
	if r == NotStarted {
		f.runs[fmt.Sprint(g.Job, "/", g.Task)]--
		f.p.Retry(g.Job, Shape{Index: g.Task, Service: g.Service, MemoryBytes: g.MemoryBytes}, f.now)
	}
}

// failover replaces the placer by a new one that restores the outstanding grants of the
// entry hosts.
func (f *faultTest) failover() {
	fleet := f.p.BackendStatus()
	f.p = newPlacer(f.lists, 0, 0, RecoverUntil(f.now.Add(time.Hour), "h0", "h1"))
	for i, b := range fleet {
		if b.Announced {
			f.p.Announce(backend(i, b.Slots), f.now)
		}
	}
	for _, host := range []string{"h0", "h1"} {
		f.p.Restore(host, 1, slices.DeleteFunc(slices.Clone(f.outstanding), func(g Grant) bool { return g.Host != host }), f.now)
	}
}

// checkLimits checks the new grants against slots, memory and quotas, and that no task
// starts twice.
func (f *faultTest) checkLimits() {
	out := f.p.Drain()
	for _, e := range out.Events {
		f.outstanding = slices.DeleteFunc(f.outstanding, func(g Grant) bool { return e.Kind == Released && g.ID == e.Grant })
	}
	f.outstanding = append(f.outstanding, out.Grants...)
	used, running, memory := map[string]int{}, map[string]int{}, map[string]int64{}
	for _, g := range f.outstanding {
		used[g.BackendServer]++
		running[g.Customer]++
		memory[g.BackendServer] += g.MemoryBytes
	}
	for _, g := range out.Grants {
		s, task := f.p.servers[g.BackendServer], fmt.Sprint(g.Job, "/", g.Task)
		f.runs[task]++
		if used[g.BackendServer] > s.info.Slots || memory[g.BackendServer] > s.info.MemoryBytes ||
			running[g.Customer] > f.p.customers[g.Customer].plan.MaxRunning || f.runs[task] > 1 {
			f.Fatalf("%s on %s exceeds a limit or has started before", task, g.BackendServer)
		}
	}
}

// checkNothingLeft cancels all jobs, completes all grants and checks that nothing remains
// counted or reserved.
func (f *faultTest) checkNothingLeft() {
	for name := range f.p.jobs {
		f.p.Cancel(name, f.now)
	}
	f.checkLimits()
	for len(f.outstanding) > 0 {
		f.complete(0, Succeeded)
	}
	f.p.Tick(f.now.Add(time.Hour))
	counts := []int{len(f.p.jobs), len(f.p.grants)}
	for _, c := range f.p.customers {
		counts = append(counts, c.running, c.waiting)
	}
	for _, s := range f.p.servers {
		counts = append(counts, s.running, int(s.memory))
	}
	for _, s := range f.p.services {
		counts = append(counts, s.waiting, s.eligible, s.running, int(s.weight))
	}
	if slices.ContainsFunc(counts, func(n int) bool { return n != 0 }) {
		f.Fatalf("jobs, grants or reservations remain: %v", counts)
	}
}

func TestRandomFaults(t *testing.T) {
	limited := plan("y", 2)
	limited.MaxRunning, limited.StartsPerSecond = 2, 5
	rapid.Check(t, func(rt *rapid.T) {
		lists := listsOf(plan("x", 1), limited)
		f := &faultTest{T: rt, p: newPlacer(lists, 2, 2), lists: lists, now: start, runs: map[string]int{}}
		for range rapid.IntRange(1, 100).Draw(rt, "ops") {
			f.step()
			f.checkLimits()
		}
		f.checkNothingLeft()
	})
}
