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
	step         = 10 * time.Millisecond
	renewEvery   = 100 * time.Millisecond
	lease        = time.Second
	recoveryTime = lease + lease/expiryMarginDivisor
)

var memberNames = []string{"h1", "h2", "h3"}

// message is a message in transit.
type message struct {
	from, to string
	body     any
}

// host simulates the jobs service of an entry host.
type host struct {
	incarnation uint64
	lease       msgs.Lease
	silent      bool // sends no renewals
	noPromise   bool // no longer promises not to serve alone
	grants      []msgs.Grant
	grantedAt   []time.Time
	outstanding []msgs.Grant
	received    []any // verdicts, outcomes and answers
}

// fixture is a group of three Members with a loop that delivers their messages. Time advances in steps;
// all messages are delivered within one step.
type fixture struct {
	t           *testing.T
	now         time.Time
	rng         *rand.Rand
	members     map[string]*Member // running ones, by host
	hosts       map[string]*host
	queue       []message
	partitioned map[[2]string]bool
	expelled    []string
	left        []string
	fences      []uint64
	marked      bool // the data folders show that the data centre has run before
	holdGrants  bool // hosts keep their grants instead of reporting success immediately
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{
		t: t, now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 1)),
		members: map[string]*Member{}, hosts: map[string]*host{}, partitioned: map[[2]string]bool{},
	}
	for i, name := range memberNames {
		f.hosts[name] = &host{incarnation: uint64(i + 1)}
		f.start(name)
	}
	f.run(5 * time.Second)
	return f
}

// start runs a Member without state.
func (f *fixture) start(name string) {
	n := &Member{
		Config: Config{
			Self: model.Host{Name: name, DataCentre: "dc"}, DiskMembers: []string{"h1"}, DataCentres: []string{"dc"},
			Heartbeat: renewEvery, Lease: lease, ElectionTimeout: 1500 * time.Millisecond, BackendLease: time.Hour,
			KeyWindow: 10 * time.Minute, SessionEpoch: time.Hour, TaskTimeout: time.Minute,
			Alone: quota.AloneTimes{Promise: 3 * lease, GrantDelay: lease, MaxRun: time.Minute},
		},
		Codec: Codec{Entries: codec.Entries, FromEntries: codec.FromEntries, Snapshot: codec.Snapshot, FromSnapshot: codec.FromSnapshot},
		Hooks: Hooks{
			Expelled: func(host string, _ int, fence uint64) {
				f.expelled, f.fences = append(f.expelled, host), append(f.fences, fence)
			},
			HostLeft:  func(host string) { f.left = append(f.left, host) },
			Announced: func(model.BackendServer) {}, BackendLeft: func(string) {}, Placed: func(place.Event) {},
			Refused: func(model.Code) {}, Begun: func() {},
			Failed: func(err error) { f.t.Error(err) },
		},
		Now:    func() time.Time { return f.now },
		Random: f.rng.Uint64,
	}
	for _, m := range memberNames {
		n.Members = append(n.Members, model.Host{Name: m, DataCentre: "dc"})
	}
	n.Hosts = n.Members
	n.Send = func(to, _ string, body any) error {
		f.queue = append(f.queue, message{from: name, to: to, body: body})
		return nil
	}
	n.Spawn = func(work func() any) {
		f.queue = append(f.queue, message{from: name, to: name, body: work()})
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
	f.members[name] = n
}

// kill ends the process of a host; its Member loses its state.
func (f *fixture) kill(name string) {
	delete(f.members, name)
	f.hosts[name].silent = true
}

// restart runs a killed host as a new process.
func (f *fixture) restart(name string) {
	f.hosts[name] = &host{incarnation: f.rng.Uint64()}
	f.start(name)
}

// isolate starts or ends a partition between a host and the others. Messages are dropped silently.
func (f *fixture) isolate(name string, partitioned bool) {
	for _, other := range memberNames {
		if other != name {
			f.partitioned[[2]string{name, other}] = partitioned
			f.partitioned[[2]string{other, name}] = partitioned
		}
	}
}

func (f *fixture) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(step)
		for _, name := range memberNames {
			if n := f.members[name]; n != nil {
				n.Tick()
			}
			if f.now.UnixNano()%int64(renewEvery) == 0 {
				f.renew(name)
			}
		}
		f.deliver()
	}
}

func (f *fixture) renew(name string) {
	h := f.hosts[name]
	if h.silent {
		return
	}
	m := msgs.Renew{
		Host: name, Incarnation: h.incarnation, SentAt: time.Duration(f.now.UnixNano()), Generation: h.lease.Generation, View: h.lease.View,
		Reported: true, Outstanding: slices.Clone(h.outstanding), Installation: msgs.InstallationFresh,
		Promised: h.lease.PromiseAt,
	}
	if h.noPromise {
		m.Promised = 0
	}
	if f.marked {
		m.Installation = msgs.InstallationMarked
	}
	for _, to := range memberNames {
		f.queue = append(f.queue, message{from: name, to: to, body: m})
	}
}

