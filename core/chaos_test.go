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
func (h *simHost) files() disk.FileOps {
	return disk.FileOps{
		Create: os.Create,
		Write: func(f *os.File, b []byte) (int, error) {
			if h.full == 0 || h.w.rng.Float64() >= h.full {
				return f.Write(b)
			}
			h.tries++
			n, _ := f.Write(b[:h.w.rng.IntN(len(b)+1)])
			return n, syscall.ENOSPC
		},
		Sync: func(*os.File) error {
			if h.broken {
				return syscall.EIO
			}
			return nil
		},
		Truncate: (*os.File).Truncate,
		Rename:   os.Rename,
		Remove:   os.Remove,
	}
}

func (w *world) cut(host string, on bool) {
	for _, other := range w.names() {
		if other != host {
			w.cuts[[2]string{host, other}] = on
			w.cuts[[2]string{other, host}] = on
		}
	}
}

func (w *world) pick() string { return names[w.rng.IntN(len(names))] }

// faults are what a random history is made of. Each returns how to undo it.
var faults = map[string]func(w *world) (undo func()){
	"one is killed": func(w *world) func() {
		h := w.hosts[w.pick()]
		h.crash()
		return func() { h.boot(false) }
	},
	"all are killed": func(w *world) func() {
		for _, name := range names {
			w.hosts[name].crash()
		}
		return func() {
			for _, name := range names {
				w.hosts[name].boot(false)
			}
		}
	},
	"one loses its disk": func(w *world) func() {
		h := w.hosts[w.pick()]
		h.crash()
		h.wipe()
		return func() { h.boot(false) }
	},
	"one loses its disk, the others are killed": func(w *world) func() {
		for _, name := range names {
			w.hosts[name].crash()
		}
		w.hosts[w.pick()].wipe()
		return func() {
			for _, name := range names {
				w.hosts[name].boot(false)
			}
		}
	},
	"one is cut off": func(w *world) func() {
		name := w.pick()
		w.cut(name, true)
		return func() { w.cut(name, false) }
	},
	"one is cut off one way": func(w *world) func() {
		from, to := w.pick(), w.pick()
		w.cuts[[2]string{from, to}] = true
		return func() { w.cuts[[2]string{from, to}] = false }
	},
	"one is frozen": func(w *world) func() {
		h := w.hosts[w.pick()]
		h.frozen = w.now.Add(time.Duration(w.rng.IntN(4000)) * time.Millisecond)
		return func() {}
	},
	"one has no room": func(w *world) func() {
		h := w.hosts[w.pick()]
		h.full = 1
		return func() { h.full = 0 }
	},
	"all have no room": func(w *world) func() {
		for _, name := range names {
			w.hosts[name].full = 1
		}
		return func() {
			for _, name := range names {
				w.hosts[name].full = 0
			}
		}
	},
	"all have room now and then": func(w *world) func() {
		for _, name := range names {
			w.hosts[name].full = 0.3
		}
		return func() {
			for _, name := range names {
				w.hosts[name].full = 0
			}
		}
	},
	"one has no room and is killed": func(w *world) func() {
		h := w.hosts[w.pick()]
		h.full = 1
		w.run(time.Second)
		h.crash()
		return func() {
			h.full = 0
			h.boot(false)
		}
	},
	"all but the leader have no room and it loses its disk": func(w *world) func() {
		leader := w.leader()
		for _, name := range names {
			if name != leader.name {
				w.hosts[name].full = 1
			}
		}
		w.putAll()
		for _, name := range names {
			w.hosts[name].crash()
		}
		leader.wipe()
		return func() {
			for _, name := range names {
				w.hosts[name].full = 0
				w.hosts[name].boot(false)
			}
		}
	},
	"one has no room, another is killed": func(w *world) func() {
		h, other := w.hosts["c1"], w.hosts["c2"]
		h.full = 1
		w.run(500 * time.Millisecond)
		other.crash()
		return func() {
			h.full = 0
			other.boot(false)
		}
	},
	"a stale one and one without a disk meet": func(w *world) func() {
		stale, lost, dark := w.hosts["c1"], w.hosts["c2"], w.hosts["c3"]
		w.cut(stale.name, true)
		w.putAll()
		lost.crash()
		lost.wipe()
		dark.crash()
		w.cut(stale.name, false)
		lost.boot(false)
		return func() { dark.boot(false) }
	},
}

var version uint64

// putAll puts changes to all hosts over a second.
func (w *world) putAll() {
	for range 10 {
		version += 1 + w.rng.Uint64N(3)
		for _, name := range w.names() {
			w.put(name, version)
		}
		w.run(100 * time.Millisecond)
	}
}

func TestNothingAcknowledgedIsLost(t *testing.T) {
	seeds := uint64(12)
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			for seed := range seeds {
				w := newWorld(t, seed)
				if !w.settled(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				for range 3 {
					w.putAll()
					undo := fault(w)
					for range 4 {
						w.putAll()
						w.read(w.pick())
					}
					undo()
					w.run(200 * time.Millisecond)
					if !w.settled(8 * time.Second) {
						t.Fatalf("seed %d: the core doesn't answer after the fault", seed)
					}
				}
				if w.acked == 0 {
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
				w := newWorld(t, seed)
				if !w.settled(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				w.putAll()
				lost := w.hosts[w.pick()]
				lost.crash()
				w.run(tt.down)
				w.addHost("c4", false)
				w.run(4 * time.Second) // the time that a new host has to catch up
				other := w.hosts[names[(w.rng.IntN(2)+1+indexOf(lost.name))%len(names)]]
				other.crash() // the tolerated loss, now that the new host counts
				if tt.back {
					lost.boot(false)
				}
				if !w.settled(8 * time.Second) {
					t.Fatalf("seed %d: the core doesn't answer with c4 in the place of %s and without %s", seed, lost.name, other.name)
				}
				w.putAll()
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
