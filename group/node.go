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
	Expelled  func(host string, jobs int, fence uint64)
	HostLeft  func(host string) // as planned
	Announced func(b model.BackendServer)
	Left      func(name string)
	Placed    func(e place.Event)
	Refused   func(code model.Code)
	Begun     func()          // the book has begun: the installation is no longer fresh
	Failed    func(err error) // the log can't be encoded or decoded
	Fresh     func() bool     // the data folder shows that the data centre never ran before
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

	replica  *quorum.Replica
	origin   time.Time // of the clock that the log is stamped by
	book     *claim.Registry
	ledger   *quota.Ledger
	log      *replog.Log[msgs.Entry, msgs.Effect]
	lists    model.Lists
	plans    map[string]model.Plan // by customer
	turn     int                   // of hosts in other data centres
	backends map[string]announcement
	learned  place.Learned                // by the latest primary
	leading  *leading                     // nil while another host leads
	alone    *placing                     // nil unless this host serves alone
	shown    map[string]msgs.Installation // what the members' data folders show
	left     map[string]uint64            // incarnations of hosts that said they stop
}

// announcement is what a backend server told last.
type announcement struct {
	server  model.BackendServer
	expires time.Time
}

// leading is the state that only the primary holds.
type leading struct {
	placing
	generation  uint64
	since       time.Time
	rotated     time.Time
	beginning   bool // a Begin was proposed
	promises    *quota.Promises
	held        []bool // which members' promises held last
	hosts       map[string]*member
	joins       map[string][]string  // hosts that wait for a job's outcome
	fetches     map[string][]waiting // fetchers that wait for a job's outcome
	loans       loans
	loadSent    time.Time
	timeMoved   time.Time
	loadTold    []msgs.ServiceLoad
	learnedSent time.Time
}

// placing is the state of placing tasks, as primary or alone.
type placing struct {
	view    uint64
	placer  *place.Placer
	grants  map[uint64]place.Grant
	refused map[string]map[model.Code]uint64
	shares  map[string]place.Share // that the placer was given last
}

func newPlacing(view uint64, p *place.Placer) placing {
	return placing{view: view, placer: p, grants: map[uint64]place.Grant{}, refused: map[string]map[model.Code]uint64{}}
}

// placing returns the state of placing tasks, or nil when this host places none.
func (n *Node) placing() *placing {
	if n.leading != nil {
		return &n.leading.placing
	}
	return n.alone
}

// member is an entry host as the primary sees it.
type member struct {
	incarnation uint64
	seen        time.Time
	joining     bool
	reported    bool // the placer knows its outstanding grants
}

// waiting is a fetcher that waits for an outcome.
type waiting struct {
	msg     msgs.Fetch
	expires time.Time
}

// Start prepares the replica and an empty book.
func (n *Node) Start() {
	n.origin = n.Now()
	n.backends = map[string]announcement{}
	n.shown = map[string]msgs.Installation{}
	n.left = map[string]uint64{}
	n.resetState()
	cfg := quorum.Config{
		Heartbeat:       n.Heartbeat,
		ElectionTimeout: n.Election,
		Lease:           n.Lease,
		MaxClockDrift:   n.Lease / driftShare,
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
		quorum.WithFormAfter(formAfter*n.Election))
	n.log = n.newLog()
}

const (
	driftShare    = 10     // clocks drift apart by at most a tenth of a lease
	snapshotEvery = 20_000 // log entries between snapshots
	formAfter     = 3      // election timeouts before a majority without memory starts anew
)

// Handle takes one message. The lead is looked at first, since a host that was
// frozen may have lost it.
func (n *Node) Handle(msg any) {
	now := n.Now()
	n.lead(now)
	switch m := msg.(type) {
	case quorum.Message:
		n.replica.Step(m, now)
	case msgs.Renew:
		n.renew(m, now)
	case msgs.HostLeave:
		n.hostLeave(m)
	case msgs.BackendAnnounce:
		n.announce(m.Server, now)
	case msgs.BackendLeave:
		n.leave(m.Name, now)
	case msgs.Learned:
		n.noteLearned(m)
	case Lists:
		n.setLists(m.Lists, now)
	case snapshotted:
		n.snapshotted(m)
	case Inspect:
		m.Reply(n.inspect(now))
	case msgs.StatusAsk:
		n.status(m, now)
	default:
		n.serve(msg, now)
	}
	n.settle(now)
}

// serve takes the messages that only the primary answers.
func (n *Node) serve(msg any, now time.Time) {
	if n.leading == nil {
		n.serveAlone(msg, now)
		return
	}
	switch m := msg.(type) {
	case msgs.Ask:
		n.ask(m, now)
	case msgs.Finish:
		n.finish(m)
	case msgs.Done:
		n.done(m, now)
	case msgs.Drop:
		n.leading.placer.Cancel(m.Job, now)
	case msgs.Fetch:
		n.fetch(m, now)
	case msgs.CancelAsk:
		n.cancel(m)
	case msgs.SessionAsk:
		n.openSession(m)
	case msgs.UsageAsk:
		n.usage(m, now)
	case msgs.LoanAsk:
		n.loanAsk(m, now)
	case msgs.LoanDone:
		n.loanDone(m, now)
	case msgs.LoanReturn:
		n.loanReturn(m)
	}
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	n.replica.Tick(now)
	n.lead(now)
	n.expireBackends(now)
	if p := n.placing(); p != nil {
		p.placer.Tick(now)
	}
	if n.leading != nil {
		n.expel(now)
		n.rotate(now)
		n.moveTime(now)
		n.expireFetches(now)
		n.tendLoans(now)
		n.tellLoad(now)
		n.tellLearned(learnedInterval, now)
	}
	n.settle(now)
}

// settle carries out what followed from a message or tick: log entries,
// messages, a change of leadership, grants.
func (n *Node) settle(now time.Time) {
	n.log.Process(now)
	n.lead(now)
	n.log.Process(now)
	n.place()
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
			n.passOn(m)
		}
	case msgs.LoanReturn:
		if m.Hops++; m.Hops == 1 {
			n.passOn(m)
		}
	case msgs.UsageAsk:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.UsageDone{Request: m.Request})
	case msgs.SessionAsk:
		_ = n.Send(m.Host, msgs.ServiceJobs, msgs.SessionDone{Request: m.Request, Refusal: refusal})
	}
	// An Ask or a Finish is repeated to the next primary by the host that sent it.
}
