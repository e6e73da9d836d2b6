package group

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/quota"
)

const (
	step       = 10 * time.Millisecond
	renewEvery = 100 * time.Millisecond
	lease      = time.Second
	settle     = lease + lease/leaseMargin
)

var memberNames = []string{"h1", "h2", "h3"}

// letter is a message on its way.
type letter struct {
	from, to string
	body     any
}

// host is the other half of an entry host: what the jobs service does.
type host struct {
	incarnation uint64
	lease       msgs.Lease
	silent      bool // sends no renewals
	unwilling   bool // promises not to serve alone no more
	grants      []msgs.Grant
	grantedAt   []time.Time
	outstanding []msgs.Grant
	got         []any // verdicts, outcomes and answers
}

// world is a group of three Nodes with a loop for their messages. Time moves in
// steps; nothing takes longer than one.
type world struct {
	t        *testing.T
	now      time.Time
	rng      *rand.Rand
	nodes    map[string]*Node // those that run
	hosts    map[string]*host
	queue    []letter
	cut      map[[2]string]bool
	expelled []string
	left     []string
	fences   []uint64
	marked   bool // the data folders show that the data centre has run before
	keep     bool // hosts keep their grants rather than report success at once
}

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{
		t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)),
		nodes: map[string]*Node{}, hosts: map[string]*host{}, cut: map[[2]string]bool{},
	}
	for i, name := range memberNames {
		w.hosts[name] = &host{incarnation: uint64(i + 1)}
		w.start(name)
	}
	w.run(5 * time.Second)
	return w
}

// start runs a Node without any memory.
func (w *world) start(name string) {
	n := &Node{
		Config: Config{
			Self: model.Host{Name: name, DataCentre: "dc"}, Disks: []string{"h1"}, DataCentres: []string{"dc"},
			Heartbeat: renewEvery, Lease: lease, Election: 1500 * time.Millisecond, BackendLease: time.Hour,
			KeyWindow: 10 * time.Minute, SessionEpoch: time.Hour, TaskTimeout: time.Minute,
			Alone: quota.AloneTimes{Promise: 3 * lease, GrantDelay: lease, MaxRun: time.Minute},
		},
		Codec: Codec{Entries: codec.Entries, FromEntries: codec.FromEntries, Snapshot: codec.Snapshot, FromSnapshot: codec.FromSnapshot},
		Hooks: Hooks{
			Expelled: func(host string, _ int, fence uint64) {
				w.expelled, w.fences = append(w.expelled, host), append(w.fences, fence)
			},
			HostLeft:  func(host string) { w.left = append(w.left, host) },
			Announced: func(model.BackendServer) {}, Left: func(string) {}, Placed: func(place.Event) {},
			Refused: func(model.Code) {}, Begun: func() {},
			Failed: func(err error) { w.t.Error(err) },
		},
		Now:    func() time.Time { return w.now },
		Random: w.rng.Uint64,
	}
	for _, m := range memberNames {
		n.Members = append(n.Members, model.Host{Name: m, DataCentre: "dc"})
	}
	n.Hosts = n.Members
	n.Send = func(to, _ string, body any) error {
		w.queue = append(w.queue, letter{from: name, to: to, body: body})
		return nil
	}
	n.Spawn = func(work func() any) {
		w.queue = append(w.queue, letter{from: name, to: name, body: work()})
	}
	n.Start()
	n.Handle(Lists{Lists: model.Lists{
		Version:   1,
		Customers: []model.Customer{{Name: "halny", Plan: "gold"}},
		Plans: []model.Plan{{
			Name: "gold", Services: []string{"dispatch"}, Weight: 1, MaxRunning: 100, MaxQueued: 100, StartsPerSecond: 100, MaxJobTasks: 10,
		}},
	}})
	n.Handle(msgs.BackendAnnounce{Server: model.BackendServer{
		Name: "b1", Address: "10.0.0.1:9001", DataCentre: "dc", Services: []string{"dispatch"}, Slots: 1, Connections: 9, Lease: time.Hour,
	}})
	w.nodes[name] = n
}

// kill ends the process of a host, and with it the memory of its Node.
func (w *world) kill(name string) {
	delete(w.nodes, name)
	w.hosts[name].silent = true
}

// restart runs a killed host as a new process.
func (w *world) restart(name string) {
	w.hosts[name] = &host{incarnation: w.rng.Uint64()}
	w.start(name)
}

// isolate cuts a host off from the others, which it doesn't notice.
func (w *world) isolate(name string, cut bool) {
	for _, other := range memberNames {
		if other != name {
			w.cut[[2]string{name, other}] = cut
			w.cut[[2]string{other, name}] = cut
		}
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for _, name := range memberNames {
			if n := w.nodes[name]; n != nil {
				n.Tick()
			}
			if w.now.UnixNano()%int64(renewEvery) == 0 {
				w.renew(name)
			}
		}
		w.deliver()
	}
}

