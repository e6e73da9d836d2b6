package quota

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	aloneStep  = 100 * time.Millisecond
	aloneSteps = 20_000
	aloneDrift = 0.05 // of a clock's rate, either way: the rates of two clocks differ by up to a tenth
)

// aloneTimes are the real bounds in an aloneSim, by a clock without drift.
var aloneTimes = AloneTimes{Promise: 6 * time.Second, GrantDelay: 2 * time.Second, MaxRun: 10 * time.Second}

// sumReserves returns the sum of the reserves of the hosts for which include returns true.
func sumReserves(share, hosts int, include func(index int) bool) int {
	sum := 0
	for i := range hosts {
		if include(i) {
			sum += Reserve(Limits{MaxRunning: share}, hosts, i).MaxRunning
		}
	}
	return sum
}

// TestReserve checks that the reserves stay within half of the share, and that they grow by at most
// one in all when the share grows by one.
func TestReserve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.IntRange(0, 300).Draw(t, "share")
		hosts := rapid.IntRange(2, 9).Draw(t, "hosts")
		chosen := rapid.Uint16().Draw(t, "chosen")
		include := func(index int) bool { return chosen>>index&1 == 1 }
		all := sumReserves(share, hosts, func(int) bool { return true })
		if all > share/2 || share >= 2*hosts && sumReserves(share, hosts, func(i int) bool { return i == hosts-1 }) == 0 {
			t.Fatalf("%d hosts with a share of %d have reserves of %d in all, want at most half and some for each host", hosts, share, all)
		}
		if step := sumReserves(share+1, hosts, include) - sumReserves(share, hosts, include); step < 0 || step > 1 {
			t.Fatalf("at a share of %d, the reserves grow by %d, want 0 or 1", share+1, step)
		}
	})
}

// aloneHost is a host in an aloneSim; the first one is the primary.
type aloneHost struct {
	rate             float64
	offset           time.Duration
	alone            Alone
	lease            time.Duration // end of the lease, in true time
	partitionedUntil time.Duration
	taskEnds         []time.Duration // of tasks on the reserve
	orphanEnds       []time.Duration // of tasks that an earlier process started
}

// aloneSim simulates the hosts of a data centre, each of which uses as much as it is allowed to.
type aloneSim struct {
	rng      *rand.Rand
	now      time.Duration // true time
	share    int
	hosts    []*aloneHost
	promises *Promises
	times    AloneTimes      // that the hosts are configured with
	taskEnds []time.Duration // of tasks that the primary started
	queue    []message
	served   int // tasks started by hosts that served alone
}

func newAloneSim(seed uint64, times AloneTimes) *aloneSim {
	sim := &aloneSim{rng: rand.New(rand.NewPCG(testSeed, seed)), times: times, promises: NewPromises(aloneTimes)}
	sim.share = 2 + sim.rng.IntN(60)
	for range 2 + sim.rng.IntN(4) {
		h := &aloneHost{rate: 1 + aloneDrift*float64(1-2*sim.rng.IntN(2)), offset: time.Duration(sim.rng.Int64N(1e9))}
		h.alone = NewAlone(times, sim.clock(h))
		sim.hosts = append(sim.hosts, h)
	}
	return sim
}

func (sim *aloneSim) clock(h *aloneHost) time.Time {
	return time.Unix(1000, 0).Add(h.offset + time.Duration(float64(sim.now)*h.rate))
}

// send delivers a message with a delay. It loses some messages, and all to or from a partitioned
// host.
func (sim *aloneSim) send(h *aloneHost, handle func()) {
	if sim.now >= h.partitionedUntil && sim.rng.IntN(10) > 0 {
		sim.queue = append(sim.queue, message{at: int64(sim.now) + sim.rng.Int64N(int64(aloneTimes.GrantDelay)), handle: handle})
	}
}

// run reports whether the running tasks stayed within the share at every step.
func (sim *aloneSim) run() bool {
	for ; sim.now < aloneSteps*aloneStep; sim.now += aloneStep {
		sim.deliver()
		running := 0
		for i, h := range sim.hosts {
			sim.injectFaults(h)
			sim.sendLease(i, h)
			sim.runHost(i, h)
			running += len(h.taskEnds) + len(h.orphanEnds)
		}
		sim.runPrimary()
		if running+len(sim.taskEnds) > sim.share {
			return false
		}
	}
	return true
}

func (sim *aloneSim) deliver() {
	pending := sim.queue
	sim.queue = nil
	for _, m := range pending {
		if m.at > int64(sim.now) {
			sim.queue = append(sim.queue, m)
			continue
		}
		m.handle()
	}
}

