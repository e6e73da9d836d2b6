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

// Config is the configuration of a Member.
type Config struct {
	Self            model.Host
	Members         []model.Host // entry hosts of the data centre, including this one
	DiskMembers     []string     // members with a data folder
	Heartbeat       time.Duration
	Lease           time.Duration
	ElectionTimeout time.Duration
	BackendLease    time.Duration
	KeyWindow       time.Duration
	SessionEpoch    time.Duration
	TaskTimeout     time.Duration // maximum run time of a task
	Hosts           []model.Host  // entry hosts of all data centres, the recipients of loan requests and load reports
	DataCentres     []string      // all data centres, in the same order on every host
	Alone           quota.AloneTimes
}

// Codec holds the functions that encode and decode log entries and snapshots.
type Codec struct {
	Entries      func([]msgs.Entry) ([]byte, error)
	FromEntries  func([]byte) ([]msgs.Entry, error)
	Snapshot     func(parts iter.Seq[msgs.GroupSnapshot]) ([]byte, error)
	FromSnapshot func([]byte) (msgs.GroupSnapshot, error)
}

// Hooks are the callbacks for events, metrics and the installation mark.
type Hooks struct {
	Expelled    func(host string, jobs int, fence uint64)
	HostLeft    func(host string) // the host left after a planned stop, without failed jobs
	Announced   func(b model.BackendServer)
	BackendLeft func(name string)
	Placed      func(e place.Event)
	Refused     func(code model.Code)
	Begun       func()          // KindBegin was applied or a snapshot installed: the installation is no longer fresh
	Failed      func(err error) // the log or a snapshot can't be encoded or decoded
	Fresh       func() bool     // reports whether the data folder shows that the data centre has never run before
}

// Lists is the message that applies a version of the operators' lists.
type Lists struct {
	Lists model.Lists
}

// Member is one host's member of the data-centre group.
type Member struct {
	Config
	Codec  Codec
	Hooks  Hooks
	Now    func() time.Time
	Random func() uint64
	Send   func(to, service string, body any) error
	Spawn  func(work func() any) // runs work in another task and passes its result to Handle

	replica       *quorum.Replica
	startedAt     time.Time // start of the process; base of logTime and of PromiseAt
	registry      *claim.Registry
	ledger        *quota.Ledger
	log           *replog.Log[msgs.Entry, msgs.Effect]
	lists         model.Lists
	plans         map[string]model.Plan // by customer
	nextHost      int                   // round-robin counter over the hosts of other data centres
	backends      map[string]announcement
	learned       place.Learned                // run times learned by the latest primary
	primary       *primaryState                // nil unless this host is the primary
	alone         *placerState                 // nil unless this host serves alone
	installations map[string]msgs.Installation // state of the members' data folders, by host
	departed      map[string]uint64            // incarnations that announced a planned stop, by host
}

// announcement is the latest announcement of a backend server.
type announcement struct {
	server  model.BackendServer
	expires time.Time
}

// primaryState is the state that only the primary has.
type primaryState struct {
	placerState
	generation        uint64
	electedAt         time.Time
	epochStartedAt    time.Time
	beginProposed     bool // KindBegin was proposed
	promises          *quota.Promises
	promiseValid      []bool // by member: whether its promise was valid at the last check
	hosts             map[string]*hostState
	joinedHosts       map[string][]string       // hosts that joined a job and wait for its outcome, by job
	pendingFetches    map[string][]pendingFetch // by job
	loans             loanState
	loadSentAt        time.Time
	logTimeAdvancedAt time.Time
	sentLoads         []msgs.ServiceLoad
	learnedSentAt     time.Time
}

// placerState is the state for placing tasks, as the primary or while serving alone.
type placerState struct {
	view          uint64
	placer        *place.Placer
	grants        map[uint64]place.Grant
	refusalCounts map[string]map[model.Code]uint64
	shares        map[string]place.Share // last shares passed to the placer, by customer
}

func newPlacerState(view uint64, p *place.Placer) placerState {
	return placerState{view: view, placer: p, grants: map[uint64]place.Grant{}, refusalCounts: map[string]map[model.Code]uint64{}}
}

// activePlacer returns the state for placing tasks, or nil if this host places none.
func (n *Member) activePlacer() *placerState {
	if n.primary != nil {
		return &n.primary.placerState
	}
	return n.alone
}

// hostState is the primary's state of an entry host.
type hostState struct {
	incarnation uint64
	renewedAt   time.Time
	joining     bool
	reported    bool // the placer knows its outstanding grants
}

// pendingFetch is a Fetch that waits for the outcome of its job.
type pendingFetch struct {
	msg     msgs.Fetch
	expires time.Time
}

// Start creates the replica and an empty state. Call it once, before the first Handle or Tick.
func (n *Member) Start() {
	n.startedAt = n.Now()
	n.backends = map[string]announcement{}
	n.installations = map[string]msgs.Installation{}
	n.departed = map[string]uint64{}
	n.resetState()
	cfg := quorum.Config{
		Heartbeat:       n.Heartbeat,
		ElectionTimeout: n.ElectionTimeout,
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
		quorum.WithFormAfter(formAfterElections*n.ElectionTimeout))
	n.log = n.newLog()
}

const (
	driftDivisor       = 10     // clocks drift apart by at most a tenth of a lease in one lease
	snapshotEvery      = 20_000 // log entries between snapshots
	formAfterElections = 3      // election timeouts before a majority without state forms a new generation
)

// Handle processes one message. It checks the leadership first, since a host whose process was
// paused may no longer be the primary.
func (n *Member) Handle(msg any) {
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

// handleAsPrimary processes the messages that only the primary answers.
func (n *Member) handleAsPrimary(msg any, now time.Time) {
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

// Tick runs the timers of the replica, the placer and the primary's periodic work.
func (n *Member) Tick() {
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

// processOutput executes the consequences of a message or tick: log entries, messages, a change of
// leadership, and grants.
func (n *Member) processOutput(now time.Time) {
	n.log.Process(now)
	n.updateLeadership(now)
	n.log.Process(now)
	n.sendPlacements()
}

// refuseNotLeading refuses a request that only the primary can decide. It forwards requests about
// loans to the primary, at most once.
func (n *Member) refuseNotLeading(msg any) {
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
	// An Ask or a Finish gets no reply: its sender retries it at the next primary.
}
