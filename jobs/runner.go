package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

// Config is what a Runner is told at its start.
type Config struct {
	Self           model.Host
	Hosts          []model.Host // all entry hosts, this one too
	DataCentres    []string     // in a fixed order
	Heartbeat      time.Duration
	RequestTimeout time.Duration // for an answer of another host
	MaxJobs        int
	MaxTasks       int
	MaxBody        int // bytes of one task's body
	AloneTimes     quota.AloneTimes
}

// Runner runs the jobs of one entry host.
type Runner struct {
	Config
	Now    func() time.Time
	Random func() uint64

	// Send hands a message to a service of a host; an error means that it was
	// certainly not taken.
	Send func(to, service string, body any) error
	// Call hands over a task call, of which CallEnded will tell the end.
	Call func(c Call)
	// Revoke asks to stop a call.
	Revoke func(r Revoke)
	// Count receives what is counted.
	Hooks Hooks

	jobs             map[string]*job
	joined           map[string][]*job   // by original job
	grants           map[uint64]*grant   // calls outstanding
	requests         map[uint64]*request // questions to other hosts
	unreachable      map[string]bool     // hosts that can't be reached
	loads            map[string]*load    // by data centre
	lists            lists.Force         // the lists in force
	lease            lease
	alone            quota.Alone
	promised         time.Duration // PromiseAt of the lease by which this host promises not to serve alone
	pendingDone      []msgs.Done   // slots to give back once there is a primary
	installation     msgs.Installation
	incarnation      uint64
	lastRenewal      time.Time
	renewalBroadcast bool          // the last renewal went to every host of the data centre
	startedAt        time.Time     // from which SentAt counts, so that a step of the clock moves no lease
	lastAcked        time.Duration // SentAt of the newest renewal that was answered
	nextRequest      uint64
	nextRelay        int
	stopping         bool
}

// Counters are the seams for metrics.
type Hooks struct {
	JobEnded       func(state model.JobState, code model.Code, ratio float64)
	TaskResult     func(r msgs.Result)
	Retried        func(reason string)
	LeaseLost      func(view uint64)                 // the lease has ended
	ServingAlone   func(serving bool)                // serving alone has begun or ended
	AloneTask      func()                            // a task call has begun while serving alone
	PrimaryChanged func(primary string, view uint64) // another primary leads
	JobsInFlight   func(jobs int)                    // in flight
}

// grant is a call that is outstanding.
type grant struct {
	msg msgs.Grant
	job string
}

// Start prepares an empty Runner.
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

// Handle takes one message.
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
		r.lists = m.Force
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

// Tick does what is due by time.
func (r *Runner) Tick() {
	now := r.Now()
	r.Hooks.JobsInFlight(len(r.jobs))
	r.sendRenewal(now)
	r.checkLease(now)
	r.checkAlone(now)
	r.expireJobs(now)
	r.expireRequests(now)
}

// Drain begins a graceful stop and reports whether all jobs have ended.
func (r *Runner) Drain() bool {
	r.stopping = true
	return r.idle()
}

func (r *Runner) idle() bool {
	return len(r.jobs) == 0 && len(r.grants) == 0
}
