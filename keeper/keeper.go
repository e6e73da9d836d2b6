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

// Config is what a Node is told at its start.
type Config struct {
	Self           model.Host
	Hosts          []model.Host // all entry hosts, this one too
	Members        []string     // hosts of the lists group
	Heartbeat      time.Duration
	Lease          time.Duration
	Election       time.Duration
	RequestTimeout time.Duration // for the lists group to decide on an edit
}

// Codec holds the functions that encode the log and the snapshots.
type Codec struct {
	Commands     func([]lists.Command) ([]byte, error)
	FromCommands func([]byte) ([]lists.Command, error)
	Snapshot     func(lists.Snapshot) ([]byte, error)
	FromSnapshot func([]byte) (lists.Snapshot, error)
}

// Disk is what a host with a data folder keeps.
type Disk struct {
	Saved      *quorum.Saved                 // nil when nothing was saved
	Persist    func(p *quorum.Persist) error // syncs what the replica must not forget
	SaveActive func(u lists.Update) error    // syncs what is about to be put in force
	Active     lists.Update                  // what was in force when the process ended
	StateLost  bool                          // the folder lost its state
}

// Hooks are the seams for events and for the services that follow the lists.
type Hooks struct {
	Activated     func(f lists.Active, delay time.Duration) // delay is 0 when unknown
	Ready         func(version uint64)                      // the replica on this host knows the lists
	Failed        func(err error)
	Replicated    func(version uint64, took time.Duration) // every reachable host has the version
	HelloReceived func(host, address string)               // another host said hello

	// Restarted hears that another process of a host said hello.
	Restarted func(host string)
}

// Node is one host's part in keeping the lists.
type Keeper struct {
	Config
	Codec  Codec
	Disk   *Disk // nil on a host without a data folder
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error

	replica       *quorum.Replica // nil on a host that is no member
	log           *replog.Log[lists.Command, lists.Result]
	registry      *lists.Registry
	wasLeader     bool
	ready         bool
	active        lists.Active
	pending       lists.Update // newest heard while settling
	discoverUntil time.Time    // until then a host that starts empty only listens
	peers         map[string]*peer
	requests      map[uint64]*pendingRequest
	nextRequest   uint64
	nextMember    int
	lastHello     time.Time
	helloOffset   int // position in Hosts
	replication   replication
}

// peer is another host as its hellos show it.
type peer struct {
	processes model.Processes
	version   uint64
	seen      time.Time
	reachable bool
	sent      uint64 // newest version that was sent to it
	sentAt    time.Time
}

// spread follows how a version comes into force everywhere.
type replication struct {
	version   uint64
	startedAt time.Time
	duration  time.Duration
	done      bool
}

const (
	helloInterval = 2 * time.Second
	updateTimeout = time.Second // after which an update without effect seems lost
	hellosInTurn  = 3           // hosts in turn that are told each time
	discoveryTime = time.Second // in which a host that starts empty looks for the newest version
	snapshotEvery = 500         // log entries between snapshots
	driftDivisor  = 10          // clocks drift apart by at most a tenth of a lease
	maxCommands   = 16          // edits in one log entry
)

// Start prepares the replica, if this host is a member, and what was in force.
func (n *Keeper) Start() {
	now := n.Now()
	n.peers = map[string]*peer{}
	n.requests = map[uint64]*pendingRequest{}
	n.nextRequest = n.Random()
	n.discoverUntil = now.Add(discoveryTime)
	for _, h := range n.Hosts {
		if h.Name != n.Self.Name {
			n.peers[h.Name] = &peer{reachable: true}
		}
	}
	if n.isMember(n.Self.Name) {
		n.startReplica()
	}
	if n.Disk != nil && n.Disk.Active.Version > 0 {
		n.activate(n.Disk.Active, time.Time{})
	}
}

func (n *Keeper) isMember(host string) bool {
	return slices.Contains(n.Members, host)
}

