package core

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/disk"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// world plays hosts of a core with their disks and a network in simulated time.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	hosts map[string]*simHost
	queue []delivery
	cuts  map[[2]string]bool
	acked uint64 // highest version that was acknowledged
}

type simHost struct {
	w      *world
	name   string
	node   *Node
	folder string
	up     bool
	frozen time.Time // until then it does nothing
	life   int
	full   float64       // share of the writes that find no room
	broken bool          // syncs fail
	failed int           // times that the node gave up
	rooms  []bool        // what the node told of its disk
	stood  quorum.Status // of the replica when the disk became full
	tries  int           // writes that found no room
}

type delivery struct {
	at   time.Time
	from string
	to   string
	body any
}

var names = []string{"c1", "c2", "c3"}

func newWorld(t *testing.T, seed uint64) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 2)), now: time.Unix(1000, 0),
		hosts: map[string]*simHost{}, cuts: map[[2]string]bool{},
	}
	for _, name := range names {
		w.addHost(name, true)
	}
	return w
}

func (w *world) addHost(name string, founding bool) *simHost {
	h := &simHost{w: w, name: name, folder: w.t.TempDir()}
	w.hosts[name] = h
	h.boot(founding)
	return h
}

func (h *simHost) boot(founding bool) {
	store, err := disk.Open(h.folder, disk.WithFileOps(h.files()))
	if err != nil {
		h.w.t.Fatal(err)
	}
	saved := store.Saved()
	h.up = true
	h.life++
	life := h.life
	h.node = &Node{
		Config: Config{Self: h.name, Seeds: slices.Clone(names), Founding: founding},
		Codec: Codec{
			Commands: codec.FleetCommands, FromCommands: codec.FromFleetCommands,
			Snapshot: codec.FleetSnapshot, FromSnapshot: codec.FromFleetSnapshot,
		},
		Disk: Disk{Saved: &saved, Persist: func(p *quorum.Persist) error { return store.Save(*p) }, Full: disk.IsFull},
		Hooks: Hooks{
			Failed: func(err error) {
				if h.failed++; !h.broken {
					h.w.t.Errorf("%s failed: %v", h.name, err)
				}
			},
			Full: func(after time.Duration, err error) {
				if h.rooms = append(h.rooms, err != nil); disk.IsFull(err) == (after > 0) {
					h.w.t.Errorf("%s tells error %v after %v", h.name, err, after)
				}
				h.stood = h.node.replica.Status(h.w.now)
			},
			Leading: func(bool, uint64) {},
			Joined:  func([]string) {},
			Routes:  func(uint64) {},
			Placed:  func(model.Placement) {},
			Copies:  func(int, uint64) {},
		},
		Now:    func() time.Time { return h.w.now },
		Random: h.w.rng.Uint64,
		Send: func(to, service string, body any) error {
			if _, ok := body.(quorum.Message); ok && h.node.log.Blocked() != nil {
				h.w.t.Errorf("%s sends %+v while its disk is full", h.name, body)
			}
			if h.life == life && service == msgs.ServiceCore {
				h.w.send(h.name, to, body)
			}
			return nil
		},
	}
	h.node.Start()
}

func (h *simHost) crash() { h.up = false }

func (h *simHost) wipe() { h.folder = h.w.t.TempDir() }

func (w *world) send(from, to string, body any) {
	if w.rng.Float64() < 0.01 {
		return
	}
	delay := time.Millisecond + time.Duration(w.rng.IntN(4))*time.Millisecond
	w.queue = append(w.queue, delivery{at: w.now.Add(delay), from: from, to: to, body: body})
}

// step lets some milliseconds pass.
func (w *world) step() {
	w.now = w.now.Add(5 * time.Millisecond)
	due := w.queue
	w.queue = nil
	for _, d := range due {
		h := w.hosts[d.to]
		switch {
		case w.cuts[[2]string{d.from, d.to}] || h == nil || !h.up:
		case d.at.After(w.now) || h.frozen.After(w.now):
			w.queue = append(w.queue, d)
		default:
			h.node.Handle(d.body)
		}
	}
	if w.now.UnixMilli()%75 != 0 {
		return
	}
	for _, name := range w.names() {
		if h := w.hosts[name]; h.up && !h.frozen.After(w.now) {
			h.node.Tick()
		}
	}
}

func (w *world) names() []string {
	var list []string
	for name := range w.hosts {
		list = append(list, name)
	}
	slices.Sort(list)
	return list
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// put sends a version to a host and notes when it is acknowledged.
func (w *world) put(host string, version uint64) {
	h := w.hosts[host]
	if !h.up || h.frozen.After(w.now) {
		return
	}
	text := model.RoutesText{Version: version, Source: fmt.Appendf(nil, "v%d", version)}
	h.node.Handle(Put{Routes: text, Reply: func(a Answer) {
		if a.Done {
			w.acked = max(w.acked, version)
		}
	}})
}

// read asks a host for the newest routes and checks the answer against what was
// acknowledged when the question was sent. It returns whether there was an answer.
func (w *world) read(host string) *bool {
	answered := new(bool)
	h := w.hosts[host]
	if !h.up || h.frozen.After(w.now) {
		return answered
	}
	least := w.acked
	h.node.Handle(Read{Reply: func(a Answer) {
		if !a.Done {
			return
		}
		*answered = true
		if a.Routes.Version < least {
			w.t.Errorf("%s tells version %d, though %d was acknowledged", host, a.Routes.Version, least)
		}
		if a.Routes.Version > 0 && string(a.Routes.Source) != fmt.Sprintf("v%d", a.Routes.Version) {
			w.t.Errorf("version %d holds %q", a.Routes.Version, a.Routes.Source)
		}
	}})
	return answered
}

// settled waits until a read is answered by some host.
func (w *world) settled(limit time.Duration) bool {
	for end := w.now.Add(limit); w.now.Before(end); {
		var answers []*bool
		for _, name := range w.names() {
			answers = append(answers, w.read(name))
		}
		w.run(100 * time.Millisecond)
		for _, a := range answers {
			if *a {
				return true
			}
		}
	}
	return false
}
