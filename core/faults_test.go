package core

import (
	"os"
	"syscall"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/disk"
)

// files are the system's files without syncs: simulated hosts lose only what
// they had not written. A write that finds no room leaves a part of its bytes.
func (h *simHost) files() disk.Files {
	return disk.Files{
		Create: os.Create,
		Write: func(f *os.File, b []byte) (int, error) {
			if h.fullRate == 0 || h.sim.rng.Float64() >= h.fullRate {
				return f.Write(b)
			}
			h.failedWrites++
			n, _ := f.Write(b[:h.sim.rng.IntN(len(b)+1)])
			return n, syscall.ENOSPC
		},
		Sync: func(*os.File) error {
			if h.syncFails {
				return syscall.EIO
			}
			return nil
		},
		Truncate: (*os.File).Truncate,
		Rename:   os.Rename,
		Remove:   os.Remove,
	}
}

func (sim *simulation) partition(host string, on bool) {
	for _, other := range sim.names() {
		if other != host {
			sim.blockedLinks[[2]string{host, other}] = on
			sim.blockedLinks[[2]string{other, host}] = on
		}
	}
}

func (sim *simulation) randomHost() string { return names[sim.rng.IntN(len(names))] }

// faults are what a random history is made of. Each returns how to undo it.
var faults = map[string]func(sim *simulation) (undo func()){
	"one is killed": func(sim *simulation) func() {
		h := sim.hosts[sim.randomHost()]
		h.crash()
		return func() { h.boot(false) }
	},
	"all are killed": func(sim *simulation) func() {
		for _, name := range names {
			sim.hosts[name].crash()
		}
		return func() {
			for _, name := range names {
				sim.hosts[name].boot(false)
			}
		}
	},
	"one loses its disk": func(sim *simulation) func() {
		h := sim.hosts[sim.randomHost()]
		h.crash()
		h.wipe()
		return func() { h.boot(false) }
	},
	"one loses its disk, the others are killed": func(sim *simulation) func() {
		for _, name := range names {
			sim.hosts[name].crash()
		}
		sim.hosts[sim.randomHost()].wipe()
		return func() {
			for _, name := range names {
				sim.hosts[name].boot(false)
			}
		}
	},
	"one is cut off": func(sim *simulation) func() {
		name := sim.randomHost()
		sim.partition(name, true)
		return func() { sim.partition(name, false) }
	},
	"one is cut off one way": func(sim *simulation) func() {
		from, to := sim.randomHost(), sim.randomHost()
		sim.blockedLinks[[2]string{from, to}] = true
		return func() { sim.blockedLinks[[2]string{from, to}] = false }
	},
	"one is frozen": func(sim *simulation) func() {
		h := sim.hosts[sim.randomHost()]
		h.pausedUntil = sim.now.Add(time.Duration(sim.rng.IntN(4000)) * time.Millisecond)
		return func() {}
	},
	"one has no room": func(sim *simulation) func() {
		h := sim.hosts[sim.randomHost()]
		h.fullRate = 1
		return func() { h.fullRate = 0 }
	},
	"all have no room": func(sim *simulation) func() {
		for _, name := range names {
			sim.hosts[name].fullRate = 1
		}
		return func() {
			for _, name := range names {
				sim.hosts[name].fullRate = 0
			}
		}
	},
	"all have room now and then": func(sim *simulation) func() {
		for _, name := range names {
			sim.hosts[name].fullRate = 0.3
		}
		return func() {
			for _, name := range names {
				sim.hosts[name].fullRate = 0
			}
		}
	},
	"one has no room and is killed": func(sim *simulation) func() {
		h := sim.hosts[sim.randomHost()]
		h.fullRate = 1
		sim.run(time.Second)
		h.crash()
		return func() {
			h.fullRate = 0
			h.boot(false)
		}
	},
	"all but the leader have no room and it loses its disk": func(sim *simulation) func() {
		leader := sim.leader()
		for _, name := range names {
			if name != leader.name {
				sim.hosts[name].fullRate = 1
			}
		}
		sim.putAll()
		for _, name := range names {
			sim.hosts[name].crash()
		}
		leader.wipe()
		return func() {
			for _, name := range names {
				sim.hosts[name].fullRate = 0
				sim.hosts[name].boot(false)
			}
		}
	},
	"one has no room, another is killed": func(sim *simulation) func() {
		h, other := sim.hosts["c1"], sim.hosts["c2"]
		h.fullRate = 1
		sim.run(500 * time.Millisecond)
		other.crash()
		return func() {
			h.fullRate = 0
			other.boot(false)
		}
	},
	"a stale one and one without a disk meet": func(sim *simulation) func() {
		stale, lost, dark := sim.hosts["c1"], sim.hosts["c2"], sim.hosts["c3"]
		sim.partition(stale.name, true)
		sim.putAll()
		lost.crash()
		lost.wipe()
		dark.crash()
		sim.partition(stale.name, false)
		lost.boot(false)
		return func() { dark.boot(false) }
	},
}

var lastVersion uint64

// putAll puts changes to all hosts over a second.
func (sim *simulation) putAll() {
	for range 10 {
		lastVersion += 1 + sim.rng.Uint64N(3)
		for _, name := range sim.names() {
			sim.put(name, lastVersion)
		}
		sim.run(100 * time.Millisecond)
	}
}

func TestNothingAcknowledgedIsLost(t *testing.T) {
	seeds := uint64(12)
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				sim := newSimulation(t, seed)
				if !sim.available(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				for range 3 {
					sim.putAll()
					undo := fault(sim)
					for range 4 {
						sim.putAll()
						sim.read(sim.randomHost())
					}
					undo()
					sim.run(200 * time.Millisecond)
					if !sim.available(8 * time.Second) {
						t.Fatalf("seed %d: the core doesn't answer after the fault", seed)
					}
				}
				if sim.acked == 0 {
					t.Fatalf("seed %d: nothing was acknowledged", seed)
				}
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func TestMembersAreReplaced(t *testing.T) {
	tests := map[string]struct {
		down time.Duration // before the new host comes
		back bool          // the lost host comes back later, with its disk
	}{
		"at once":                     {down: 500 * time.Millisecond},
		"later":                       {down: 3 * time.Second},
		"and the lost one comes back": {down: time.Second, back: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(6) {
				sim := newSimulation(t, seed)
				if !sim.available(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				sim.putAll()
				lost := sim.hosts[sim.randomHost()]
				lost.crash()
				sim.run(tt.down)
				sim.addHost("c4", false)
				sim.run(4 * time.Second) // the time that a new host has to catch up
				other := sim.hosts[names[(sim.rng.IntN(2)+1+indexOf(lost.name))%len(names)]]
				other.crash() // the tolerated loss, now that the new host counts
				if tt.back {
					lost.boot(false)
				}
				if !sim.available(8 * time.Second) {
					t.Fatalf("seed %d: the core doesn't answer with c4 in the place of %s and without %s", seed, lost.name, other.name)
				}
				sim.putAll()
				if t.Failed() {
					t.Fatalf("seed %d", seed)
				}
			}
		})
	}
}

func indexOf(name string) int {
	for i, n := range names {
		if n == name {
			return i
		}
	}
	return -1
}
