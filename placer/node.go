package placer

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

const (
	tick        = 20 * time.Millisecond  // between looks at the clock while something waits: an order is repeated after no less
	calmTick    = 60 * time.Millisecond  // while all goes well: less than a stop or a refused start is left alone
	restTick    = 200 * time.Millisecond // while another host places: a fifth of earlyTime
	standTime   = 300 * time.Millisecond // between two ticks, after which this host stood still itself: five calm ones
	hostSilence = 900 * time.Millisecond // without word that an entry host waits, until its jobs are withdrawn: a resend may come 1.3 s after the break
	askAfter    = 200 * time.Millisecond // without such word, until the host is asked: its tasks begin soon after a word only
	askSpacing  = 50 * time.Millisecond  // between two questions to a host
	stateTime   = time.Second            // between two looks at the state: operators' systems read it less often
	earlyTime   = time.Second            // for which jobs are kept that came before the placement was known

	// successorWait is how long a stop waits to learn who places next: longer than
	// the leases of this placer, after which the next one doesn't need its table.
	successorWait = 1200 * time.Millisecond
)

// Calls are the seams to backend servers. Each call ends soon after its context
// and returns OutcomeUnknown when no answer came.
type Calls struct {
	Start func(ctx context.Context, o runs.Start) runs.Answer
	Stop  func(ctx context.Context, o runs.Stop) runs.Answer
	Look  func(ctx context.Context, o runs.Look) runs.Seen
}

// Hooks are the seams for events and counters.
type Hooks struct {
	Began func(p model.Placement, t Begun)
	Ended func(epoch uint64, reason string, jobs int)
	Event func(epoch uint64, e runs.Event)
	End   func(e runs.End)
	Hand  func(m msgs.JobHand)
	State func(v View) // each second while the host places
}

// Node is one host's part in placing.
type Node struct {
	Self        string
	DataCentre  string
	Incarnation uint64 // of this process
	Calls       Calls
	Hooks       Hooks
	Send        func(to, service string, body any) error

	task       *kernel.Task
	began      time.Time    // that stamps count from
	placer     *runs.Placer // nil while another host places
	latest     model.Placement
	servers    map[string]model.Server
	version    uint64            // of servers
	changed    map[string]change // of servers, by name
	tableEpoch uint64            // of the placer that told servers
	tableAt    time.Time         // when that placer is known to have had no others, zero for never
	tableEnded bool              // that placer has stopped, and has had no others
	placedFor  uint64            // latest epoch under which this process placed
	hosts      map[string]*host
	keepers    map[string]*keeper  // of the table, by host
	confirmed  uint64              // version of the table up to which its servers may be used
	processes  map[string]*process // by host, also of one that is silent, and over epochs
	fencedAt   time.Time           // zero unless the next placer isn't known yet
	early      []early
	flushing   bool // a flush is on its way
	ticked     time.Time
	stateAt    time.Time
	pace       pace // of answers to orders
}

// flush is the node's message to itself that orders may be due.
type flush struct{}

// host is an entry host that sends jobs.
type host struct {
	since  time.Time // when this epoch first heard of its process
	waited time.Time // latest time at which it is known to have waited, zero for none
	asked  time.Time // when a pulse was asked of it last
	near   bool      // of this data centre, so that it keeps the table
}

// silent tells whether the host isn't known to have waited lately.
func (h *host) silent(now time.Time) bool {
	return now.Sub(h.since) > hostSilence && now.Sub(h.waited) > hostSilence
}

// toAsk tells whether a pulse of the host is needed and may be asked for.
func (h *host) toAsk(now time.Time) bool {
	return now.Sub(h.waited) > askAfter && now.Sub(h.asked) >= askSpacing
}

// early is a job that came before this host knew that it places.
type early struct {
	hand msgs.JobHand
	came time.Time
}

// Placed tells the node who places for its data centre.
type Placed struct {
	Placement  model.Placement
	TableEpoch uint64    // of the latest placer whose table this host was told
	TableAt    time.Time // when that placer is known to have had no other servers, zero for never
}

// Table is the table of backend servers that the placer of an epoch told an
// entry host.
type Table struct {
	Epoch   uint64
	Whole   bool // otherwise only what has changed
	Servers []model.Server
}

// Begun is the table that a placer begins with.
type Begun struct {
	Epoch   uint64 // of the placer that told it, 0 for none
	Servers int
	Age     time.Duration // see tableAge
}

// unknownAge is the age of a table whose placer may have had others all the time.
const unknownAge = -time.Millisecond

// Beat is a report that a backend server sent to this host.
type Beat struct {
	Server model.Server
	Reply  func(Noted)
}

