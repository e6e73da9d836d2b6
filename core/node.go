package core

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/replog"
)

const (
	heartbeatInterval = 80 * time.Millisecond   // of an idle leader: three fit into a lease
	lease             = 280 * time.Millisecond  // a leader that is cut off stops deciding after it
	electionTimeout   = 350 * time.Millisecond  // longer than a lease, so that a backup's promise has ended
	driftDivisor      = 10                      // clocks drift apart by at most a tenth of a lease
	snapshotEvery     = 64                      // log entries; each holds a whole document
	maxCommands       = 16                      // in one log entry
	tableInterval     = 2 * time.Second         // between two tables of a data centre that are kept: a new server isn't missed for longer after a loss of all entry hosts
	resendAfter       = 600 * time.Millisecond  // after which routes without effect seem lost: longer than a call of a link
	joinInterval      = 300 * time.Millisecond  // between questions of a host that keeps no state
	bootstrapDelay    = 1500 * time.Millisecond // in which all hosts of the core start and ask the seeds
	memberTimeout     = 1500 * time.Millisecond // of silence, a member may be replaced by a host that waits: two elections
)

// Config is what a Node is told at its start.
type Config struct {
	Self     string   // name of this host
	Seeds    []string // names of hosts of the core
	Founding bool     // the whole system starts for the first time
}

// Codec holds the functions that encode the log and the snapshots.
type Codec struct {
	Commands     func([]fleet.Command) ([]byte, error)
	FromCommands func([]byte) ([]fleet.Command, error)
	Snapshot     func(fleet.Snapshot) ([]byte, error)
	FromSnapshot func([]byte) (fleet.Snapshot, error)
}

// Disk is what a member keeps.
type Disk struct {
	Saved   *quorum.Saved // nil when nothing was saved
	Persist func(p *quorum.Persist) error
	Full    func(err error) bool // tells that the disk was full and Persist may be tried again
}

// Hooks are the seams for events.
type Hooks struct {
	Failed   func(err error)
	DiskFull func(after time.Duration, err error) // this host waits for room on its disk, or, without an error, goes on after a time
	Leading  func(leading bool, view uint64)
	Joined   func(members []string) // this host takes part in the group
	Routes   func(version uint64)   // committed
	Placed   func(p model.Placement)
	Replicas func(members int, behind uint64) // members that follow this leader, and log entries that aren't committed
}

// Node is one host's part of the core.
type Node struct {
	Config
	Codec  Codec
	Disk   Disk
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error

	replica            *quorum.Replica // nil until the host takes part
	log                *replog.Log[fleet.Command, fleet.Result]
	state              *fleet.State
	watch              *fleet.Watch // nil while another host leads
	leader             string       // as far as known
	members            []string
	sent               map[string]sentRoutes
	tableRequestedAt   map[string]time.Time // for the table of a data centre
	joinAt             time.Time
	lastContact        map[string]time.Time // members, by the last message
	failed             bool
	reports            pendingReports
	reportedPlacements []model.Placement // as told, while this host takes no part
	drainBy            time.Time         // set once a stop has begun
	founders           map[string]bool   // hosts that start for the first time too, nil on others
	bootstrapAt        time.Time
	removedSince       time.Time // since when this host is no member, zero while it is
	fullDisk           fullDisk
	proposals          map[uint64]func(Answer) // decisions that this host has begun as the leader
	nextProposal       uint64

	routesSince time.Time // when this host learned of the newest routes
}

// sent is the routes document that a host was sent last.
type sentRoutes struct {
	version uint64
	at      time.Time
}

// Start prepares the replica of a member that founds the group or has its
// state. Any other host asks the core first.
func (n *Node) Start() {
	n.state = fleet.NewState()
	n.sent = map[string]sentRoutes{}
	n.tableRequestedAt = map[string]time.Time{}
	n.lastContact = map[string]time.Time{}
	n.members = slices.Clone(n.Seeds)
	n.reports = pendingReports{waiting: map[uint64]*pendingReport{}, next: n.Random()}
	switch {
	case n.Disk.Saved != nil && n.Disk.Saved.Vote.Generation != 0:
		var members []string
		for _, m := range n.Disk.Saved.Vote.Members {
			members = append(members, m.Name)
		}
		if slices.Contains(members, n.Self) {
			n.startReplica(members, quorum.WithState(*n.Disk.Saved))
		}
	case n.Founding:
		n.founders = map[string]bool{n.Self: true}
		n.bootstrapAt = n.Now().Add(bootstrapDelay)
	}
}

// takePart starts the replica. The members are in the order of their slots; they
// may be out of date, the protocol tells newer ones.
func (n *Node) startReplica(members []string, opts ...quorum.Option) {
	cfg := quorum.Config{
		Heartbeat:       heartbeatInterval,
		ElectionTimeout: electionTimeout,
		Lease:           lease,
		MaxClockDrift:   lease / driftDivisor,
		SnapshotEvery:   snapshotEvery,
		Durable:         true,
	}
	for i, m := range members {
		cfg.Members = append(cfg.Members, quorum.Member{Name: m})
		if m == n.Self {
			cfg.Self = i
		}
	}
	opts = append(opts, quorum.WithRandom(n.Random), quorum.WithSnapshot(n.snapshot))
	n.replica = quorum.New(cfg, opts...)
	n.log = n.newLog()
	n.Hooks.Joined(members)
}

