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
	tickInterval         = 20 * time.Millisecond  // between looks at the clock while something waits: an order is repeated after no less
	quiescentTick        = 60 * time.Millisecond  // while all goes well: less than a stop or a refused start is left alone
	standbyTick          = 200 * time.Millisecond // while another host places: a fifth of earlyTime
	stallGap             = 300 * time.Millisecond // between two ticks, after which this host stood still itself: five calm ones
	hostTimeout          = 900 * time.Millisecond // without word that an entry host waits, until its jobs are withdrawn: a resend may come 1.3 s after the break
	pulseRequestAfter    = 200 * time.Millisecond // without such word, until the host is asked: its tasks begin soon after a word only
	pulseRequestInterval = 50 * time.Millisecond  // between two questions to a host
	stateInterval        = time.Second            // between two looks at the state: operators' systems read it less often
	earlyJobRetention    = time.Second            // for which jobs are kept that came before the placement was known

	// successorWait is how long a stop waits to learn who places next: longer than
	// the leases of this placer, after which the next one doesn't need its table.
	successorTimeout = 1200 * time.Millisecond
)

// Calls are the seams to backend servers. Each call ends soon after its context
// and returns OutcomeUnknown when no answer came.
type Calls struct {
	Start func(ctx context.Context, o runs.Start) runs.Answer
	Stop  func(ctx context.Context, o runs.Stop) runs.Answer
	Poll  func(ctx context.Context, o runs.Look) runs.Seen
}

// Hooks are the seams for events and counters.
type Hooks struct {
	PlacingBegan func(p model.Placement, t InitialTable)
	PlacingEnded func(epoch uint64, reason string, jobs int)
	RunEvent     func(epoch uint64, e runs.Event)
	JobEnded     func(e runs.End)
	JobHanded    func(m msgs.JobHand)
	State        func(v View) // each second while the host places
}

// Node is one host's part in placing.
type Node struct {
	Self        string
	DataCentre  string
	Incarnation uint64 // of this process
	Calls       Calls
	Hooks       Hooks
	Send        func(to, service string, body any) error

	task              *kernel.Task
	startedAt         time.Time    // that stamps count from
	placer            *runs.Placer // nil while another host places
	placement         model.Placement
	servers           map[string]model.Server
	tableVersion      uint64            // of servers
	changes           map[string]change // of servers, by name
	tableEpoch        uint64            // of the placer that told servers
	tableCompleteAt   time.Time         // when that placer is known to have had no others, zero for never
	tableFinal        bool              // that placer has stopped, and has had no others
	lastEpochPlaced   uint64            // latest epoch under which this process placed
	hosts             map[string]*host
	replicas          map[string]*tableReplica // of the table, by host
	replicatedVersion uint64                   // version of the table up to which its servers may be used
	processes         map[string]*process      // by host, also of one that is silent, and over epochs
	fencedAt          time.Time                // zero unless the next placer isn't known yet
	earlyJobs         []earlyJob
	flushPending      bool // a flush is on its way
	lastTick          time.Time
	nextState         time.Time
	latency           callLatency // of answers to orders
}

// flush is the node's message to itself that orders may be due.
type flush struct{}

// host is an entry host that sends jobs.
type host struct {
	timeoutFrom time.Time // when this epoch first heard of its process
	confirmedAt time.Time // latest time at which it is known to have waited, zero for none
	requestedAt time.Time // when a pulse was asked of it last
	local       bool      // of this data centre, so that it keeps the table
}

// silent tells whether the host isn't known to have waited lately.
func (h *host) timedOut(now time.Time) bool {
	return now.Sub(h.timeoutFrom) > hostTimeout && now.Sub(h.confirmedAt) > hostTimeout
}

// toAsk tells whether a pulse of the host is needed and may be asked for.
func (h *host) needsPulse(now time.Time) bool {
	return now.Sub(h.confirmedAt) > pulseRequestAfter && now.Sub(h.requestedAt) >= pulseRequestInterval
}

// early is a job that came before this host knew that it places.
type earlyJob struct {
	handover  msgs.JobHand
	arrivedAt time.Time
}

// Placed tells the node who places for its data centre.
type PlacementUpdate struct {
	Placement       model.Placement
	TableEpoch      uint64    // of the latest placer whose table this host was told
	TableCompleteAt time.Time // when that placer is known to have had no other servers, zero for never
}