// Noted answers a Beat. Placer names the host that takes further reports, when
// that isn't this one.
type Noted struct {
	Taken  bool
	Placer string
}

// Service returns the node as a service that holds at most depth requests.
func (n *Node) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServicePlacer,
		Depth: depth,
		Every: tick,
		Pace:  n.rhythm,
		Start: func(t *kernel.Task) error {
			n.task = t
			if n.began.IsZero() {
				n.began = t.Env.Now() // a restarted service goes on with its stamps
			}
			n.servers = map[string]model.Server{}
			n.hosts = map[string]*host{}
			n.keepers = map[string]*keeper{}
			n.processes = map[string]*process{}
			connect(t)
			return nil
		},
		Handle: func(_ *kernel.Task, msg any) { n.handle(msg, n.task.Env.Now()) },
		Tick:   func(*kernel.Task) { n.tick(n.task.Env.Now()) },
		Drain:  func(*kernel.Task) bool { return n.drained(n.task.Env.Now()) },
	}
}

func (n *Node) handle(msg any, now time.Time) {
	switch m := msg.(type) {
	case Placed:
		if m.TableEpoch == n.tableEpoch {
			n.tableAt = m.TableAt
		}
		n.placed(m.Placement, now)
	case Table:
		n.adoptTable(m)
	case Beat:
		m.Reply(n.beat(m.Server, now))
	case Inspect:
		m.Reply(n.view(now))
	case msgs.ServerSeen:
		noted := n.beat(m.Server, now)
		_ = n.Send(m.From, msgs.ServiceCore, msgs.ServerNoted{Request: m.Request, Taken: noted.Taken}) // the server reports again
	case msgs.Pulse:
		n.pulse(m, now)
	case model.ServerTable:
		n.inherit(m, now)
	case Kept:
		n.learn(m.Table, now)
	case Keep:
		n.keep(m.Core)
	case msgs.JobHand:
		n.hand(m, now)
	case msgs.JobWithdraw:
		n.withdraw(m, now)
	case answered:
		n.answered(m, now)
	case flush:
		n.flushing = false
		n.carryOut(now)
		return
	}
	n.flush()
}

// rhythm returns how soon something may be due.
func (n *Node) rhythm() time.Duration {
	switch {
	case n.placer == nil:
		return restTick
	case n.placer.Calm(n.task.Env.Now()):
		return calmTick
	}
	return tick
}

// flush has what follows from the messages carried out once those that wait
// already have been handled too: under load they are many.
func (n *Node) flush() {
	if !n.flushing && n.placer != nil {
		n.flushing = true
		n.task.Self.Reply(flush{})
	}
}

func (n *Node) tick(now time.Time) {
	n.prune(now)
	stood := now.Sub(n.ticked) > standTime
	n.ticked = now
	if n.placer == nil {
		return
	}
	if stood {
		n.listenAgain(now)
	}
	for name, h := range n.hosts {
		switch {
		case h.silent(now):
			n.placer.HostLost(name, 0, now)
			delete(n.hosts, name)
		case n.placer.Jobs() > 0 && h.toAsk(now):
			n.tell(name, h, now)
		}
	}
	n.spread(now)
	n.known(now)
	n.placer.Tick(now)
	n.carryOut(now)
	if n.placer != nil && !now.Before(n.stateAt) {
		n.stateAt = now.Add(stateTime)
		n.forget(now)
		n.Hooks.State(n.view(now))
	}
}

// listenAgain begins the silence of the entry hosts anew after this host stood
// still: it may not have heard them, and the jobs of a host that counts as lost are
// dropped. The leases of their runs end by themselves.
func (n *Node) listenAgain(now time.Time) {
	for _, h := range n.hosts {
		h.since = now
	}
}

// placed begins to place under a new epoch, or stops.
func (n *Node) placed(p model.Placement, now time.Time) {
	if p.Epoch <= n.latest.Epoch {
		return
	}
	n.latest = p
	n.fencedAt = time.Time{}
	n.bequeath(p)
	n.stop("superseded")
	if p.Host != n.Self || p.Incarnation != n.Incarnation {
		return // an earlier process of this host may have placed under this epoch
	}
	table := Begun{Epoch: n.tableEpoch, Servers: len(n.servers), Age: n.tableAge(now)}
	n.placer = runs.New(p.Epoch, p.Former == table.Epoch && table.Age >= 0, now)
	n.placer.Follow(p.Former)
	if table.Age > 0 {
		n.placer.AsOf(n.tableAt)
	}
	n.placer.TakeOver(slices.Collect(maps.Values(n.servers)), now)
	n.tableEpoch, n.tableAt, n.tableEnded, n.placedFor = p.Epoch, time.Time{}, false, p.Epoch
	n.version, n.changed, n.hosts = 1, map[string]change{}, map[string]*host{}
	n.keepers, n.confirmed = map[string]*keeper{}, 0
	for name, s := range n.servers {
		n.changed[name] = change{version: 1, server: s, at: now}
	}
	n.Hooks.Began(p, table)
	waiting := n.early
	n.early = nil
	for _, e := range waiting {
		if e.hand.Epoch == p.Epoch && now.Sub(e.came) < earlyTime {
			e.hand.Age += now.Sub(e.came)
			n.hand(e.hand, now)
		}
	}
}

