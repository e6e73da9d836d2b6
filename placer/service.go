package placer

import (
	"context"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
	"dogwoodrock.example/dogwoodrock/runs"
	"dogwoodrock.example/dogwoodrock/shed"
)

const (
	// tickInterval applies while jobs or orders are pending. It is also the least time
	// before an order is repeated.
	tickInterval = 20 * time.Millisecond

	// quiescentTick applies while the placer is quiescent. It is shorter than the delay
	// before a stop or a refused start is repeated.
	quiescentTick = 60 * time.Millisecond

	// standbyTick applies while another host places: a fifth of earlyJobRetention.
	standbyTick = 200 * time.Millisecond

	// stallGap is the time between two ticks above which this host itself has stalled:
	// five quiescent ticks.
	stallGap = 300 * time.Millisecond

	// hostTimeout is how long an entry host may fail to confirm that it waits before its
	// jobs are withdrawn: a resend may arrive 1.3 s after the connection broke.
	hostTimeout = 900 * time.Millisecond

	// pulseRequestAfter is the time without a confirmation after which a pulse is
	// requested: the tasks of a host start only shortly after a confirmation.
	pulseRequestAfter    = 200 * time.Millisecond
	pulseRequestInterval = 50 * time.Millisecond // between two requests to a host

	stateInterval     = time.Second // between reports to Hooks.State; operators' systems read them less often
	earlyJobRetention = time.Second // for jobs that arrive before this host knows that it places

	// successorTimeout is how long a stopping host waits to learn which host places next. It is
	// longer than the leases of this placer, after which the next one doesn't need its table.
	successorTimeout = 1200 * time.Millisecond
)

// Calls are the seams to backend servers. Each call returns soon after its context
// is done, with OutcomeUnknown when no answer arrived.
type Calls struct {
	Start func(ctx context.Context, o runs.Start) runs.Answer
	Stop  func(ctx context.Context, o runs.Stop) runs.Answer
	Poll  func(ctx context.Context, o runs.Poll) runs.PollResult
}

// Hooks are the seams for events and metrics.
type Hooks struct {
	PlacingBegan func(p model.Placement, t InitialTable)
	PlacingEnded func(epoch uint64, reason string, jobs int)
	RunEvent     func(epoch uint64, e runs.Event)
	JobEnded     func(e runs.End)
	JobHanded    func(m msgs.JobHand)
	State        func(v View) // each second while the host places
}

// PlacingService is the placing service of one host.
type PlacingService struct {
	Self        string
	DataCentre  string
	Incarnation uint64 // of this process
	Admission   shed.Admission
	Balance     rooms.Balance
	Calls       Calls
	Hooks       Hooks
	Send        func(to, service string, body any) error

	task              *kernel.Task
	startedAt         time.Time    // origin of the stamps
	placer            *runs.Placer // nil while another host places
	shard             int          // the fields on the placement and the table are those of this shard
	shards            int          // number of shards of the data centre, 0 while unknown
	placement         model.Placement
	otherPlacements   map[int]model.Placement // by shard
	otherTables       map[int]*shardTable     // by shard
	newestEpochPlaced uint64                  // latest epoch under which this process placed any shard
	servers           map[string]model.Server
	candidates        map[string]model.Server  // reported, and not verified yet
	leaving           map[string]bool          // reported to have left, which polls haven't decided yet
	tableVersion      uint64                   // of servers
	changes           map[string]change        // latest change of each server, by name
	tableEpoch        uint64                   // of the placer that sent servers
	tableCompleteAt   time.Time                // when that placer is known to have used no others, zero if unknown
	tableFinal        bool                     // that placer has stopped, and servers has all of its servers
	lastEpochPlaced   uint64                   // latest epoch under which this process placed the shard
	hosts             map[string]*host         // entry hosts that haven't timed out
	replicas          map[string]*tableReplica // by host
	replicatedVersion uint64                   // version of the table up to which its servers may be used
	processes         map[string]*process      // by host; kept when the host times out and across epochs
	fencedAt          time.Time                // zero unless fenced off by a successor that isn't known yet
	earlyJobs         []earlyJob
	flushPending      bool // a flush is in the queue
	lastTick          time.Time
	nextState         time.Time
	latency           callLatency // of orders
	pendingDrains     []pendingDrain
	beganAt           time.Time          // when this host began to place
	cancelled         runs.CancelledJobs // jobs that were cancelled recently
	evacuation        Evacuation         // of this data centre
	large             bool               // this data centre has more than fleet.SmallDataCentre entry hosts
	room              roomChooser
}