// Table is the table of backend servers that the placer of an epoch told an
// entry host.
type TableUpdate struct {
	Epoch    uint64
	Complete bool // otherwise only what has changed
	Servers  []model.Server
}

// Begun is the table that a placer begins with.
type InitialTable struct {
	Epoch   uint64 // of the placer that told it, 0 for none
	Servers int
	Age     time.Duration // see tableAge
}

// unknownAge is the age of a table whose placer may have had others all the time.
const unknownTableAge = -time.Millisecond

// Beat is a report that a backend server sent to this host.
type ServerReport struct {
	Server model.Server
	Reply  func(ReportResult)
}

// Noted answers a Beat. Placer names the host that takes further reports, when
// that isn't this one.
type ReportResult struct {
	Accepted bool
	Placer   string
}

// Service returns the node as a service that holds at most depth requests.
func (n *Node) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServicePlacer,
		Depth: depth,
		Every: tickInterval,
		Pace:  n.interval,
		Start: func(t *kernel.Task) error {
			n.task = t
			if n.startedAt.IsZero() {
				n.startedAt = t.Env.Now() // a restarted service goes on with its stamps
			}
			n.servers = map[string]model.Server{}
			n.hosts = map[string]*host{}
			n.replicas = map[string]*tableReplica{}
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
	case PlacementUpdate:
		if m.TableEpoch == n.tableEpoch {
			n.tableCompleteAt = m.TableCompleteAt
		}
		n.setPlacement(m.Placement, now)
	case TableUpdate:
		n.applyTable(m)
	case ServerReport:
		m.Reply(n.handleReport(m.Server, now))
	case Inspect:
		m.Reply(n.view(now))
	case msgs.ServerSeen:
		noted := n.handleReport(m.Server, now)
		_ = n.Send(m.From, msgs.ServiceCore, msgs.ServerNoted{Request: m.Request, Taken: noted.Accepted}) // the server reports again
	case msgs.Pulse:
		n.handlePulse(m, now)
	case model.ServerTable:
		n.receiveFinalTable(m, now)
	case StoredTable:
		n.addStoredServers(m.Table, now)
	case TableRequest:
		n.sendTableToCore(m.Core)
	case msgs.JobHand:
		n.submitJob(m, now)
	case msgs.JobWithdraw:
		n.withdrawJob(m, now)
	case callResult:
		n.handleResult(m, now)
	case flush:
		n.flushPending = false
		n.executeOrders(now)
		return
	}
	n.scheduleFlush()
}

// rhythm returns how soon something may be due.
func (n *Node) interval() time.Duration {
	switch {
	case n.placer == nil:
		return standbyTick
	case n.placer.Calm(n.task.Env.Now()):
		return quiescentTick
	}
	return tickInterval
}

// flush has what follows from the messages carried out once those that wait
// already have been handled too: under load they are many.
func (n *Node) scheduleFlush() {
	if !n.flushPending && n.placer != nil {
		n.flushPending = true
		n.task.Self.Reply(flush{})
	}
}

func (n *Node) tick(now time.Time) {
	n.prune(now)
	stood := now.Sub(n.lastTick) > stallGap
	n.lastTick = now
	if n.placer == nil {
		return
	}
	if stood {
		n.resetHostTimeouts(now)
	}
	for name, h := range n.hosts {
		switch {
		case h.timedOut(now):
			n.placer.HostLost(name, 0, now)
			delete(n.hosts, name)
		case n.placer.Jobs() > 0 && h.needsPulse(now):
			n.sendPulsed(name, h, now)
		}
	}
	n.replicateTable(now)
	n.markReplicated(now)
	n.placer.Tick(now)
	n.executeOrders(now)
	if n.placer != nil && !now.Before(n.nextState) {
		n.nextState = now.Add(stateInterval)
		n.removeLostServers(now)
		n.Hooks.State(n.view(now))
	}
}

// listenAgain begins the silence of the entry hosts anew after this host stood
// still: it may not have heard them, and the jobs of a host that counts as lost are
// dropped. The leases of their runs end by themselves.
func (n *Node) resetHostTimeouts(now time.Time) {
	for _, h := range n.hosts {
		h.timeoutFrom = now
	}
}

