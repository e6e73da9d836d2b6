package keeper

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/replog"
)

// Config holds the settings of a Keeper.
type Config struct {
	Self           model.Host
	Hosts          []model.Host // all entry hosts, including Self
	Members        []string     // names of the hosts in the lists group
	Heartbeat      time.Duration
	Lease          time.Duration
	Election       time.Duration
	RequestTimeout time.Duration // for a request to the lists group, with retries
}

// Codec holds the functions that encode and decode log entries and snapshots.
type Codec struct {
	Commands     func([]lists.Command) ([]byte, error)
	FromCommands func([]byte) ([]lists.Command, error)
	Snapshot     func(lists.Snapshot) ([]byte, error)
	FromSnapshot func([]byte) (lists.Snapshot, error)
}

// Disk is the stored state of a host with a data folder.
type Disk struct {
	Saved      *quorum.Saved                 // state of the replica, nil if none was saved
	Persist    func(p *quorum.Persist) error // writes and syncs changes of the replica's state
	SaveActive func(u lists.Update) error    // writes and syncs a version before its activation
	Active     lists.Update                  // version last written by SaveActive
	StateLost  bool                          // the folder lost its state, so the replica recovers it from the other members
}

// Hooks are called on events, for metrics and for the services that use the lists.
type Hooks struct {
	Activated     func(active lists.Active, delay time.Duration) // a version became active; delay since its commit, 0 if unknown
	Ready         func(version uint64)                           // the local replica has the committed lists
	Failed        func(err error)
	Replicated    func(version uint64, took time.Duration) // all reachable hosts have the version
	HelloReceived func(host, address string)               // address of another host, from its hello

	// Restarted is called on the first hello of a new process of a host.
	Restarted func(host string)
}

// Keeper replicates the lists on one host. All methods run in one task.
type Keeper struct {
	Config
	Codec  Codec
	Disk   *Disk // nil on a host without a data folder
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error

	replica       *quorum.Replica // nil on a host outside the lists group
	log           *replog.Log[lists.Command, lists.Result]
	registry      *lists.Registry
	wasLeader     bool
	ready         bool
	active        lists.Active
	pending       lists.Update // newest version received before discoverUntil
	discoverUntil time.Time    // a host without an active version activates received ones only afterwards
	peers         map[string]*peer
	requests      map[uint64]*pendingRequest
	nextRequest   uint64
	nextMember    int
	lastHello     time.Time
	helloOffset   int // rotation through Hosts
	replication   replication
}

// peer is the state of another host, as known from its hellos.
type peer struct {
	processes model.Processes
	version   uint64
	seen      time.Time
	reachable bool
	sent      uint64 // newest version sent to it
	sentAt    time.Time
}

// replication tracks how long a version takes to become active on all reachable hosts.
type replication struct {
	version   uint64
	startedAt time.Time
	duration  time.Duration
	done      bool
}

const (
	helloInterval = 2 * time.Second
	updateTimeout = time.Second // an update without effect for this long is presumed lost
	hellosInTurn  = 3           // hosts in each round of hellos that are chosen by rotation
	discoveryTime = time.Second // a host without an active version collects updates for this long
	snapshotEvery = 500         // log entries between snapshots
	driftDivisor  = 10          // clocks drift apart by at most a tenth of a lease
	maxCommands   = 16          // edits per log entry
)

// Start starts the replica, if this host is a member, and activates the version
// stored on disk.
func (k *Keeper) Start() {
	now := k.Now()
	k.peers = map[string]*peer{}
	k.requests = map[uint64]*pendingRequest{}
	k.nextRequest = k.Random()
	k.discoverUntil = now.Add(discoveryTime)
	for _, h := range k.Hosts {
		if h.Name != k.Self.Name {
			k.peers[h.Name] = &peer{reachable: true}
		}
	}
	if k.isMember(k.Self.Name) {
		k.startReplica()
	}
	if k.Disk != nil && k.Disk.Active.Version > 0 {
		k.activate(k.Disk.Active, time.Time{})
	}
}

func (k *Keeper) isMember(host string) bool {
	return slices.Contains(k.Members, host)
}

