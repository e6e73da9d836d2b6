package group

import (
	"iter"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/place"
	"dogwoodrock.example/dogwoodrock/quorum"
	"dogwoodrock.example/dogwoodrock/quota"
	"dogwoodrock.example/dogwoodrock/replog"
)

// Config is what a Node is told at its start.
type Config struct {
	Self         model.Host
	Members      []model.Host // entry hosts of the data centre, this one too
	Disks        []string     // members with a data folder
	Heartbeat    time.Duration
	Lease        time.Duration
	Election     time.Duration
	BackendLease time.Duration
	KeyWindow    time.Duration
	SessionEpoch time.Duration
	TaskTimeout  time.Duration // longest run of a task
	Hosts        []model.Host  // all entry hosts, for loans and loads
	DataCentres  []string      // in a fixed order
	Alone        quota.AloneTimes
}

// Codec holds the functions that encode the log and the snapshots.
type Codec struct {
	Entries      func([]msgs.Entry) ([]byte, error)
	FromEntries  func([]byte) ([]msgs.Entry, error)
	Snapshot     func(parts iter.Seq[msgs.GroupSnapshot]) ([]byte, error)
	FromSnapshot func([]byte) (msgs.GroupSnapshot, error)
}

// Hooks are the seams for events, metrics and the installation mark.
type Hooks struct {
	Expelled    func(host string, jobs int, fence uint64)
	HostLeft    func(host string) // as planned
	Announced   func(b model.BackendServer)
	BackendLeft func(name string)
	Placed      func(e place.Event)
	Refused     func(code model.Code)
	Begun       func()          // the book has begun: the installation is no longer fresh
	Failed      func(err error) // the log can't be encoded or decoded
	Fresh       func() bool     // the data folder shows that the data centre never ran before
}

// Lists puts a version of the operators' lists in force.
type Lists struct {
	Lists model.Lists
}

// Node is one member of the data-centre group.
type Node struct {
	Config
	Codec  Codec
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error
	Spawn  func(work func() any) // runs work in another task, whose result the Node then handles

	replica       *quorum.Replica
	startedAt     time.Time // of the clock that the log is stamped by
	registry      *claim.Registry
	ledger        *quota.Ledger
	log           *replog.Log[msgs.Entry, msgs.Effect]
	lists         model.Lists
	plans         map[string]model.Plan // by customer
	nextHost      int                   // of hosts in other data centres
	backends      map[string]announcement
	learned       place.Learned                // by the latest primary
	primary       *primaryState                // nil while another host leads
	alone         *placerState                 // nil unless this host serves alone
	installations map[string]msgs.Installation // what the members' data folders show
	departed      map[string]uint64            // incarnations of hosts that said they stop
}

// announcement is what a backend server told last.
type announcement struct {
	server  model.BackendServer
	expires time.Time
}

// leading is the state that only the primary holds.
type primaryState struct {
	placerState
	generation        uint64
	since             time.Time
	epochStartedAt    time.Time
	beginProposed     bool // a Begin was proposed
	promises          *quota.Promises
	promiseValid      []bool // which members' promises held last
	hosts             map[string]*hostState
	joinedHosts       map[string][]string       // hosts that wait for a job's outcome
	pendingFetches    map[string][]pendingFetch // fetchers that wait for a job's outcome
	loans             loanState
	loadSentAt        time.Time
	logTimeAdvancedAt time.Time
	sentLoads         []msgs.ServiceLoad
	learnedSentAt     time.Time
}

// placing is the state of placing tasks, as primary or alone.
type placerState struct {
	view          uint64
	placer        *place.Placer
	grants        map[uint64]place.Grant
	refusalCounts map[string]map[model.Code]uint64
	shares        map[string]place.Share // that the placer was given last
}

func newPlacerState(view uint64, p *place.Placer) placerState {
	return placerState{view: view, placer: p, grants: map[uint64]place.Grant{}, refusalCounts: map[string]map[model.Code]uint64{}}
}

// placing returns the state of placing tasks, or nil when this host places none.
func (n *Node) activePlacer() *placerState {
	if n.primary != nil {
		return &n.primary.placerState
	}
	return n.alone
}

// member is an entry host as the primary sees it.
type hostState struct {
	incarnation uint64
	renewedAt   time.Time
	joining     bool
	reported    bool // the placer knows its outstanding grants
}

// waiting is a fetcher that waits for an outcome.
type pendingFetch struct {
	msg     msgs.Fetch
	expires time.Time
}