// flush is a message of the PlacingService to itself: the placer may have orders to execute.
type flush struct{}

// host is an entry host that sends jobs.
type host struct {
	timeoutFrom time.Time // first contact of its process in this epoch, or the end of a stall of this host
	confirmedAt time.Time // latest time at which the host is known to have waited, zero for none
	requestedAt time.Time // when a pulse was last requested
	local       bool      // in this data centre, so that it has a replica of the table
	lastPulse   uint64    // number of the last pulse

	every time.Duration // time between its pulses while it has no job here, 0 for the usual one
}

// timedOut reports whether the host hasn't confirmed within a timeout that it waits.
func (h *host) timedOut(timeout time.Duration, now time.Time) bool {
	return now.Sub(h.timeoutFrom) > timeout && now.Sub(h.confirmedAt) > timeout
}

// needsPulse reports whether a pulse of the host is needed and may be requested again.
func (h *host) needsPulse(now time.Time) bool {
	return now.Sub(h.confirmedAt) > pulseRequestAfter && now.Sub(h.requestedAt) >= pulseRequestInterval
}

// earlyJob is a job that arrived before this host knew that it places.
type earlyJob struct {
	handover  msgs.JobHand
	arrivedAt time.Time
}

// PlacementUpdate notifies the PlacingService which host places for a shard of its data centre.
type PlacementUpdate struct {
	Placement       model.Placement
	TableEpoch      uint64    // of the latest placer whose table this host received
	TableCompleteAt time.Time // when that placer is known to have used no other servers, zero if unknown
	Evacuation      Evacuation
}

// TableUpdate is the table of backend servers, or its changes, as the placer of an
// epoch sent it to an entry host.
type TableUpdate struct {
	Shard    int
	Epoch    uint64
	Complete bool // otherwise only changes
	Servers  []model.Server
}

// InitialTable describes the table that a placer starts with.
type InitialTable struct {
	Epoch   uint64 // of the placer that sent it, 0 for none
	Servers int
	Age     time.Duration // time in which that placer may have used other servers; negative if unknown
}

// unknownTableAge is the age of a table that may never have had all servers of its placer.
const unknownTableAge = -time.Millisecond

// ServerReport is a report that a backend server sent to this host.
type ServerReport struct {
	Server model.Server
	Reply  func(ReportResult)
}

// ReportResult answers a ServerReport. If this host doesn't place, Placer names the
// host that accepts the server's reports.
type ReportResult struct {
	Accepted bool
	Placer   string
}

