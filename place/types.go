package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Request asks for slots for the tasks of one job.
type Request struct {
	Job         string
	Host        string // entry host that owns the job
	Incarnation uint64 // of the entry host
	Customer    string
	Tasks       []Shape
	Deadline    time.Time // when the job's answer is no longer useful, zero for never
	AcceptedAt  time.Time // when the job was accepted, zero for now

	NonIdempotent bool // avoid using its tasks as probes
}

// Shape describes a task to the placer.
type Shape struct {
	Index        int // position of the task in its job
	Service      string
	Expected     time.Duration // declared run time, 0 when unknown; only a prior for the learned one
	MemoryBytes  int64
	Accelerators int
}

// Grant allows one start of one task on one slot of a backend server.
type Grant struct {
	ID            uint64
	Job           string
	Task          int // index of the task within its job
	Customer      string
	Host          string // entry host that makes the call
	Incarnation   uint64
	BackendServer string
	Address       string
	Service       string
	Connections   int           // connections that the backend server accepts from all entry hosts together
	Expected      time.Duration // learned run time on this backend server
	MemoryBytes   int64
	Accelerators  int
	Probe         bool // the task tests an ejected backend server
}

// Result is the outcome of a granted task.
type Result int

// The results of a granted task.
const (
	Succeeded  Result = iota
	Failed            // the backend server reported a failure
	NotStarted        // the task certainly did not start
	Unknown           // the task may or may not have run
	Withdrawn         // the entry host returned the grant without calling the backend server
)

// String returns the name used in counters and logs.
func (r Result) String() string {
	switch r {
	case Succeeded:
		return "Succeeded"
	case Failed:
		return "Failed"
	case NotStarted:
		return "NotStarted"
	case Withdrawn:
		return "Withdrawn"
	default:
		return "Unknown"
	}
}

// Completion reports the end of a granted task. Reports of unknown grants are ignored.
type Completion struct {
	Grant   uint64
	Result  Result
	RunTime time.Duration
}

// Refusal informs the entry host of a queued job that its waiting tasks were dropped.
type Refusal struct {
	Job         string
	Host        string
	Incarnation uint64
	Customer    string
	Refusal     *model.RefusalError
}

// Kind is the kind of an event.
type Kind string

// The kinds of events.
const (
	Ejected  Kind = "Ejected"  // a backend server receives no more tasks of a service
	Probed   Kind = "Probed"   // an ejected backend server received one task
	Restored Kind = "Restored" // a probe succeeded
	Lapsed   Kind = "Lapsed"   // the lease of an announcement expired
	Released Kind = "Released" // a grant whose end nobody can report was released after its bounded time
)

// Cause is the reason for an event.
type Cause string

// The causes of events.
const (
	CauseFailing  Cause = "Failing"  // fails tasks that its peers complete
	CauseRefusing Cause = "Refusing" // takes no tasks from entry hosts that reach its peers
	CauseSlow     Cause = "Slow"     // runs tasks far slower than its peers
	CauseLease    Cause = "Lease"
	CauseHostLost Cause = "HostLost"
	CauseLeft     Cause = "Left"
)

// Event reports a decision for logs and counters.
type Event struct {
	Kind          Kind
	Cause         Cause
	BackendServer string
	Service       string
	Grant         uint64        // of a released grant
	Interval      time.Duration // until the next probe
}

// Output holds the results of the inputs since the last Drain.
type Output struct {
	Grants   []Grant
	Refusals []Refusal
	Events   []Event
}
