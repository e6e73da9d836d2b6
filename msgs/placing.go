package msgs

import (
	"math"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Grant gives one task a slot of a backend server.
type Grant struct {
	ID            uint64
	Job           string
	Task          int
	BackendServer string
	Address       string
	Connections   int // maximum number from this host to the backend server
	View          uint64
	Fence         uint64
	Host          string
	Incarnation   uint64
	Service       string
	Customer      string
	Expected      time.Duration
	MemoryBytes   int64
	Accelerators  int
}

// Result is the result of a task call.
type Result int

// The results of a task call.
const (
	ResultSucceeded  Result = iota + 1
	ResultFailed            // it started, and failed
	ResultNotStarted        // it certainly did not start
	ResultUnknown           // it may have started
	ResultWithdrawn         // no call was made
)

// String returns the name for logs and counters.
func (r Result) String() string {
	switch r {
	case ResultSucceeded:
		return "Succeeded"
	case ResultFailed:
		return "Failed"
	case ResultNotStarted:
		return "NotStarted"
	case ResultWithdrawn:
		return "Withdrawn"
	default:
		return "Unknown"
	}
}

// Done reports the completion of a granted task and releases its slot.
type Done struct {
	Grant  uint64
	View   uint64
	Result Result
	Ran    time.Duration
	Host   string
}

// Drop cancels the queued tasks of a job.
type Drop struct {
	Job  string
	Host string
}

// JobRefused notifies the host that runs a job that its tasks won't be placed.
type JobRefused struct {
	Job     string
	Refusal *model.RefusalError
}

// Installation is the state of a data centre according to the data folder of a host.
type Installation int

// The states of an installation.
const (
	InstallationUnknown Installation = iota // no data folder, or the lists are not known yet
	InstallationFresh                       // the data centre has never run before
	InstallationMarked                      // the data centre has run before
)

// Renew is the heartbeat of an entry host to the hosts of its data centre.
type Renew struct {
	Host         string
	Incarnation  uint64
	SentAt       time.Duration // since the start of the process, by its monotonic clock
	Generation   uint64
	View         uint64
	ListsVersion uint64
	Installation Installation
	Reported     bool // Outstanding holds all grants of the host
	Outstanding  []Grant
	Promised     time.Duration // PromiseAt of the lease that the host answers with its promise not to serve alone, 0 for no promise
	Alone        bool          // requests the host's own group service to serve alone
}

// HostLeave announces that an entry host has finished its work and stops.
type HostLeave struct {
	Host        string
	Incarnation uint64
}

// Lease is the primary's answer to a Renew: the host may start tasks until
// Duration has passed since the Renew was sent.
type Lease struct {
	Primary    string
	Generation uint64 // changes when the group has lost its state
	View       uint64
	Fence      uint64
	SentAt     time.Duration // of the Renew
	Duration   time.Duration
	NeedReport bool          // the primary doesn't know the host's outstanding grants
	Expelled   bool          // the host was expelled: its jobs have failed
	PromiseAt  time.Duration // when the primary sent the lease, by its monotonic clock
	Unused     bool          // no earlier process of the host can have served alone since its last promise
	Alone      bool          // sent by the host itself, which serves alone
}

// AloneView is the view number in the grants and leases of a host that serves alone.
const AloneView = math.MaxUint64

// BackendAnnounce forwards the announcement of a backend server.
type BackendAnnounce struct {
	Server model.BackendServer
}

// BackendLeave forwards that a backend server leaves.
type BackendLeave struct {
	Name       string
	DataCentre string
}

// Hello announces this host and its address to another host.
type Hello struct {
	Host         string
	Address      string // on which it accepts connections of other hosts, from its own settings
	Incarnation  uint64
	ListsVersion uint64
}

// Load reports the load of a data centre to the hosts of all data centres.
type Load struct {
	DataCentre string
	Services   []ServiceLoad
}

// ServiceLoad is the load of the backend servers of one service.
type ServiceLoad struct {
	Service string
	Idle    int           // idle slots
	Wait    time.Duration // estimated time until the queued tasks have started
}

// Learned carries the run times that a data centre's primary has learned to its other hosts, so that
// the next primary starts from them.
type Learned struct {
	Speeds []LearnedSpeed
	Runs   []LearnedRun
}

// LearnedSpeed is the run time on a backend server relative to the other servers of the service.
type LearnedSpeed struct {
	BackendServer string
	Service       string
	Log           float64
	Count         float64 // samples
}

// LearnedRun is the run time of a customer's tasks, or of all customers' tasks if Customer is empty.
type LearnedRun struct {
	Customer string
	Service  string
	Log      float64 // mean logarithm of the run time in seconds
	Count    float64 // samples
	Average  float64 // seconds
	Variance float64 // variance of the logarithm
	Worst    time.Duration
}