func (w *world) renew(name string) {
	h := w.hosts[name]
	if h.silent {
		return
	}
	m := msgs.Renew{
		Host: name, Incarnation: h.incarnation, SentAt: time.Duration(w.now.UnixNano()), Generation: h.lease.Generation, View: h.lease.View,
		Reported: true, Outstanding: slices.Clone(h.outstanding), Installation: msgs.InstallationFresh,
		Promised: h.lease.PromiseAt,
	}
	if h.unwilling {
		m.Promised = 0
	}
	if w.marked {
		m.Installation = msgs.InstallationMarked
	}
	for _, to := range memberNames {
		w.queue = append(w.queue, letter{from: name, to: to, body: m})
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 {
		l := w.queue[0]
		w.queue = w.queue[1:]
		if w.cut[[2]string{l.from, l.to}] {
			continue
		}
		switch l.body.(type) {
		case msgs.Lease, msgs.Grant, msgs.Verdict, msgs.Finished, msgs.SessionDone, msgs.CancelDone, msgs.JobRefused, msgs.RevokeJob, msgs.Load:
			w.take(l)
		default:
			if n := w.nodes[l.to]; n != nil {
				n.Handle(l.body)
			}
		}
	}
}

// take is what an entry host does with a message.
func (w *world) take(l letter) {
	h := w.hosts[l.to]
	if w.nodes[l.to] == nil {
		return
	}
	switch m := l.body.(type) {
	case msgs.Lease:
		h.lease = m
		if m.Expelled {
			h.incarnation = w.rng.Uint64()
		}
	case msgs.Grant:
		h.grants, h.grantedAt = append(h.grants, m), append(h.grantedAt, w.now)
		h.outstanding = append(h.outstanding, m)
		if !w.keep {
			w.done(l.to, m.ID)
		}
	default:
		h.got = append(h.got, m)
	}
}

// done ends the call under a grant with success.
func (w *world) done(name string, id uint64) {
	h := w.hosts[name]
	h.outstanding = slices.DeleteFunc(h.outstanding, func(g msgs.Grant) bool { return g.ID == id })
	w.tell(name, msgs.Done{Grant: id, View: h.lease.View, Result: msgs.ResultSucceeded, Ran: step, Host: name})
}

// tell sends a message of an entry host to the primary it knows.
func (w *world) tell(from string, body any) {
	w.queue = append(w.queue, letter{from: from, to: w.hosts[from].lease.Primary, body: body})
}

// primary returns the one host that leads.
func (w *world) primary() string {
	w.t.Helper()
	var leads []string
	for _, name := range memberNames {
		if n := w.nodes[name]; n != nil && n.leading != nil {
			leads = append(leads, name)
		}
	}
	if len(leads) != 1 {
		w.t.Fatalf("%v lead", leads)
	}
	return leads[0]
}

// backups returns the hosts that don't lead.
func (w *world) backups() (string, string) {
	rest := slices.DeleteFunc(slices.Clone(memberNames), func(n string) bool { return n == w.primary() })
	return rest[0], rest[1]
}

// ask submits a job of one task. A job without a key needs no claim.
func (w *world) ask(from, job, session, key string) {
	w.tell(from, msgs.Ask{
		Job: job, Host: from, Incarnation: w.hosts[from].incarnation, Customer: "halny", Session: session, Key: key,
		Keyed: key != "", Count: 1, Tasks: []msgs.Shape{{Service: "dispatch"}},
	})
}

func (w *world) finish(from, job string) {
	w.tell(from, msgs.Finish{
		Job: job, Host: from, Incarnation: w.hosts[from].incarnation,
		Answer: model.Answer{Job: job, State: model.JobComplete, Results: [][]byte{[]byte("r")}},
	})
}

// session opens a session.
func (w *world) session(from string) string {
	w.t.Helper()
	w.tell(from, msgs.SessionAsk{Host: from, Customer: "halny"})
	w.run(renewEvery)
	all := gotOf[msgs.SessionDone](w, from)
	if len(all) == 0 || all[0].Session == "" {
		w.t.Fatalf("no session: %+v", all)
	}
	return all[len(all)-1].Session
}

// gotOf returns the messages of one type that a host got.
func gotOf[M any](w *world, name string) []M {
	var all []M
	for _, g := range w.hosts[name].got {
		if m, ok := g.(M); ok {
			all = append(all, m)
		}
	}
	return all
}

// granted returns how many grants all hosts got for a job.
func (w *world) granted(job string) int {
	n := 0
	for _, h := range w.hosts {
		for _, g := range h.grants {
			if g.Job == job {
				n++
			}
		}
	}
	return n
}

// lastVerdict returns the last verdict on a job.
func (w *world) lastVerdict(name, job string) msgs.Verdict {
	var last msgs.Verdict
	for _, v := range gotOf[msgs.Verdict](w, name) {
		if v.Job == job {
			last = v
		}
	}
	return last
}
