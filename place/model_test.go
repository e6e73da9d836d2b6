package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"pgregory.net/rapid"
)

// modelTest applies the same operations to a placer and to the naive model.
type modelTest struct {
	*rapid.T
	p    *Placer
	n    *naive
	now  time.Time
	jobs []string
}

func (d *modelTest) int(label string, from, to int) int {
	return rapid.IntRange(from, to).Draw(d.T, label)
}

func newModelTest(rt *rapid.T) *modelTest {
	d := &modelTest{T: rt, now: start}
	d.p = New(func(c *config) { c.learn, c.eject, c.hold = false, false, false })
	var plans []model.Plan
	for i := range d.int("customers", 1, 4) {
		pl := plan(fmt.Sprintf("c%d", i), d.int("weight", 1, 4))
		pl.MaxRunning, pl.StartsPerSecond = d.int("running", 1, 8), d.int("starts", 1, 12)
		plans = append(plans, pl)
	}
	d.n = newNaive(plans)
	d.p.SetLists(listsOf(plans...), start)
	for i := range d.int("servers", 1, 4) {
		b := backend(i, d.int("slots", 1, 3))
		b.Services = [][]string{{"check", "swap"}, {"check"}, {"swap", "check"}}[i%3]
		d.p.Announce(b, start)
		d.n.servers = append(d.n.servers, b)
	}
	return d
}

func (d *modelTest) submit() {
	req := Request{Job: fmt.Sprintf("j%d", len(d.jobs)), Customer: rapid.SampledFrom(d.n.customers).Draw(d.T, "customer").Name}
	if deadline := d.int("deadline", -20, 40); deadline > 0 {
		req.Deadline = d.now.Add(time.Duration(deadline) * 50 * ms)
	}
	for i := range d.int("tasks", 1, 6) {
		req.Tasks = append(req.Tasks, Shape{
			Index: i, Service: rapid.SampledFrom([]string{"check", "swap"}).Draw(d.T, "service"),
			Expected:    time.Duration(d.int("expected", 0, 5)) * 100 * ms,
			MemoryBytes: int64(rapid.SampledFrom([]int{0, 0, 40}).Draw(d.T, "memory")),
		})
	}
	if d.p.Submit(req, d.now) == nil {
		d.jobs = append(d.jobs, req.Job)
		d.n.submit(req, d.now)
	}
}

func (d *modelTest) step() {
	switch rapid.SampledFrom([]string{"want", "want", "done", "done", "done", "time", "time", "cancel", "leave"}).Draw(d.T, "op") {
	case "want":
		d.submit()
	case "done":
		if len(d.n.running) > 0 {
			id := rapid.SampledFrom(d.n.running).Draw(d.T, "grant").id
			ran := time.Duration(d.int("ran", 1, 20)) * 25 * ms
			d.p.Complete(Completion{Grant: id, RunTime: ran}, d.now)
			d.n.complete(id, ran, d.now)
		}
	case "time":
		d.now = d.now.Add(time.Duration(d.int("step", 1, 30)) * 10 * ms)
		d.n.tick(d.now)
		d.p.Tick(d.now)
	case "cancel":
		if len(d.jobs) > 0 {
			job := rapid.SampledFrom(d.jobs).Draw(d.T, "job")
			d.p.Cancel(job, d.now)
			d.n.cancel(job, d.now)
		}
	case "leave":
		b := d.n.servers[d.int("server", 0, len(d.n.servers)-1)]
		d.n.unannounced[b.Name] = !d.n.unannounced[b.Name]
		if d.n.unannounced[b.Name] {
			d.p.Leave(b.Name, d.now)
		} else {
			d.p.Announce(b, d.now)
		}
		d.n.dispatch(d.now)
	}
}

// The placer issues the same grants as the naive model, in the same order.
func TestPlacerAgainstNaive(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		d := newModelTest(rt)
		for range d.int("ops", 1, 120) {
			seen := len(d.n.started)
			d.step()
			var want, got []string
			for _, t := range d.n.started[seen:] {
				want = append(want, fmt.Sprintf("%d %s/%d@%s", t.id, t.Job, t.Index, t.server))
			}
			for _, g := range d.p.Drain().Grants {
				got = append(got, fmt.Sprintf("%d %s/%d@%s", g.ID, g.Job, g.Task, g.BackendServer))
			}
			if !slices.Equal(got, want) {
				rt.Fatalf("granted %v, want %v", got, want)
			}
		}
	})
}