// placed begins to place under a new epoch, or stops.
func (n *Node) setPlacement(p model.Placement, now time.Time) {
	if p.Epoch <= n.placement.Epoch {
		return
	}
	n.placement = p
	n.fencedAt = time.Time{}
	n.sendFinalTable(p)
	n.stopPlacing("superseded")
	if p.Host != n.Self || p.Incarnation != n.Incarnation {
		return // an earlier process of this host may have placed under this epoch
	}
	table := InitialTable{Epoch: n.tableEpoch, Servers: len(n.servers), Age: n.tableAge(now)}
	n.placer = runs.New(p.Epoch, p.Former == table.Epoch && table.Age >= 0, now)
	n.placer.Follow(p.Former)
	if table.Age > 0 {
		n.placer.AsOf(n.tableCompleteAt)
	}
	n.placer.TakeOver(slices.Collect(maps.Values(n.servers)), now)
	n.tableEpoch, n.tableCompleteAt, n.tableFinal, n.lastEpochPlaced = p.Epoch, time.Time{}, false, p.Epoch
	n.tableVersion, n.changes, n.hosts = 1, map[string]change{}, map[string]*host{}
	n.replicas, n.replicatedVersion = map[string]*tableReplica{}, 0
	for name, s := range n.servers {
		n.changes[name] = change{version: 1, server: s, changedAt: now}
	}
	n.Hooks.PlacingBegan(p, table)
	waiting := n.earlyJobs
	n.earlyJobs = nil
	for _, e := range waiting {
		if e.handover.Epoch == p.Epoch && now.Sub(e.arrivedAt) < earlyJobRetention {
			e.handover.Age += now.Sub(e.arrivedAt)
			n.submitJob(e.handover, now)
		}
	}
}

// stop ends the placing of this host. Its runs go on until the next placer has
// looked at their servers; the entry hosts hand their jobs to that one.
func (n *Node) stopPlacing(reason string) {
	if n.placer == nil {
		return
	}
	n.Hooks.PlacingEnded(n.placer.Epoch(), reason, n.placer.Jobs())
	n.placer, n.tableFinal = nil, true
}

func (n *Node) submitJob(m msgs.JobHand, now time.Time) {
	if n.placer == nil {
		if m.Epoch > n.placement.Epoch {
			n.earlyJobs = append(n.earlyJobs, earlyJob{handover: m, arrivedAt: now})
		}
		return
	}
	if !n.recordContact(m.Host, m.Incarnation, now) {
		return
	}
	n.Hooks.JobHanded(m)
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
	if h := n.hosts[m.Host]; h.needsPulse(now) {
		n.sendPulsed(m.Host, h, now)
	}
}

func (n *Node) withdrawJob(m msgs.JobWithdraw, now time.Time) {
	if n.placer == nil {
		return
	}
	if p := n.processes[m.Host]; p != nil && p.Present != m.Incarnation {
		return // each process of the host numbers its hand-overs anew
	}
	n.recordContact(m.Host, m.Incarnation, now)
	n.placer.Withdraw(m.Job, m.Host, m.Hand, now)
}

// beat notes a report of a backend server.
func (n *Node) handleReport(s model.Server, now time.Time) ReportResult {
	old, known := n.servers[s.Name]
	switch {
	case n.placer == nil || (s.DataCentre != n.DataCentre && !s.Left):
		return ReportResult{Placer: n.placement.Host}
	case !s.Left && known && !s.Newer(old):
		return ReportResult{Accepted: true}
	case !known || s.Left || old.Born != s.Born || old.Draining != s.Draining || old.Address != s.Address:
		n.setServer(s, now)
	default:
		n.servers[s.Name] = s
	}
	n.placer.Report(s, now)
	return ReportResult{Accepted: true}
}

// tableAge returns for how long the placer that told the table may have used other
// servers, 0 when it has stopped or there was none, or unknownAge.
func (n *Node) tableAge(now time.Time) time.Duration {
	switch {
	case n.tableEpoch == 0 || n.tableFinal:
		return 0
	case n.tableCompleteAt.IsZero():
		return unknownTableAge
	}
	return max(now.Sub(n.tableCompleteAt), time.Nanosecond)
}

func (n *Node) applyTable(m TableUpdate) {
	if n.placer != nil || m.Epoch < n.tableEpoch || (m.Epoch == n.tableEpoch && n.tableFinal) {
		return
	}
	if m.Epoch > n.tableEpoch {
		n.tableEpoch, n.tableCompleteAt, n.tableFinal = m.Epoch, time.Time{}, false
	}
	if m.Complete {
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
	return n.placer == nil && now.Sub(n.fencedAt) > successorTimeout
}