func (n *Node) newLog() *replog.Log[fleet.Command, fleet.Result] {
	return &replog.Log[fleet.Command, fleet.Result]{
		Replica: n.replica,
		Encode:  n.Codec.Commands,
		Decode:  n.Codec.FromCommands,
		Stamp:   func(*fleet.Command, time.Time) {},
		Apply:   n.apply,
		Reset:   func() { n.state = fleet.NewState() },
		Install: n.install,
		Persist: n.Disk.Persist,
		Full:    n.Disk.Full,
		Send: func(m quorum.Message) {
			_ = n.Send(m.To, msgs.ServiceCore, m) // the protocol repeats what is lost
		},
		Fail:  n.fail,
		Batch: maxCommands,
	}
}

// fail ends the part of this host: what its disk holds is unknown.
func (n *Node) fail(err error) {
	n.failed = true
	n.Hooks.Failed(err)
}

func (n *Node) snapshot() []byte {
	data, err := n.Codec.Snapshot(n.state.Snapshot())
	if err != nil {
		n.fail(err)
	}
	return data
}

func (n *Node) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	n.state, n.routesSince = fleet.Restore(s), n.Now()
	return nil
}

func (n *Node) apply(c fleet.Command) fleet.Result {
	r := n.state.Apply(c)
	if !r.Changed || c.Kind == fleet.KindTable {
		return r
	}
	switch c.Kind {
	case fleet.KindRoutes:
		n.routesSince = n.Now()
		n.Hooks.Routes(r.Routes.Version)
	case fleet.KindPlace:
		for _, p := range n.state.Placements() {
			if p.DataCentre == c.Placement.DataCentre {
				n.Hooks.Placed(p)
			}
		}
	}
	n.notifyAll()
	return r
}

// Handle takes one message.
func (n *Node) Handle(msg any) {
	now := n.Now()
	switch m := msg.(type) {
	case quorum.Message:
		n.lastContact[m.From] = now
		if n.replica != nil && !n.fullDisk.active {
			n.replica.Step(m, now)
		}
	case msgs.HostRenew:
		n.handleRenew(m, now)
	case model.ServerTable:
		n.commitTable(m)
	case msgs.CoreJoin:
		n.handleJoin(m, now)
	case msgs.CoreJoined:
		n.handleJoined(m)
	case msgs.CoreFound:
		n.bootstrap(m.Members)
	case msgs.ServerNoted:
		n.reports.complete(m)
	case Put:
		n.put(m, now)
	case Read:
		n.read(m, now)
	case Report:
		n.report(m, now)
	case Inspect:
		m.Reply(n.view(now))
	case Seeds:
		n.Seeds = m.Hosts
	}
	n.process(now)
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	n.reports.expire(now)
	if n.replica == nil {
		n.requestJoin(now)
		return
	}
	if n.fullDisk.active && !n.retryDisk(now) {
		return
	}
	n.replica.Tick(now)
	n.process(now)
	if n.watch != nil {
		status := n.replica.Status(now)
		n.Hooks.Replicas(status.Current, status.Op-status.Commit)
	}
}

func (n *Node) process(now time.Time) {
	if n.log == nil || n.failed {
		return
	}
	n.log.Process(now)
	if n.checkDisk(now) {
		return
	}
	status := n.replica.Status(now)
	n.updateLeadership(status, now)
	if n.replaced(status, now) {
		n.replica, n.log, n.watch = nil, nil, nil
		return
	}
	if n.watch == nil {
		return
	}
	for _, p := range n.watch.Decide(n.state.Placements(), now) {
		n.log.Enqueue(fleet.Command{Kind: fleet.KindPlace, Placement: &p}, nil)
	}
	n.log.Process(now)
	n.checkDisk(now)
}

// lead follows who leads.
func (n *Node) updateLeadership(status quorum.Status, now time.Time) {
	n.members = n.members[:0:0]
	for _, m := range status.Members {
		n.members = append(n.members, m.Name)
	}
	n.leader = ""
	if !status.Recovering && status.Primary < len(n.members) {
		n.leader = n.members[status.Primary]
	}
	if n.leader == n.Self && !status.Leading {
		n.leader = ""
	}
	switch {
	case status.Leading && n.watch == nil:
		n.watch = fleet.NewWatch(now)
		n.Hooks.Leading(true, status.View)
	case !status.Leading && n.watch != nil:
		n.endLeadership(status.View)
	}
}

func (n *Node) endLeadership(view uint64) {
	n.watch = nil
	n.Hooks.Leading(false, view)
	n.failProposals(Answer{LeadershipLost: true})
}

// answerBegun gives up the decisions that this host has begun.
func (n *Node) failProposals(a Answer) {
	begun := n.proposals
	n.proposals = nil
	n.log.DropPending()
	for _, reply := range begun {
		reply(a)
	}
}

// replaced tells whether another host has taken the place of this one.
func (n *Node) replaced(status quorum.Status, now time.Time) bool {
	if status.Recovering || slices.Contains(n.members, n.Self) {
		n.removedSince = time.Time{}
		return false
	}
	if n.removedSince.IsZero() {
		n.removedSince = now
	}
	return now.Sub(n.removedSince) > memberTimeout
}

// placements returns who places, as far as this host knows.
func (n *Node) placements() []model.Placement {
	if n.replica == nil || n.fullDisk.placementsKnown {
		return n.reportedPlacements
	}
	return n.state.Placements()
}
