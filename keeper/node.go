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
	Self      model.Host
	Hosts     []model.Host // all entry hosts, this one too
	Members   []string     // hosts of the lists group
	Heartbeat time.Duration
	Lease     time.Duration
	Election  time.Duration
	Patience  time.Duration // for the lists group to decide on an edit
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
	Saved   *quorum.Saved                 // nil when nothing was saved
	Persist func(p *quorum.Persist) error // syncs what the replica must not forget
	InForce func(u lists.Update) error    // syncs what is about to be put in force
	Start   lists.Update                  // what was in force when the process ended
	Lost    bool                          // the folder lost its state
}

// Hooks are the seams for events and for the services that follow the lists.
type Hooks struct {
	InForce func(f lists.Force, delay time.Duration) // delay is 0 when unknown
	Ready   func(version uint64)                     // the replica on this host knows the lists
	Failed  func(err error)
	Spread  func(version uint64, took time.Duration) // every reachable host has the version
	Met     func(host, address string)               // another host said hello

	// Restarted hears that another process of a host said hello.
	Restarted func(host string)
}

// Node is one host's part in keeping the lists.
type Node struct {
	Config
	Codec  Codec
	Disk   *Disk // nil on a host without a data folder
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error

	replica     *quorum.Replica // nil on a host that is no member
	log         *replog.Log[lists.Command, lists.Result]
	book        *lists.Book
	wasLeading  bool
	ready       bool
	force       lists.Force
	pending     lists.Update // newest heard while settling
	settledAt   time.Time    // until then a host that starts empty only listens
	peers       map[string]*peer
	requests    map[uint64]*request
	nextRequest uint64
	nextMember  int
	lastHello   time.Time
	helloTurn   int // position in Hosts
	spread      spread
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
type spread struct {
	version uint64
	since   time.Time
	took    time.Duration
	done    bool
}

const (
	helloInterval = 2 * time.Second
	updateTimeout = time.Second // after which an update without effect seems lost
	helloOthers   = 3           // hosts in turn that are told each time
	settleTime    = time.Second // in which a host that starts empty looks for the newest version
	snapshotEvery = 500         // log entries between snapshots
	driftShare    = 10          // clocks drift apart by at most a tenth of a lease
	maxCommands   = 16          // edits in one log entry
)

// Start prepares the replica, if this host is a member, and what was in force.
func (n *Node) Start() {
	now := n.Now()
	n.peers = map[string]*peer{}
	n.requests = map[uint64]*request{}
	n.nextRequest = n.Random()
	n.settledAt = now.Add(settleTime)
	for _, h := range n.Hosts {
		if h.Name != n.Self.Name {
			n.peers[h.Name] = &peer{reachable: true}
		}
	}
	if n.isMember(n.Self.Name) {
		n.startReplica()
	}
	if n.Disk != nil && n.Disk.Start.Version > 0 {
		n.adopt(n.Disk.Start, time.Time{})
	}
}

func (n *Node) isMember(host string) bool {
	return slices.Contains(n.Members, host)
}

func (n *Node) startReplica() {
	n.book = lists.NewBook()
	cfg := quorum.Config{
		Heartbeat:       n.Heartbeat,
		ElectionTimeout: n.Election,
		Lease:           n.Lease,
		MaxClockDrift:   n.Lease / driftShare,
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
	if n.Disk != nil && n.Disk.Lost {
		opts = append(opts, quorum.WithRecovering())
	}
	n.replica = quorum.New(cfg, opts...)
	n.log = n.newLog()
}

func (n *Node) newLog() *replog.Log[lists.Command, lists.Result] {
	l := &replog.Log[lists.Command, lists.Result]{
		Replica: n.replica,
		Encode:  n.Codec.Commands,
		Decode:  n.Codec.FromCommands,
		Stamp:   func(c *lists.Command, now time.Time) { c.At = now },
		Apply:   n.apply,
		Reset:   func() { n.book = lists.NewBook() },
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

func (n *Node) snapshot() []byte {
	data, err := n.Codec.Snapshot(n.book.Snapshot())
	if err != nil {
		n.Hooks.Failed(err)
	}
	return data
}

func (n *Node) install(data []byte) error {
	s, err := n.Codec.FromSnapshot(data)
	if err != nil {
		return err
	}
	book, err := lists.Restore(s)
	if err != nil {
		return err
	}
	n.book = book
	n.adopt(book.Update(), time.Time{})
	return nil
}

func (n *Node) apply(c lists.Command) lists.Result {
	r := n.book.Apply(c)
	if r.Changed && !r.Repeated {
		n.adopt(n.book.Update(), c.At)
	}
	return r
}

// Handle takes one message.
func (n *Node) Handle(msg any) {
	now := n.Now()
	switch m := msg.(type) {
	case quorum.Message:
		if n.replica != nil {
			n.replica.Step(m, now)
		}
	case msgs.Hello:
		n.hello(m, now)
	case msgs.ListsUpdate:
		n.update(m, now)
	case msgs.ListsAsk:
		n.serve(m)
	case msgs.ListsDone:
		n.answered(m)
	case Ask:
		n.ask(m, now)
	case Peer:
		n.peerState(m)
	case Inspect:
		m.Reply(n.inspect(now))
	}
	n.settle(now)
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	if n.replica != nil {
		n.replica.Tick(now)
	}
	n.adoptPending(now)
	n.sayHello(now)
	n.retryRequests(now)
	n.settle(now)
}

func (n *Node) settle(now time.Time) {
	if n.log == nil {
		return
	}
	n.checkReady(now) // before an edit that waits is committed
	n.log.Process(now)
	leading := n.replica.Status(now).Leading
	if n.wasLeading && !leading {
		n.log.DropPending()
	}
	n.wasLeading = leading
	n.checkReady(now)
}

// checkReady tells once that the replica on this host knows the lists.
func (n *Node) checkReady(now time.Time) {
	if n.ready {
		return
	}
	status := n.replica.Status(now)
	if !status.Recovering && status.Voting {
		n.ready = true
		n.Hooks.Ready(n.book.Update().Version)
	}
}
