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
	heartbeatInterval = 80 * time.Millisecond  // of an idle leader; three fit into a lease
	lease             = 280 * time.Millisecond // after which a partitioned leader stops deciding
	electionTimeout   = 350 * time.Millisecond // longer than a lease, so that a backup's promise has expired
	driftDivisor      = 10                     // clocks drift apart by at most a tenth of a lease
	snapshotEvery     = 64                     // log entries
	maxCommands       = 16                     // per log entry

	// snapshotBytes is the size of the log after which a snapshot is taken before snapshotEvery entries:
	// each entry may hold a whole routes document. With proposalBytes it bounds the log on the disk,
	// which may have only 128 MB, and what a member without state has to fetch.
	snapshotBytes = 8 << 20

	// proposalBytes bounds what is proposed and not committed. A larger document is proposed alone.
	proposalBytes = 4 << 20

	// tableInterval is the time between two commits of a shard's server table. It bounds how
	// long a new server is missing after a loss of all entry hosts.
	tableInterval = 2 * time.Second

	// resendAfter is the time after which routes that a host still lacks count as lost and are sent
	// again. It is longer than a call of a link.
	resendAfter = 600 * time.Millisecond

	joinInterval = 300 * time.Millisecond // between join requests of a host without a replica

	// memberTimeout is the silence after which a waiting host may replace a member: two elections.
	memberTimeout = 1500 * time.Millisecond
)

// Config holds the settings of a Core.
type Config struct {
	Self       string // name of this host
	DataCentre string
	Seeds      []string // names of hosts of the core
	Founding   bool     // set on the first start of the whole system; the disk tells whether the host has taken part before

	// PlacingCapacity is the processor time that placing for a whole data centre needs, in thousandths
	// of a core. A data centre whose hosts all have less gets several shards. 0 for never.
	PlacingCapacity int64

	// RoutesBytes is the size of the largest routes that are taken while no entry host has told what it
	// receives, MaxRoutesBytes the size of those that this host's memory can hold. 0 for no limit.
	RoutesBytes    int64
	MaxRoutesBytes int64
}

// Codec holds the functions that encode the log and the snapshots.
type Codec struct {
	Commands     func([]fleet.Command) ([]byte, error)
	FromCommands func([]byte) ([]fleet.Command, error)
	Snapshot     func(fleet.Snapshot) ([]byte, error)
	FromSnapshot func([]byte) (fleet.Snapshot, error)
}

// Disk is the persistent storage of a member.
type Disk struct {
	Saved   *quorum.Saved // nil if nothing was saved
	Empty   bool          // the disk has never held the state of a replica
	Persist func(p *quorum.Persist) error
	Full    func(err error) bool // reports whether the disk was full, so that Persist may be retried

	// Compact replaces the log on a full disk by a snapshot, before Persist is retried. Its error is like
	// that of Persist.
	Compact func(s quorum.Snapshot) error

	// Members are those of the core that the host knew last; StoreMembers stores them. They let a host
	// without a replica find the core after a restart.
	Members      []string
	MemberEpoch  uint64
	Vote         Vote                                       // of this host during the first start
	StoreVote    func(Vote) error                           // its error is like that of Persist
	StoreMembers func(epoch uint64, members []string) error // nil to store nothing
}

// Hooks are called on events. All of them must be set.
type Hooks struct {
	Failed func(err error)

	// DiskFull reports that the disk is full or, if err is nil, that it has space again after having
	// been full for the time given.
	DiskFull func(fullFor time.Duration, err error)

	Leading func(leading bool, view uint64)
	Joined  func(members []string) // this host has started its replica

	MembersNotStored func(err error) // the members that this host knows are lost with its process

	Routes   func(version uint64)             // routes were committed
	Placed   func(p model.Placement)          // a placement was committed
	Divided  func(c model.ShardCount)         // the number of shards of a data centre was committed
	Replicas func(members int, behind uint64) // members that acknowledge this leader, uncommitted log entries

	// Evacuated reports a committed change of the evacuated data centres.
	Evacuated func(order model.Evacuation, all model.Evacuations)
}