func (k *Keeper) startReplica() {
	k.registry = lists.NewRegistry()
	cfg := quorum.Config{
		Heartbeat:       k.Heartbeat,
		ElectionTimeout: k.Election,
		Lease:           k.Lease,
		MaxClockDrift:   k.Lease / driftDivisor,
		SnapshotEvery:   snapshotEvery,
		Durable:         k.Disk != nil,
	}
	for i, m := range k.Members {
		cfg.Members = append(cfg.Members, quorum.Member{Name: m})
		if m == k.Self.Name {
			cfg.Self = i
		}
	}
	opts := []quorum.Option{quorum.WithRandom(k.Random), quorum.WithSnapshot(k.snapshot)}
	if k.Disk != nil && k.Disk.Saved != nil {
		opts = append(opts, quorum.WithState(*k.Disk.Saved))
	}
	if k.Disk != nil && k.Disk.StateLost {
		opts = append(opts, quorum.WithRecovering())
	}
	k.replica = quorum.New(cfg, opts...)
	k.log = k.newLog()
}

func (k *Keeper) newLog() *replog.Log[lists.Command, lists.Result] {
	l := &replog.Log[lists.Command, lists.Result]{
		Replica: k.replica,
		Encode:  k.Codec.Commands,
		Decode:  k.Codec.FromCommands,
		Stamp:   func(c *lists.Command, now time.Time) { c.At = now },
		Apply:   k.apply,
		Reset:   func() { k.registry = lists.NewRegistry() },
		Install: k.install,
		Send: func(m quorum.Message) {
			_ = k.Send(m.To, msgs.ServiceLists, m) // the protocol resends lost messages
		},
		Fail:  k.Hooks.Failed,
		Batch: maxCommands,
	}
	if k.Disk != nil {
		l.Persist = k.Disk.Persist
	}
	return l
}

func (k *Keeper) snapshot() []byte {
	data, err := k.Codec.Snapshot(k.registry.Snapshot())
	if err != nil {
		k.Hooks.Failed(err)
	}
	return data
}

func (k *Keeper) install(data []byte) error {
	s, err := k.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	registry, err := lists.Restore(s)
	if err != nil {
		return err
	}
	k.registry = registry
	k.activate(registry.Update(), time.Time{})
	return nil
}

func (k *Keeper) apply(c lists.Command) lists.Result {
	r := k.registry.Apply(c)
	if r.Changed && !r.Repeated {
		k.activate(k.registry.Update(), c.At)
	}
	return r
}

// Handle processes one message.
func (k *Keeper) Handle(msg any) {
	now := k.Now()
	switch m := msg.(type) {
	case quorum.Message:
		if k.replica != nil {
			k.replica.Step(m, now)
		}
	case msgs.Hello:
		k.handleHello(m, now)
	case msgs.ListsUpdate:
		k.handleUpdate(m, now)
	case msgs.ListsAsk:
		k.serve(m)
	case msgs.ListsDone:
		k.completeRequest(m)
	case Request:
		k.submit(m, now)
	case PeerState:
		k.handlePeerState(m)
	case Inspect:
		m.Reply(k.inspect(now))
	}
	k.process(now)
}

// Tick runs the replica's timers, sends hellos and retries requests.
func (k *Keeper) Tick() {
	now := k.Now()
	if k.replica != nil {
		k.replica.Tick(now)
	}
	k.activatePending(now)
	k.sendHellos(now)
	k.retryRequests(now)
	k.process(now)
}

// process advances the log of the lists group. Queued edits are dropped when this
// host ceases to be the primary; their requesters retry.
func (k *Keeper) process(now time.Time) {
	if k.log == nil {
		return
	}
	k.checkReady(now) // Ready reports the version before queued edits are committed
	k.log.Process(now)
	leading := k.replica.Status(now).Leading
	if k.wasLeader && !leading {
		k.log.DropPending()
	}
	k.wasLeader = leading
	k.checkReady(now)
}

// checkReady calls Hooks.Ready once, when the local replica has the committed lists.
func (k *Keeper) checkReady(now time.Time) {
	if k.ready {
		return
	}
	status := k.replica.Status(now)
	if !status.Recovering && status.Voting {
		k.ready = true
		k.Hooks.Ready(k.registry.Update().Version)
	}
}