// stop ends the placing of this host. Its runs go on until the next placer has
// looked at their servers; the entry hosts hand their jobs to that one.
func (n *Node) stop(reason string) {
	if n.placer == nil {
		return
	}
	n.Hooks.Ended(n.placer.Epoch(), reason, n.placer.Jobs())
	n.placer, n.tableEnded = nil, true
}

func (n *Node) hand(m msgs.JobHand, now time.Time) {
	if n.placer == nil {
		if m.Epoch > n.latest.Epoch {
			n.early = append(n.early, early{hand: m, came: now})
		}
		return
	}
	if !n.alive(m.Host, m.Incarnation, now) {
		return
	}
	n.Hooks.Hand(m)
	n.placer.Submit(runs.Job{
		ID:          m.Job,
		Host:        m.Host,
		Incarnation: m.Incarnation,
		Hand:        m.Hand,
		Route:       m.Route,
		Service:     m.Service,
		Spec:        m.Spec,
		Tasks:       m.Tasks,
		Demand: model.Demand{
			CPU: m.CPU, MemoryMB: m.MemoryMB, Accelerators: m.Accelerators, Expected: m.Expected,
			Label: m.Label, PerServer: m.PerServer,
		},
		Priority:  m.Priority,
		Attempts:  m.Attempts,
		Came:      now.Add(-m.Age),
		Objective: m.Objective,
		Expires:   m.Expires,
		Strict:    m.Strict,
		Former:    m.Former,
		Held:      m.Held,
		Again:     m.Again || m.Epoch != n.placer.Epoch(), // an earlier process may have taken it
	}, now)
	if h := n.hosts[m.Host]; h.toAsk(now) {
		n.tell(m.Host, h, now)
	}
}

func (n *Node) withdraw(m msgs.JobWithdraw, now time.Time) {
	if n.placer == nil {
		return
	}
	if p := n.processes[m.Host]; p != nil && p.Current != m.Incarnation {
		return // each process of the host numbers its hand-overs anew
	}
	n.alive(m.Host, m.Incarnation, now)
	n.placer.Withdraw(m.Job, m.Host, m.Hand, now)
}

// beat notes a report of a backend server.
func (n *Node) beat(s model.Server, now time.Time) Noted {
	old, known := n.servers[s.Name]
	switch {
	case n.placer == nil || (s.DataCentre != n.DataCentre && !s.Left):
		return Noted{Placer: n.latest.Host}
	case !s.Left && known && !s.Newer(old):
		return Noted{Taken: true}
	case !known || s.Left || old.Born != s.Born || old.Draining != s.Draining || old.Address != s.Address:
		n.note(s, now)
	default:
		n.servers[s.Name] = s
	}
	n.placer.Report(s, now)
	return Noted{Taken: true}
}

// tableAge returns for how long the placer that told the table may have used other
// servers, 0 when it has stopped or there was none, or unknownAge.
func (n *Node) tableAge(now time.Time) time.Duration {
	switch {
	case n.tableEpoch == 0 || n.tableEnded:
		return 0
	case n.tableAt.IsZero():
		return unknownAge
	}
	return max(now.Sub(n.tableAt), time.Nanosecond)
}

func (n *Node) adoptTable(m Table) {
	if n.placer != nil || m.Epoch < n.tableEpoch || (m.Epoch == n.tableEpoch && n.tableEnded) {
		return
	}
	if m.Epoch > n.tableEpoch {
		n.tableEpoch, n.tableAt, n.tableEnded = m.Epoch, time.Time{}, false
	}
	if m.Whole {
		clear(n.servers)
	}
	for _, s := range m.Servers {
		if s.Left {
			delete(n.servers, s.Name)
			continue
		}
		n.servers[s.Name] = s
	}
}

// drained waits until another host places and is known: it needs the table.
func (n *Node) drained(now time.Time) bool {
	return n.placer == nil && now.Sub(n.fencedAt) > successorWait
}