func (f *fixture) deliver() {
	for len(f.queue) > 0 {
		msg := f.queue[0]
		f.queue = f.queue[1:]
		if f.partitioned[[2]string{msg.from, msg.to}] {
			continue
		}
		switch msg.body.(type) {
		case msgs.Lease, msgs.Grant, msgs.Verdict, msgs.Finished, msgs.SessionDone, msgs.CancelDone, msgs.JobRefused, msgs.RevokeJob, msgs.Load:
			f.receive(msg)
		default:
			if n := f.members[msg.to]; n != nil {
				n.Handle(msg.body)
			}
		}
	}
}

// receive processes a message as the jobs service of an entry host does.
func (f *fixture) receive(msg message) {
	h := f.hosts[msg.to]
	if f.members[msg.to] == nil {
		return
	}
	switch m := msg.body.(type) {
	case msgs.Lease:
		h.lease = m
		if m.Expelled {
			h.incarnation = f.rng.Uint64()
		}
	case msgs.Grant:
		h.grants, h.grantedAt = append(h.grants, m), append(h.grantedAt, f.now)
		h.outstanding = append(h.outstanding, m)
		if !f.holdGrants {
			f.done(msg.to, m.ID)
		}
	default:
		h.received = append(h.received, m)
	}
}

// done reports the success of the task with a grant.
func (f *fixture) done(name string, id uint64) {
	h := f.hosts[name]
	h.outstanding = slices.DeleteFunc(h.outstanding, func(g msgs.Grant) bool { return g.ID == id })
	f.sendToPrimary(name, msgs.Done{Grant: id, View: h.lease.View, Result: msgs.ResultSucceeded, Ran: step, Host: name})
}

// sendToPrimary sends a message of an entry host to the primary that it knows.
func (f *fixture) sendToPrimary(from string, body any) {
	f.queue = append(f.queue, message{from: from, to: f.hosts[from].lease.Primary, body: body})
}

// primary returns the only primary, and fails the test if there is not exactly one.
func (f *fixture) primary() string {
	f.t.Helper()
	var primaries []string
	for _, name := range memberNames {
		if n := f.members[name]; n != nil && n.primary != nil {
			primaries = append(primaries, name)
		}
	}
	if len(primaries) != 1 {
		f.t.Fatalf("primaries %v, want one", primaries)
	}
	return primaries[0]
}

// backups returns the hosts other than the primary.
func (f *fixture) backups() (string, string) {
	rest := slices.DeleteFunc(slices.Clone(memberNames), func(n string) bool { return n == f.primary() })
	return rest[0], rest[1]
}

// ask submits a job of one task. A job without a key needs no claim.
func (f *fixture) ask(from, job, session, key string) {
	f.sendToPrimary(from, msgs.Ask{
		Job: job, Host: from, Incarnation: f.hosts[from].incarnation, Customer: "halny", Session: session, Key: key,
		Keyed: key != "", Count: 1, Tasks: []msgs.Shape{{Service: "dispatch"}},
	})
}

func (f *fixture) finish(from, job string) {
	f.sendToPrimary(from, msgs.Finish{
		Job: job, Host: from, Incarnation: f.hosts[from].incarnation,
		Answer: model.Answer{Job: job, State: model.JobComplete, Results: [][]byte{[]byte("r")}},
	})
}

// session opens a session and returns its name.
func (f *fixture) session(from string) string {
	f.t.Helper()
	f.sendToPrimary(from, msgs.SessionAsk{Host: from, Customer: "halny"})
	f.run(renewEvery)
	all := receivedOf[msgs.SessionDone](f, from)
	if len(all) == 0 || all[0].Session == "" {
		f.t.Fatalf("no session: %+v", all)
	}
	return all[len(all)-1].Session
}

// receivedOf returns the messages of one type that a host received.
func receivedOf[M any](f *fixture, name string) []M {
	var all []M
	for _, g := range f.hosts[name].received {
		if m, ok := g.(M); ok {
			all = append(all, m)
		}
	}
	return all
}

// granted returns the number of grants for a job on all hosts.
func (f *fixture) granted(job string) int {
	n := 0
	for _, h := range f.hosts {
		for _, g := range h.grants {
			if g.Job == job {
				n++
			}
		}
	}
	return n
}

// lastVerdict returns the last verdict on a job that a host received.
func (f *fixture) lastVerdict(name, job string) msgs.Verdict {
	var last msgs.Verdict
	for _, v := range receivedOf[msgs.Verdict](f, name) {
		if v.Job == job {
			last = v
		}
	}
	return last
}