// Service returns the PlacingService as a kernel service that holds at most depth requests.
func (n *PlacingService) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServicePlacer,
		Depth: depth,
		Every: tickInterval,
		Pace:  n.interval,
		Start: func(t *kernel.Task) error {
			n.task = t
			if n.startedAt.IsZero() {
				n.startedAt = t.Env.Now() // stamps keep rising when the service restarts
			}
			n.servers = map[string]model.Server{}
			n.candidates = map[string]model.Server{}
			n.cancelled = runs.CancelledJobs{}
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

func (n *PlacingService) handle(msg any, now time.Time) {
	switch m := msg.(type) {
	case PlacementUpdate:
		n.updatePlacement(m, now)
	case Evacuation:
		n.setEvacuation(m, now)
	case LargeDataCentre:
		n.large = true
	case RoomReport:
		n.learnRoom(m, now)
		return
	case TableUpdate:
		n.applyTable(m)
	case ServerReport:
		n.report(m.Server, m.Reply, now)
	case Inspect:
		m.Reply(n.view(now))
	case msgs.ServerSeen:
		n.report(m.Server, func(r ReportResult) {
			_ = n.Send(m.From, msgs.ServiceCore, msgs.ServerNoted{Request: m.Request, Taken: r.Accepted}) // the server will report again
		}, now)
	case msgs.Pulse:
		n.handlePulse(m, now)
	case model.ServerTable, StoredTable, TableRequest:
		n.handleTable(m, now)
	case msgs.JobHand, msgs.JobWithdraw, msgs.JobCancel, msgs.JobBar:
		n.handleJob(m, now)
	case callResult:
		n.handleResult(m, now)
	case flush:
		n.flushPending = false
		n.executeOrders(now)
		return
	}
	n.scheduleFlush()
}

// interval returns the time until the next tick.
func (n *PlacingService) interval() time.Duration {
	switch {
	case n.placer == nil:
		return standbyTick
	case n.placer.Quiescent(n.task.Env.Now()):
		return quiescentTick
	}
	return tickInterval
}

// scheduleFlush queues a flush behind the messages that are already waiting, so
// that under load the orders of many messages are executed together.
func (n *PlacingService) scheduleFlush() {
	if !n.flushPending && n.placer != nil {
		n.flushPending = true
		n.task.Self.Reply(flush{})
	}
}

func (n *PlacingService) tick(now time.Time) {
	n.handleTimers(now)
	n.executeOrders(now)
	if n.placer != nil && !now.Before(n.nextState) {
		n.nextState = now.Add(stateInterval)
		n.removeLostServers(now)
		n.retireReplicas()
		n.Hooks.State(n.view(now))
	}
}

// setPlacement starts placing under a new epoch, or stops.
func (n *PlacingService) setPlacement(p model.Placement, now time.Time) {
	if p.Epoch <= n.placement.Epoch {
		return
	}
	n.placement = p
	n.fencedAt = time.Time{}
	n.sendFinalTable(p)
	n.stopPlacing("superseded")
	if !n.isSelf(p) || p.Epoch <= n.newestEpochPlaced {
		return // a previous process of this host may have placed under this epoch
	}
	table := InitialTable{Epoch: n.tableEpoch, Servers: len(n.servers), Age: n.tableAge(now)}
	n.placer = runs.New(p.Epoch, p.Former == table.Epoch && table.Age >= 0, now)
	n.placer.SetFormer(p.Former)
	if p.Count() > 1 {
		n.placer.SetPartial()
	}
	if n.Balance == rooms.DataCentres {
		n.placer.SetBalanced()
	}
	n.evacuation.apply(n.placer)
	n.placer.SetAdmission(n.Admission)
	n.applyCancels(now)
	if table.Age > 0 {
		n.placer.SetTableAsOf(n.tableCompleteAt)
	}
	n.placer.TakeOver(slices.Collect(maps.Values(n.servers)), now)
	n.tableEpoch, n.tableCompleteAt, n.tableFinal, n.lastEpochPlaced = p.Epoch, time.Time{}, false, p.Epoch
	n.newestEpochPlaced = p.Epoch
	n.tableVersion, n.changes, n.hosts = 1, map[string]change{}, map[string]*host{}
	n.candidates, n.replicas, n.replicatedVersion = map[string]model.Server{}, map[string]*tableReplica{}, 0
	n.leaving, n.beganAt = map[string]bool{}, now
	for name, s := range n.servers {
		n.changes[name] = change{version: 1, server: s, changedAt: now}
	}
	n.Hooks.PlacingBegan(p, table)
	early := n.earlyJobs
	n.earlyJobs = nil
	for _, e := range early {
		switch {
		case now.Sub(e.arrivedAt) >= earlyJobRetention:
		case e.handover.Epoch == p.Epoch:
			e.handover.Age += now.Sub(e.arrivedAt)
			n.submitJob(e.handover, now)
		case e.handover.Epoch > p.Epoch && e.handover.Shard != p.Shard:
			n.earlyJobs = append(n.earlyJobs, e) // a newer placement of this host is about to arrive
		}
	}
}

// stopPlacing ends the placing of this host. Its runs continue until the next placer
// has polled their servers; the entry hosts hand their jobs over to that placer.
func (n *PlacingService) stopPlacing(reason string) {
	if n.placer == nil {
		return
	}
	n.Hooks.PlacingEnded(n.placer.Epoch(), reason, n.placer.Jobs())
	n.placer, n.tableFinal = nil, true
	n.rejectDrains()
}

// submitJob accepts a job for the shard of this host. It drops one that was handed over under a past
// placement for another shard: that shard's next placer gets the job, and wouldn't find its runs here.
func (n *PlacingService) submitJob(m msgs.JobHand, now time.Time) {
	if !n.places(m.Shard) {
		if m.Epoch > n.placementOf(m.Shard).Epoch {
			n.earlyJobs = append(n.earlyJobs, earlyJob{handover: m, arrivedAt: now})
		}
		return
	}
	if !n.recordContact(m.Host, m.Incarnation, now) {
		return
	}
	if n.large && !n.placer.HasJobOf(m.Host) {
		n.hosts[m.Host].timeoutFrom = now // its latest pulse may be older than hostTimeout
	}
	n.Hooks.JobHanded(m)
	m = n.chooseRoom(m, now)
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
		Arrived:   now.Add(-m.Age),
		Objective: m.Objective,
		Expires:   m.Expires,
		Strict:    m.Strict,
		RoomIn:    m.RoomIn,
		Former:    m.Former,
		Held:      m.Held,
		Again:     m.Again || m.Epoch != n.placer.Epoch(), // a previous process may have accepted it

		RoomDataCentre: m.RoomDataCentre,
		RoomDelay:      m.RoomDelay,
	}, now)
	if h := n.hosts[m.Host]; h.needsPulse(now) && (!n.large || n.placer.HasJobOf(m.Host)) {
		n.sendPulsed(m.Host, h, now)
	}
}