// Core is one host's part of the core.
type Core struct {
	Config
	Codec  Codec
	Disk   Disk
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error

	replica            *quorum.Replica // nil while the host has no part in the group
	log                *replog.Log[fleet.Command, fleet.Result]
	state              *fleet.State
	watch              *fleet.Watch // nil while this host isn't the leader
	leader             string       // empty if unknown
	members            []string     // of the core; only a message of a member replaces them
	memberEpoch        uint64       // of members
	learning           bool         // the replica was started to replace a member
	hints              []string     // members, as hosts that are no members know them
	memberContact      time.Time
	neighbours         []string // entry hosts that have renewed here, the latest last
	neighboursAt       time.Time
	sent               map[string]sentRoutes
	tableRequestedAt   map[model.ShardKey]time.Time  // last request for a shard's server table
	rooms              map[model.ShardKey]roomReport // latest reports, on the leader
	joinAt             time.Time                     // next join request
	leaderSeen         time.Time                     // when this host last led or received a message of a leader
	lastContact        map[string]time.Time          // last message of each member
	ledSince           time.Time                     // when this host became the leader or resumed after a lapse
	waiting            map[string]waitingHost
	dataCentres        map[string]string // of hosts of the core, as far as known
	failed             bool
	reports            pendingReports
	reportedPlacements []model.Placement // reported by a member, while this host applies no commits
	drainBy            time.Time         // deadline of the leadership handover, set when a stop begins
	founding           *founding         // nil unless Founding
	chosen             Founders          // empty if unknown
	removedSince       time.Time         // when this host ceased to be a member, zero while it is one
	fullDisk           fullDisk
	proposals          map[uint64]func(Answer) // replies that wait for a commit
	nextProposal       uint64
	proposer           proposer
	lapse              lapse
	held               []heldRequest // reads that wait for a leader

	noticeDue   bool      // the entry hosts are to be told of new placements
	routesSince time.Time // when this host received the newest routes

	reportedEvacuations model.Evacuations // reported together with reportedPlacements
}

// sentRoutes is the last routes document that was sent to a host.
type sentRoutes struct {
	version uint64
	at      time.Time
}

// Start initializes the Core. A member with persisted state starts its replica immediately; a founding
// host waits for the other founders, and any other host sends join requests to the core first.
func (n *Core) Start() {
	n.state = fleet.NewState()
	n.sent = map[string]sentRoutes{}
	n.tableRequestedAt = map[model.ShardKey]time.Time{}
	n.lastContact = map[string]time.Time{}
	n.waiting = map[string]waitingHost{}
	n.dataCentres = map[string]string{n.Self: n.DataCentre}
	n.loadMembers()
	n.chosen = n.Disk.Vote.Chosen
	n.reports = pendingReports{waiting: map[uint64]*pendingReport{}, next: n.Random()}
	switch {
	case n.Disk.Saved != nil && n.Disk.Saved.Vote.Generation != 0:
		members := memberNames(n.Disk.Saved.Vote.Members)
		if slices.Contains(members, n.Self) {
			n.startReplica(members, quorum.WithFirstStart(formDelay), quorum.WithState(*n.Disk.Saved))
		}
	case (n.Founding || n.Disk.Vote.Disk != 0) && n.neverHeldState():
		n.startFounding() // also after a restart, whose settings need not tell that the first start isn't over
	}
}

// startReplica starts the replica. The members are in the order of their slots. The list may be
// outdated; the protocol updates it.
func (n *Core) startReplica(members []string, opts ...quorum.Option) {
	cfg := quorum.Config{
		Heartbeat:       heartbeatInterval,
		ElectionTimeout: electionTimeout,
		Lease:           lease,
		MaxClockDrift:   lease / driftDivisor,
		SnapshotEvery:   snapshotEvery,
		SnapshotBytes:   snapshotBytes,
		Durable:         true,
	}
	for i, m := range members {
		cfg.Members = append(cfg.Members, quorum.Member{Name: m, DataCentre: n.dataCentres[m]})
		if m == n.Self {
			cfg.Self = i
		}
	}
	opts = append(opts, quorum.WithRandom(n.Random), quorum.WithSnapshot(n.snapshot))
	n.replica, n.learning = quorum.New(cfg, opts...), false
	n.log = n.newLog()
	n.Hooks.Joined(members)
}