func (n *Keeper) startReplica() {
	n.registry = lists.NewRegistry()
	cfg := quorum.Config{
		Heartbeat:       n.Heartbeat,
		ElectionTimeout: n.Election,
		Lease:           n.Lease,
		MaxClockDrift:   n.Lease / driftDivisor,
		SnapshotEvery:   snapshotEvery,
		Durable:         n.Disk != nil,
	}
	for i, m := range n.Members {
		cfg.Members = append(cfg.Members, quorum.Member{Name: m})
		if m == n.Self.Name {
			cfg.Self = i
		}
	}
	opts := []quorum.Option{quorum.WithRandom(n.Random), quorum.WithSnapshot(n.snapshot)}
	if n.Disk != nil && n.Disk.Saved != nil {
		opts = append(opts, quorum.WithState(*n.Disk.Saved))
	}
	if n.Disk != nil && n.Disk.StateLost {
		opts = append(opts, quorum.WithRecovering())
	}
	n.replica = quorum.New(cfg, opts...)
	n.log = n.newLog()
}

func (n *Keeper) newLog() *replog.Log[lists.Command, lists.Result] {
	l := &replog.Log[lists.Command, lists.Result]{
		Replica: n.replica,
		Encode:  n.Codec.Commands,
		Decode:  n.Codec.FromCommands,
		Stamp:   func(c *lists.Command, now time.Time) { c.At = now },
		Apply:   n.apply,
		Reset:   func() { n.registry = lists.NewRegistry() },
		Install: n.install,
		Send: func(m quorum.Message) {
			_ = n.Send(m.To, msgs.ServiceLists, m) // the protocol repeats what is lost
		},
		Fail:  n.Hooks.Failed,
		Batch: maxCommands,
	}
	if n.Disk != nil {
		l.Persist = n.Disk.Persist
	}
	return l
}

func (n *Keeper) snapshot() []byte {
	data, err := n.Codec.Snapshot(n.registry.Snapshot())
	if err != nil {
		n.Hooks.Failed(err)
	}
	return data
}

func (n *Keeper) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	book, err := lists.Restore(s)
	if err != nil {
		return err
	}
	n.registry = book
	n.activate(book.Update(), time.Time{})
	return nil
}

func (n *Keeper) apply(c lists.Command) lists.Result {
	r := n.registry.Apply(c)
	if r.Changed && !r.Repeated {
		n.activate(n.registry.Update(), c.At)
	}
	return r
}

// Handle takes one message.
func (n *Keeper) Handle(msg any) {
	now := n.Now()
	switch m := msg.(type) {
	case quorum.Message:
		if n.replica != nil {
			n.replica.Step(m, now)
		}
	case msgs.Hello:
		n.handleHello(m, now)
	case msgs.ListsUpdate:
		n.handleUpdate(m, now)
	case msgs.ListsAsk:
		n.serve(m)
	case msgs.ListsDone:
		n.completeRequest(m)
	case Request:
		n.submit(m, now)
	case PeerState:
		n.handlePeerState(m)
	case Inspect:
		m.Reply(n.inspect(now))
	}
	n.process(now)
}

// Tick does what is due by time.
func (n *Keeper) Tick() {
	now := n.Now()
	if n.replica != nil {
		n.replica.Tick(now)
	}
	n.activatePending(now)
	n.sendHellos(now)
	n.retryRequests(now)
	n.process(now)
}

func (n *Keeper) process(now time.Time) {
	if n.log == nil {
		return
	}
	n.checkReady(now) // before an edit that waits is committed
	n.log.Process(now)
	leading := n.replica.Status(now).Leading
	if n.wasLeader && !leading {
		n.log.DropPending()
	}
	n.wasLeader = leading
	n.checkReady(now)
}

// checkReady tells once that the replica on this host knows the lists.
func (n *Keeper) checkReady(now time.Time) {
	if n.ready {
		return
	}
	status := n.replica.Status(now)
	if !status.Recovering && status.Voting {
		n.ready = true
		n.Hooks.Ready(n.registry.Update().Version)
	}
}
