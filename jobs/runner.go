package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// Config is the static configuration of a Runner.
type Config struct {
	Self           model.Host
	Hosts          []model.Host // all entry hosts, including this one
	DataCentres    []string     // in a fixed order
	Heartbeat      time.Duration
	RequestTimeout time.Duration // for the answer of another host
	MaxJobs        int
	MaxTasks       int
	MaxBody        int // per task, in bytes
	AloneTimes     quota.AloneTimes
}

// Runner runs the jobs of one entry host.
type Runner struct {
	Config
	Now    func() time.Time
	Random func() uint64

	// Send sends a message to a service of a host. An error means that it was certainly not
	// delivered.
	Send func(to, service string, body any) error
	// Call starts a task call, whose result arrives as a CallEnded message.
	Call func(c Call)
	// Revoke asks the backend server of a call to stop its task.
	Revoke func(r Revoke)
	// Hooks are called for metrics and events.
	Hooks Hooks

	jobs             map[string]*job
	joined           map[string][]*job   // by original job
	grants           map[uint64]*grant   // outstanding calls, by grant
	requests         map[uint64]*request // outstanding, to other hosts
	unreachable      map[string]bool     // hosts that can't be reached
	loads            map[string]*load    // by data centre
	lists            lists.Active        // the active version
	lease            lease
	alone            quota.Alone
	promised         time.Duration // PromiseAt of the lease by which this host promises not to serve alone
	pendingDone      []msgs.Done   // slots to return once there is a primary
	installation     msgs.Installation
	incarnation      uint64
	lastRenewal      time.Time
	renewalBroadcast bool          // the last renewal was sent to every host of the data centre
	startedAt        time.Time     // SentAt is relative to it, so that a clock step shifts no lease
	lastAcked        time.Duration // SentAt of the newest renewal that was answered
	nextRequest      uint64
	nextRelay        int
	stopping         bool
}

// Hooks are the function fields through which a Runner reports metrics and events.
type Hooks struct {
	JobEnded       func(state model.JobState, code model.Code, ratio float64)
	TaskResult     func(r msgs.Result)
	Retried        func(reason string)
	LeaseLost      func(view uint64)                 // the lease has expired
	ServingAlone   func(serving bool)                // serving alone has started or ended
	AloneTask      func()                            // a task call has started while serving alone
	PrimaryChanged func(primary string, view uint64) // the primary has changed
	JobsInFlight   func(jobs int)                    // number of jobs in flight
}

// grant is an outstanding call.
type grant struct {
	msg msgs.Grant
	job string
}

// Start initializes the Runner. It needs Now and Random.
func (r *Runner) Start() {
	r.jobs = map[string]*job{}
	r.joined = map[string][]*job{}
	r.grants = map[uint64]*grant{}
	r.requests = map[uint64]*request{}
	r.unreachable = map[string]bool{}
	r.loads = map[string]*load{}
	r.incarnation = r.Self.Incarnation
	r.nextRequest = r.Random()
	r.startedAt = r.Now()
	r.alone = quota.NewAlone(r.AloneTimes, r.startedAt)
}

// Handle handles one message.
func (r *Runner) Handle(msg any) {
	switch m := msg.(type) {
	case Submit:
		r.submit(m)
	case msgs.Verdict:
		r.verdict(m)
	case msgs.Grant:
		r.granted(m)
	case CallEnded:
		r.callEnded(m)
	case msgs.Finished:
		r.finished(m)
	case msgs.JobRefused:
		r.jobRefused(m)
	case msgs.Lease:
		r.leased(m)
	case msgs.RevokeJob:
		r.revokeJob(m)
	case PeerState:
		r.peerState(m)
	case Lists:
		r.lists = m.Active
	case Installation:
		r.installation = m.State
	case msgs.Load:
		r.updateLoad(m)
	case Inspect:
		m.Reply(Report{Leased: r.leaseHolds(), Lists: r.lists.Update.Version, Jobs: len(r.jobs)})
	default:
		r.handleRequest(msg)
	}
}

// Tick renews the lease and handles expired leases, deadlines and timeouts.
func (r *Runner) Tick() {
	now := r.Now()
	r.Hooks.JobsInFlight(len(r.jobs))
	r.sendRenewal(now)
	r.checkLease(now)
	r.checkAlone(now)
	r.expireJobs(now)
	r.expireRequests(now)
}

// Drain starts a graceful stop, refuses new jobs and reports whether all jobs and calls have ended.
func (r *Runner) Drain() bool {
	r.stopping = true
	return r.idle()
}

func (r *Runner) idle() bool {
	return len(r.jobs) == 0 && len(r.grants) == 0
}