// Start prepares the replica and an empty book.
func (n *Node) Start() {
	n.startedAt = n.Now()
	n.backends = map[string]announcement{}
	n.installations = map[string]msgs.Installation{}
	n.departed = map[string]uint64{}
	n.resetState()
	cfg := quorum.Config{
		Heartbeat:       n.Heartbeat,
		ElectionTimeout: n.Election,
		Lease:           n.Lease,
		MaxClockDrift:   n.Lease / driftDivisor,
		SnapshotEvery:   snapshotEvery,
	}
	for i, m := range n.Members {
		cfg.Members = append(cfg.Members, quorum.Member{Name: m.Name})
		if m.Name == n.Self.Name {
			cfg.Self = i
		}
	}
	n.replica = quorum.New(cfg,
		quorum.WithRandom(n.Random),
		quorum.WithAsyncSnapshot(n.beginSnapshot),
		quorum.WithFormAfter(formAfterElections*n.Election))
	n.log = n.newLog()
}

const (
	driftDivisor       = 10     // clocks drift apart by at most a tenth of a lease
	snapshotEvery      = 20_000 // log entries between snapshots
	formAfterElections = 3      // election timeouts before a majority without memory starts anew
)

// Handle takes one message. The lead is looked at first, since a host that was
// frozen may have lost it.
func (n *Node) Handle(msg any) {
	now := n.Now()
	n.updateLeadership(now)
	switch m := msg.(type) {
	case quorum.Message:
		n.replica.Step(m, now)
	case msgs.Renew:
		n.handleRenew(m, now)
	case msgs.HostLeave:
		n.recordDeparture(m)
	case msgs.BackendAnnounce:
		n.handleAnnounce(m.Server, now)
	case msgs.BackendLeave:
		n.removeBackend(m.Name, now)
	case msgs.Learned:
		n.storeLearned(m)
	case Lists:
		n.setLists(m.Lists, now)
	case encodedSnapshot:
		n.finishSnapshot(m)
	case Inspect:
		m.Reply(n.inspect(now))
	case msgs.StatusAsk:
		n.handleStatus(m, now)
	default:
		n.handleAsPrimary(msg, now)
	}
	n.processOutput(now)
}

// serve takes the messages that only the primary answers.
func (n *Node) handleAsPrimary(msg any, now time.Time) {
	if n.primary == nil {
		n.serveAlone(msg, now)
		return
	}
	switch m := msg.(type) {
	case msgs.Ask:
		n.handleAsk(m, now)
	case msgs.Finish:
		n.handleFinish(m)
	case msgs.Done:
		n.handleDone(m, now)
	case msgs.Drop:
		n.primary.placer.Cancel(m.Job, now)
	case msgs.Fetch:
		n.handleFetch(m, now)
	case msgs.CancelAsk:
		n.handleCancel(m)
	case msgs.SessionAsk:
		n.openSession(m)
	case msgs.UsageAsk:
		n.handleUsage(m, now)
	case msgs.LoanAsk:
		n.handleLoanAsk(m, now)
	case msgs.LoanDone:
		n.handleLoanDone(m, now)
	case msgs.LoanReturn:
		n.handleLoanReturn(m)
	}
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	n.replica.Tick(now)
	n.updateLeadership(now)
	n.expireBackends(now)
	if p := n.activePlacer(); p != nil {
		p.placer.Tick(now)
	}
	if n.primary != nil {
		n.expelExpiredHosts(now)
		n.rotateEpoch(now)
		n.advanceLogTime(now)
		n.expireFetches(now)
		n.manageLoans(now)
		n.broadcastLoad(now)
		n.broadcastLearned(learnedInterval, now)
	}
	n.processOutput(now)
}

// settle carries out what followed from a message or tick: log entries,
// messages, a change of leadership, grants.
func (n *Node) processOutput(now time.Time) {
	n.log.Process(now)
	n.updateLeadership(now)
	n.log.Process(now)
	n.sendPlacements()
}

// refuseNotLeading refuses what this host can't decide because it doesn't lead.
func (n *Node) refuseNotLeading(msg any) {
	refusal := &model.RefusalError{
		Code:       model.CodeUnavailable,
		Reason:     "the entry host " + n.Self.Name + " does not lead its data centre",
		RetryAfter: n.Lease,
	}
	switch m := msg.(type) {
	case msgs.Fetch:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.Fetched{Request: m.Request, Refusal: refusal})
	case msgs.CancelAsk:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.CancelDone{Request: m.Request, Refusal: refusal})
	case msgs.LoanAsk:
		if m.Hops++; m.Hops == 1 {
			n.forwardToPrimary(m)
		}
	case msgs.LoanReturn:
		if m.Hops++; m.Hops == 1 {
			n.forwardToPrimary(m)
		}
	case msgs.UsageAsk:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.UsageDone{Request: m.Request})
	case msgs.SessionAsk:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.SessionDone{Request: m.Request, Refusal: refusal})
	}
	// An Ask or a Finish is repeated to the next primary by the host that sent it.
}