func (n *Core) newLog() *replog.Log[fleet.Command, fleet.Result] {
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
			_ = n.Send(m.To, msgs.ServiceCore, m) // the protocol retransmits lost messages
		},
		Fail:       n.fail,
		Batch:      maxCommands,
		Size:       commandSize,
		BatchBytes: proposalBytes,
		Compact:    n.compact,
	}
}

// fail stops this host's replica for good, because the content of its disk is unknown.
func (n *Core) fail(err error) {
	n.failed = true
	n.Hooks.Failed(err)
}

func (n *Core) snapshot() []byte {
	data, err := n.Codec.Snapshot(n.state.Snapshot())
	if err != nil {
		n.fail(err)
	}
	return data
}

// compact replaces the log on a full disk by a snapshot of the applied state.
func (n *Core) compact(s quorum.Snapshot) error {
	var err error
	if s.Data, err = n.Codec.Snapshot(n.state.Snapshot()); err != nil {
		return err
	}
	return n.Disk.Compact(s)
}

// serverBytes is the approximate size of an encoded server of a table.
const serverBytes = 128

// commandSize returns the approximate size of an encoded command in bytes.
func commandSize(c fleet.Command) (n int) {
	if c.Routes != nil {
		n += len(c.Routes.Source)
	}
	if c.Table != nil {
		n += serverBytes * len(c.Table.Servers)
	}
	return n
}

func (n *Core) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	n.state, n.routesSince = fleet.Restore(s), n.Now()
	return nil
}

func (n *Core) apply(c fleet.Command) fleet.Result {
	r := n.state.Apply(c)
	if !r.Changed || c.Kind == fleet.KindTable {
		return r
	}
	if c.Kind == fleet.KindShards {
		n.Hooks.Divided(*c.Shards)
		return r
	}
	switch c.Kind {
	case fleet.KindRoutes:
		n.routesSince = n.Now()
		n.Hooks.Routes(r.Routes.Version)
	case fleet.KindPlace:
		for _, p := range n.state.Placements() {
			if p.Key() == c.Placement.Key() {
				n.Hooks.Placed(p)
			}
		}
		n.notifyPlaced()
		return r
	case fleet.KindEvacuate:
		n.Hooks.Evacuated(*c.Evacuation, n.state.Evacuations())
	}
	n.notifyAll()
	return r
}

// Handle processes one message.
func (n *Core) Handle(msg any) {
	now := n.Now()
	switch m := msg.(type) {
	case quorum.Message:
		n.step(m, now)
	case msgs.HostRenew:
		n.handleRenew(m, now)
	case model.ServerTable:
		n.commitTable(m)
	case msgs.CoreJoin:
		n.handleJoin(m, now)
	case msgs.CoreJoined:
		n.handleJoined(m, now)
	case msgs.CoreVote:
		n.handleVote(m, now)
	case msgs.CoreFound:
		n.noteDataCentres(m.Members, m.DataCentres)
		n.bootstrap(Founders{Members: m.Members, Disks: m.Disks})
	case msgs.ServerNoted:
		n.reports.complete(m)
	case Put, Fits, Read, Evacuate:
		n.handleRequest(m, now)
	case Report:
		n.report(m, now)
	case Inspect:
		m.Reply(n.view(now))
	case Seeds:
		n.Seeds = m.Hosts
	}
	n.process(now)
	n.retryHeld(now)
}

// step passes a message of another member to the replica.
func (n *Core) step(m quorum.Message, now time.Time) {
	n.lastContact[m.From] = now
	if m.Kind == quorum.KindPrepare {
		n.leaderSeen = now
	}
	if n.replica != nil && !n.fullDisk.active {
		n.replica.Step(m, now)
	}
}

