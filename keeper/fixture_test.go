package keeper

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

const (
	step      = 10 * time.Millisecond
	target    = 4 * time.Second // from an accepted edit to its being in force everywhere
	plansText = "Plans:\n  - Name: gold\n    Services: [dispatch]\n    Weight: 1\n    MaxRunning: 9\n    MaxQueued: 9\n    StartsPerSecond: 9\n    MaxJobTasks: 9\n"
)

var (
	members  = []string{"k1", "k2", "k3"}
	allHosts = []string{"k1", "k2", "k3", "d1", "d2"}
)

// folder is what a data folder holds; a crash doesn't touch it.
type dataFolder struct {
	saved  quorum.Saved
	active lists.Update
}

func (f *dataFolder) persist(p *quorum.Persist) error {
	if p.Vote != nil {
		f.saved.Vote = *p.Vote
	}
	if p.Snapshot != nil {
		f.saved.Snapshot = *p.Snapshot
	}
	f.saved.Entries = slices.DeleteFunc(slices.Clone(f.saved.Entries), func(e quorum.Entry) bool {
		return e.Op > p.Keep || e.Op <= f.saved.Snapshot.Op
	})
	f.saved.Entries = append(f.saved.Entries, p.Entries...)
	return nil
}

type message struct {
	from, to string
	msg      any
}

// world is five hosts, three of which keep the lists, with a loop for their
// messages. It fails the test when a host goes back to an older version.
type fixture struct {
	t           *testing.T
	now         time.Time
	rng         *rand.Rand
	hosts       map[string]*Keeper
	folders     map[string]*dataFolder
	newest      map[string]uint64 // newest version that a process of the host had in force
	firstUpdate lists.Update
	queue       []message
	partitioned map[string]bool // hosts that are cut off
	drop        func(l message) bool
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	w := &fixture{
		t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)), hosts: map[string]*Keeper{},
		folders: map[string]*dataFolder{}, newest: map[string]uint64{}, partitioned: map[string]bool{},
		drop: func(message) bool { return false },
	}
	for _, name := range members {
		w.folders[name] = &dataFolder{}
	}
	for _, name := range allHosts {
		w.start(name)
	}
	w.run(target)
	return w
}

// start runs a new process of a host over its data folder, if it has one.
func (w *fixture) start(name string) {
	n := &Keeper{
		Config: Config{
			Self: model.Host{Name: name}, Members: members,
			Heartbeat: 100 * time.Millisecond, Lease: time.Second, Election: 1500 * time.Millisecond, RequestTimeout: 8 * time.Second,
		},
		Codec: Codec{
			Commands: codec.ListsCommands, FromCommands: codec.FromListsCommands,
			Snapshot: codec.ListsSnapshot, FromSnapshot: codec.FromListsSnapshot,
		},
		Hooks: Hooks{
			Activated: func(f lists.Active, _ time.Duration) { w.activated(name, f.Update.Version) },
			Ready:     func(uint64) {}, Replicated: func(uint64, time.Duration) {}, HelloReceived: func(string, string) {}, Restarted: func(string) {},
			Failed: func(err error) { w.t.Error(err) },
		},
		Now: func() time.Time { return w.now }, Random: w.rng.Uint64,
		Send: func(to, _ string, body any) error {
			w.queue = append(w.queue, message{from: name, to: to, msg: body})
			return nil
		},
	}
	for _, h := range allHosts {
		n.Hosts = append(n.Hosts, model.Host{Name: h})
	}
	if f := w.folders[name]; f != nil {
		saved := f.saved
		n.Disk = &Disk{
			Saved: &saved, Active: f.active, Persist: f.persist,
			SaveActive: func(u lists.Update) error { f.active = u; return nil },
		}
	} else {
		w.newest[name] = 0
	}
	w.hosts[name] = n
	n.Start()
}

func (w *fixture) activated(name string, version uint64) {
	if version < w.newest[name] {
		w.t.Errorf("%s went from version %d back to %d", name, w.newest[name], version)
	}
	w.newest[name] = version
}

func (w *fixture) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, name := range allHosts {
			if n := w.hosts[name]; n != nil {
				n.Tick()
			}
		}
		for len(w.queue) > 0 {
			l := w.queue[0]
			w.queue = w.queue[1:]
			n := w.hosts[l.to]
			if n != nil && w.partitioned[l.from] == w.partitioned[l.to] && !w.drop(l) {
				n.Handle(l.msg)
			}
		}
	}
}

// put edits the plans through a host; the answer comes with time.
func (w *fixture) put(host, id string, base uint64) *msgs.ListsDone {
	done := &msgs.ListsDone{}
	w.hosts[host].Handle(Request{
		Ask: msgs.ListsAsk{
			Kind: msgs.ListsPut, List: lists.Plans, BaseVersion: base, EditID: id, Operator: "ola",
			Text: fmt.Sprintf("%s# %s\n", plansText, id),
		},
		Reply: func(d msgs.ListsDone) {
			if *done = d; d.Refusal == nil && d.Version == 0 {
				w.t.Error("an edit was accepted without a version")
			}
		},
	})
	return done
}

// wantForce checks the version in force on all hosts that run.
func (w *fixture) wantActive(version uint64) {
	w.t.Helper()
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		if v := w.hosts[name].active.Update.Version; v != version {
			w.t.Errorf("%s has version %d in force, want %d", name, v, version)
		}
	}
}