// handleReport records a report of a backend server. A server that is new or has moved enters
// the table when it is verified.
func (n *PlacingService) handleReport(s model.Server, now time.Time) ReportResult {
	switch {
	case n.placer == nil || !n.ownShard(s.Name) || (s.DataCentre != n.DataCentre && !s.Left):
		return ReportResult{Placer: n.placementOf(model.ShardOf(s.Name, n.shards)).Host}
	case !s.Left && n.outdated(s):
		return ReportResult{Accepted: true}
	case !n.placer.Report(s, now):
		return ReportResult{}
	}
	n.recordReport(s, now)
	return ReportResult{Accepted: true}
}

// recordReport updates the table and the candidates by a report that the placer has accepted.
func (n *PlacingService) recordReport(s model.Server, now time.Time) {
	old, known := n.servers[s.Name]
	switch {
	case s.Left && n.placer.HasServer(s.Name): // stays in the table until polls show that it has ended
		n.leaving[s.Name] = true
	case s.Left:
		delete(n.candidates, s.Name)
		n.setServer(s, now)
	case !n.placer.Verified(s.Name):
		if known {
			n.setServer(model.Server{Name: s.Name, Left: true}, now)
		}
		n.candidates[s.Name] = s
	case !known || old.Born != s.Born || old.Draining != s.Draining:
		n.setServer(s, now)
	default:
		n.servers[s.Name] = s
	}
}

// outdated reports whether a report is no newer than what is known of its server. The placer knows more than the
// table, which has the process of the latest report: a poll may have found the next one.
func (n *PlacingService) outdated(s model.Server) bool {
	if n.placer.HasServer(s.Name) {
		return n.placer.Outdated(s)
	}
	old, known := n.servers[s.Name]
	return known && !s.Newer(old)
}

// addVerified moves a candidate to the table if it has been verified, or drops it if the placer
// has given it up.
func (n *PlacingService) addVerified(name string, now time.Time) {
	s, ok := n.candidates[name]
	switch {
	case !ok:
	case n.placer == nil || !n.placer.HasServer(name):
		delete(n.candidates, name)
	case n.placer.Verified(name) && !n.placer.Leaving(name):
		delete(n.candidates, name)
		n.setServer(s, now)
	}
}

// tableAge returns for how long the placer that sent the table may have used servers
// that it lacks: 0 when that placer has stopped or there was none, unknownTableAge
// when the time isn't known.
func (n *PlacingService) tableAge(now time.Time) time.Duration {
	switch {
	case n.tableEpoch == 0 || n.tableFinal:
		return 0
	case n.tableCompleteAt.IsZero():
		return unknownTableAge
	}
	return max(now.Sub(n.tableCompleteAt), time.Nanosecond)
}

func (n *PlacingService) applyTable(m TableUpdate) {
	if m.Shard != n.shard {
		n.table(m.Shard).apply(m)
		return
	}
	if n.placer != nil || m.Epoch < n.tableEpoch || (m.Epoch == n.tableEpoch && n.tableFinal) {
		return
	}
	if m.Epoch > n.tableEpoch {
		n.tableEpoch, n.tableCompleteAt, n.tableFinal = m.Epoch, time.Time{}, false
	}
	updateServers(n.servers, m)
}

// drained reports whether the service may stop. A placer that was fenced off waits
// until it knows its successor, which needs the table, or for successorTimeout.
func (n *PlacingService) drained(now time.Time) bool {
	return n.placer == nil && now.Sub(n.fencedAt) > successorTimeout
}