// injectFaults partitions a host, restarts it without its state, or replaces the primary.
func (sim *aloneSim) injectFaults(h *aloneHost) {
	switch sim.rng.IntN(3000) {
	case 0, 1, 2, 3, 4:
		h.partitionedUntil = sim.now + time.Duration(sim.rng.Int64N(int64(6*aloneTimes.MaxRun)))
	case 5:
		h.alone = NewAlone(sim.times, sim.clock(h))
		h.orphanEnds = append(h.orphanEnds, h.taskEnds...)
		h.taskEnds = nil
	case 6:
		sim.promises = NewPromises(aloneTimes) // of a new primary
	}
}

// sendLease makes the primary send a lease, which the host may answer with a promise.
func (sim *aloneSim) sendLease(i int, h *aloneHost) {
	if sim.rng.IntN(10) > 0 {
		return
	}
	sentAt := sim.clock(sim.hosts[0])
	p := sim.promises
	unused := p.Unused(hostName(i), sentAt)
	sim.send(h, func() {
		h.lease = sim.now + aloneTimes.GrantDelay
		if h.alone.OnLease(len(h.taskEnds), unused, sim.clock(h)) {
			sim.send(h, func() { p.Record(hostName(i), sentAt) })
		}
	})
}

func hostName(index int) string { return string(rune('a' + index)) }

// runHost makes a host without a lease use its whole reserve, once it may serve alone.
func (sim *aloneSim) runHost(i int, h *aloneHost) {
	h.taskEnds, h.orphanEnds = sim.running(h.taskEnds), sim.running(h.orphanEnds)
	if sim.now >= h.lease {
		h.alone.TryStart(sim.clock(h))
	}
	reserve := Reserve(Limits{MaxRunning: sim.share}, len(sim.hosts), i)
	for h.alone.Serving() && len(h.taskEnds) < reserve.MaxRunning {
		h.taskEnds = append(h.taskEnds, sim.taskEnd())
		sim.served++
	}
}

// runPrimary makes the primary use all that it is allowed to, in bursts. Tasks start late, by the
// delivery delay of their grants.
func (sim *aloneSim) runPrimary() {
	sim.taskEnds = sim.running(sim.taskEnds)
	if sim.rng.IntN(20) > 0 {
		return
	}
	withoutPromise := func(i int) bool { return !sim.promises.Valid(hostName(i), sim.clock(sim.hosts[0])) }
	for allowed := sim.share - sumReserves(sim.share, len(sim.hosts), withoutPromise); len(sim.taskEnds) < allowed; {
		sim.taskEnds = append(sim.taskEnds, sim.taskEnd()+time.Duration(sim.rng.Int64N(int64(aloneTimes.GrantDelay))))
	}
}

func (sim *aloneSim) running(ends []time.Duration) []time.Duration {
	return slices.DeleteFunc(ends, func(end time.Duration) bool { return end <= sim.now })
}

func (sim *aloneSim) taskEnd() time.Duration {
	return sim.now + aloneTimes.MaxRun - time.Duration(sim.rng.Int64N(int64(aloneTimes.MaxRun/10)))
}

// TestServeAlone simulates data centres with partitions, lost and delayed messages, restarts,
// changes of primary and clock drift. It guards against the primary and the hosts that serve alone
// exceeding the share together, which happens if the delays don't cover the promise and the running
// tasks: the cases that leave one of them out must exceed it.
func TestServeAlone(t *testing.T) {
	const runs = 60
	tests := map[string]struct {
		change func(*AloneTimes)
		safe   bool
	}{
		"with all times":           {change: func(*AloneTimes) {}, safe: true},
		"with the promise ignored": {change: func(a *AloneTimes) { *a = AloneTimes{MaxRun: a.MaxRun}; a.Promise = -a.MaxRun }},
		"without the promise":      {change: func(a *AloneTimes) { a.Promise = 0 }},
		"without running tasks":    {change: func(a *AloneTimes) { a.MaxRun = 0 }},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			times := aloneTimes
			tc.change(&times)
			var seed uint64
			served := 0
			for seed < runs {
				sim := newAloneSim(seed, times)
				if !sim.run() {
					break
				}
				served += sim.served
				seed++
			}
			if (seed == runs) != tc.safe || tc.safe && served == 0 {
				t.Errorf("%d of %d runs stayed within the share, %d tasks started by hosts that served alone; want safe %t", seed, runs, served, tc.safe)
			}
		})
	}
}
