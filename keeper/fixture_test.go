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
	target    = 4 * time.Second // from the acceptance of an edit to its activation on all hosts
	plansText = "Plans:\n  - Name: gold\n    Services: [dispatch]\n    Weight: 1\n    MaxRunning: 9\n    MaxQueued: 9\n    StartsPerSecond: 9\n    MaxJobTasks: 9\n"
)

var (
	members  = []string{"k1", "k2", "k3"}
	allHosts = []string{"k1", "k2", "k3", "d1", "d2"}
)

// dataFolder is the content of a data folder. It survives a crash.
type dataFolder struct {
	saved  quorum.Saved
	active lists.Update
}

func (d *dataFolder) persist(p *quorum.Persist) error {
	if p.Vote != nil {
		d.saved.Vote = *p.Vote
	}
	if p.Snapshot != nil {
		d.saved.Snapshot = *p.Snapshot
	}
	d.saved.Entries = slices.DeleteFunc(slices.Clone(d.saved.Entries), func(e quorum.Entry) bool {
		return e.Op > p.Keep || e.Op <= d.saved.Snapshot.Op
	})
	d.saved.Entries = append(d.saved.Entries, p.Entries...)
	return nil
}

type message struct {
	from, to string
	msg      any
}

// fixture simulates five hosts, three of them members of the lists group, and the
// network between them. It fails the test when a host returns to an older version.
type fixture struct {
	t           *testing.T
	now         time.Time
	rng         *rand.Rand
	hosts       map[string]*Keeper
	folders     map[string]*dataFolder
	newest      map[string]uint64 // newest version that the host activated; 0 after a restart without a data folder
	firstUpdate lists.Update
	queue       []message
	partitioned map[string]bool // hosts on the other side of a partition
	drop        func(m message) bool
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)), hosts: map[string]*Keeper{},
		folders: map[string]*dataFolder{}, newest: map[string]uint64{}, partitioned: map[string]bool{},
		drop: func(message) bool { return false },
	}
	for _, name := range members {
		f.folders[name] = &dataFolder{}
	}
	for _, name := range allHosts {
		f.start(name)
	}
	f.run(target)
	return f
}

// start starts a new process of a host, with its data folder if it has one.
func (f *fixture) start(name string) {
	k := &Keeper{
		Config: Config{
			Self: model.Host{Name: name}, Members: members,
			Heartbeat: 100 * time.Millisecond, Lease: time.Second, Election: 1500 * time.Millisecond, RequestTimeout: 8 * time.Second,
		},
		Codec: Codec{
			Commands: codec.ListsCommands, FromCommands: codec.FromListsCommands,
			Snapshot: codec.ListsSnapshot, FromSnapshot: codec.FromListsSnapshot,
		},
		Hooks: Hooks{
			Activated: func(a lists.Active, _ time.Duration) { f.activated(name, a.Update.Version) },
			Ready:     func(uint64) {}, Replicated: func(uint64, time.Duration) {}, HelloReceived: func(string, string) {}, Restarted: func(string) {},
			Failed: func(err error) { f.t.Error(err) },
		},
		Now: func() time.Time { return f.now }, Random: f.rng.Uint64,
		Send: func(to, _ string, body any) error {
			f.queue = append(f.queue, message{from: name, to: to, msg: body})
			return nil
		},
	}
	for _, h := range allHosts {
		k.Hosts = append(k.Hosts, model.Host{Name: h})
	}
	if d := f.folders[name]; d != nil {
		saved := d.saved
		k.Disk = &Disk{
			Saved: &saved, Active: d.active, Persist: d.persist,
			SaveActive: func(u lists.Update) error { d.active = u; return nil },
		}
	} else {
		f.newest[name] = 0
	}
	f.hosts[name] = k
	k.Start()
}

func (f *fixture) activated(name string, version uint64) {
	if version < f.newest[name] {
		f.t.Errorf("%s returned from version %d to version %d", name, f.newest[name], version)
	}
	f.newest[name] = version
}

func (f *fixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, name := range allHosts {
			if k := f.hosts[name]; k != nil {
				k.Tick()
			}
		}
		for len(f.queue) > 0 {
			m := f.queue[0]
			f.queue = f.queue[1:]
			k := f.hosts[m.to]
			if k != nil && f.partitioned[m.from] == f.partitioned[m.to] && !f.drop(m) {
				k.Handle(m.msg)
			}
		}
	}
}

// put submits an edit of the plans through a host. The answer is filled in later.
func (f *fixture) put(host, id string, base uint64) *msgs.ListsDone {
	done := &msgs.ListsDone{}
	f.hosts[host].Handle(Request{
		Ask: msgs.ListsAsk{
			Kind: msgs.ListsPut, List: lists.Plans, BaseVersion: base, EditID: id, Operator: "ola",
			Text: fmt.Sprintf("%s# %s\n", plansText, id),
		},
		Reply: func(d msgs.ListsDone) {
			if *done = d; d.Refusal == nil && d.Version == 0 {
				f.t.Error("an edit was accepted without a version")
			}
		},
	})
	return done
}

// wantActive checks the active version on all running hosts.
func (f *fixture) wantActive(version uint64) {
	f.t.Helper()
	for _, name := range slices.Sorted(maps.Keys(f.hosts)) {
		if v := f.hosts[name].active.Update.Version; v != version {
			f.t.Errorf("%s has active version %d, want %d", name, v, version)
		}
	}
}