// Tick performs the work that is due by time.
func (n *Core) Tick() {
	now := n.Now()
	n.reports.expire(now)
	defer n.retryHeld(now)
	if n.replica == nil {
		n.requestJoin(now)
		return
	}
	if n.fullDisk.active && !n.retryDisk(now) {
		return
	}
	n.replica.Tick(now)
	n.process(now)
	n.seekMembers(now)
	if n.watch != nil {
		status := n.replica.Status(now)
		n.Hooks.Replicas(status.Current, status.Op-status.Commit)
	}
}

// process carries out the replica's output and, on the leader, proposes new placements.
func (n *Core) process(now time.Time) {
	if n.log == nil || n.failed {
		return
	}
	n.log.Process(now)
	n.sendNotice()
	if n.checkDisk(now) {
		return
	}
	status := n.replica.Status(now)
	n.updateLeadership(status, now)
	if n.checkReplaced(status, now) {
		n.giveUpReplica()
		return
	}
	if n.watch == nil {
		return
	}
	placements := n.state.Placements()
	for _, c := range n.watch.DecideShards(placements, n.state.ShardCounts(), n.PlacingCapacity, now) {
		n.log.Enqueue(fleet.Command{Kind: fleet.KindShards, Shards: &c}, nil)
	}
	for _, p := range n.watch.Decide(placements, now) {
		n.log.Enqueue(fleet.Command{Kind: fleet.KindPlace, Placement: &p}, nil)
	}
	n.log.Process(now)
	n.sendNotice()
	n.checkDisk(now)
}

// announce names the data centre of this host to a leader, in case the log, which is of an older version,
// doesn't.
func (n *Core) announce(status quorum.Status) {
	slot := slices.IndexFunc(status.Members, func(m quorum.Member) bool { return m.Name == n.Self })
	if slot < 0 || status.Members[slot].DataCentre != "" || n.DataCentre == "" || n.leader == "" || n.leader == n.Self {
		return
	}
	_ = n.Send(n.leader, msgs.ServiceCore, msgs.CoreJoin{Host: n.Self, DataCentre: n.DataCentre}) // repeated for each leader
}

// updateLeadership updates the members and the leader from the replica's status.
func (n *Core) updateLeadership(status quorum.Status, now time.Time) {
	if !status.Recovering || len(n.members) == 0 {
		names := memberNames(status.Members)
		if !slices.Equal(names, n.members) {
			n.noteMembers(status.Members)
		}
		n.members, n.memberEpoch = names, status.Epoch
	}
	former := n.leader
	n.leader = ""
	if !status.Recovering && status.Primary < len(n.members) {
		n.leader = n.members[status.Primary]
	}
	if n.leader == n.Self && !status.Leading {
		n.leader = ""
	}
	if n.leader != former {
		n.announce(status)
	}
	switch {
	case status.Leading && n.watch == nil:
		n.beginLeadership(status, now)
	case !status.Leading && n.watch != nil:
		n.suspendLeadership(status)
	}
	n.checkProposals(status)
}

func (n *Core) endLeadership(view uint64) {
	n.watch, n.lapse = nil, lapse{}
	n.Hooks.Leading(false, view)
	n.failProposals(Answer{LeadershipLost: true})
}

// failProposals replies to all callers that wait for a commit, and drops their commands.
func (n *Core) failProposals(a Answer) {
	pending := n.proposals
	n.proposals = nil
	n.log.DropPending()
	for _, reply := range pending {
		reply(a)
	}
}

// checkReplaced reports whether another host has replaced this one, which holds once this host has not
// been a member for longer than memberTimeout.
func (n *Core) checkReplaced(status quorum.Status, now time.Time) bool {
	if status.Recovering || slices.Contains(n.members, n.Self) {
		n.removedSince = time.Time{}
		return false
	}
	if n.removedSince.IsZero() {
		n.removedSince = now
	}
	return now.Sub(n.removedSince) > memberTimeout
}

// placements returns the placements that this host knows of, which may be outdated.
func (n *Core) placements() []model.Placement {
	if n.replica == nil || n.fullDisk.placementsKnown {
		return n.reportedPlacements
	}
	return n.state.Placements()
}
