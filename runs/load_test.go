package runs

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// jobKind is one kind of job of the simulated load.
type jobKind struct {
	name     string
	every    time.Duration // between jobs
	tasks    int
	work     time.Duration // of each task on a server of speed 1
	priority int
}

var jobKinds = []jobKind{
	{name: "check", every: 80 * time.Millisecond, tasks: 8, work: 60 * time.Millisecond, priority: 0},
	{name: "confirm", every: 440 * time.Millisecond, tasks: 4, work: 900 * time.Millisecond, priority: 2},
	{name: "alert", every: 27 * time.Millisecond, tasks: 2, work: 200 * time.Millisecond, priority: 1},
}

// lognormal returns a factor around 1 by which jobs and their declared run times vary.
func lognormal(rng *rand.Rand) float64 { return math.Exp(0.38*rng.NormFloat64() - 0.07) }

// tally counts the outcomes of the jobs of one kind.
type tally struct {
	all, onTime, late, refused int
	refusedAfter               time.Duration // longest
}

// simulateLoad simulates the kinds at a multiple of their rates on 16 servers, a third of
// them fast, for ten seconds.
func simulateLoad(t *testing.T, seed uint64, factor float64, fifo bool, got map[string]*tally) {
	w := newWorld(t, seed, faults{})
	for i := range 16 {
		kind, speed := "slow", 0.7
		if i%3 == 0 {
			kind, speed = "fast", 1.7
		}
		s := w.addServer(fmt.Sprintf("s%02d", i), kind, speed)
		if kind == "fast" {
			s.report.CPU = 24000
		}
	}
	sp := w.newPlacer(1)
	h := w.newHost("h", sp)
	arrived := map[string]time.Time{}
	objectives := map[string]time.Duration{}
	w.onEnd = func(e End) {
		c, took := got[e.Job[:3]], w.now.Sub(arrived[e.Job])
		switch {
		case e.State == model.JobEndRefused:
			c.refused++
			c.refusedAfter = max(c.refusedAfter, took)
		case took <= objectives[e.Job]:
			c.onTime++
		default:
			c.late++
		}
	}
	for _, k := range jobKinds {
		c, ok := got[k.name[:3]]
		if !ok {
			c = &tally{}
			got[k.name[:3]] = c
		}
		jobs := 0
		var submit func()
		submit = func() {
			c.all++
			jobs++
			id := fmt.Sprintf("%s%d", k.name[:3], jobs)
			work := time.Duration(float64(k.work) * lognormal(w.rng))
			declared := time.Duration(float64(work) * lognormal(w.rng))
			objective := time.Duration(1.6*float64(work)) + 60*time.Millisecond
			arrived[id], objectives[id] = w.now, objective
			w.work[id] = work
			j := Job{
				ID: id, Host: "h", Service: "svc", Tasks: max(1, int(float64(k.tasks)*lognormal(w.rng)+0.5)), Attempts: 2, Arrived: w.now, Priority: k.priority,
				Demand:    model.Demand{CPU: 6800, MemoryMB: 64, Expected: declared},
				Objective: time.Duration(1.6*float64(declared)) + 60*time.Millisecond, Expires: 4 * time.Second,
			}
			if fifo { // the oldest job first, none refused early
				j.Priority = 0
				j.Objective = j.Demand.Expected + time.Minute
			}
			h.lastHand++
			j.Hand = h.lastHand
			h.open[id], h.handedTo[id] = j, sp
			sp.do(func() { sp.p.Submit(j, w.now) })
			if w.now.Before(time.Unix(1010, 0)) {
				w.after(time.Duration(float64(k.every)/factor*(0.5+w.rng.Float64())), submit)
			}
		}
		submit()
	}
	w.run(14 * time.Second)
}

// meanScore scores the answers: each kind has the same weight, and a late answer counts a
// fifth of one in time.
func meanScore(got map[string]*tally) float64 {
	sum := 0.0
	for _, k := range jobKinds {
		c := got[k.name[:3]]
		sum += (float64(c.onTime) + 0.2*float64(c.late)) / float64(c.all)
	}
	return sum / float64(len(jobKinds))
}

func TestLoad(t *testing.T) {
	tests := map[string]struct {
		factor float64 // of the load at which servers are about 80 % busy
		least  float64 // share of the jobs of each kind that have to be on time
	}{
		"quiet":    {factor: 0.8, least: 0.95},
		"busy":     {factor: 1.2, least: 0.9},
		"full":     {factor: 1.5, least: 0.7},
		"overload": {factor: 2, least: 0.3},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, fifo := map[string]*tally{}, map[string]*tally{}
			for seed := range uint64(4) {
				simulateLoad(t, seed, tt.factor, false, got)
				simulateLoad(t, seed, tt.factor, true, fifo)
			}
			for kind, c := range got {
				p := fifo[kind]
				t.Logf("%s: %d of %d on time, %d late, %d refused after at most %v; first come first served: %d of %d, %d late",
					kind, c.onTime, c.all, c.late, c.refused, c.refusedAfter, p.onTime, p.all, p.late)
				if share := float64(c.onTime) / float64(c.all); share < tt.least {
					t.Errorf("%s: %.2f on time, want %.2f", kind, share, tt.least)
				}
			}
			if a, b := meanScore(got), meanScore(fifo); a < b-0.01 {
				t.Errorf("score %.3f, and %.3f in order of arrival", a, b)
			}
		})
	}
}
