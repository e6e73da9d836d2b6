package runs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Job is a job that the placer is asked to run.
type Job struct {
	ID          string
	Host        string // entry host that waits for the end
	Incarnation uint64 // of the entry host
	Hand        uint64 // number of the handover, which increases on the entry host
	Route       string
	Service     string
	Spec        string
	Tasks       int
	Demand      model.Demand
	Priority    int // 0 comes first among equally urgent jobs
	Attempts    int // number of failed runs of a task that fail the job
	Arrived     time.Time
	Objective   time.Duration // since Arrived, within which its end has full value
	Expires     time.Duration // since Arrived, after which no caller waits for it
	Again       bool          // an earlier placer may have started it
	Former      uint64        // epoch of the previous placer that had the job, 0 for none
	Held        time.Duration // since the previous placer got it from another one, 0 if it was the first
	Strict      bool          // refuse it if it can't meet its objective here, as another placer may take it
	RoomIn      int           // 1 + the shard that can start it now by its entry host's word, 0 for none

	RoomDataCentre string        // of the shard RoomIn, empty for the placer's own
	RoomDelay      time.Duration // that a move to RoomDataCentre takes
}

// Start orders a server to run a task.
type Start struct {
	Server   model.Server
	Task     string
	Run      int
	Spec     string
	Deadline int64 // end of the lease, in milliseconds on the server's clock
	Fence    uint64
}

// Stop orders a server to end a run, or never to start it.
type Stop struct {
	Server model.Server
	Task   string
	Run    int
	Fence  uint64
}

// Poll asks a server which runs are active and which have ended, and renews its lease.
type Poll struct {
	Server   model.Server
	Seq      uint64 // of the poll, returned with the result
	Cursor   uint64 // run ends up to this number are acknowledged
	Wait     time.Duration
	Deadline int64 // end of the lease, in milliseconds on the server's clock, 0 for none
	Fence    uint64
}

// End reports to an entry host how a job that it handed over has ended.
type End struct {
	Job         string
	Host        string
	Incarnation uint64 // of the entry host's process that handed it over
	Hand        uint64 // number of the handover
	Route       string
	State       model.JobEnd
	Reason      string
	RetryAfter  time.Duration
	Took        time.Duration // since the job arrived
	Waited      time.Duration // part of Took until the latest start; all of it while a task waits
	Wait        time.Duration // estimated time for the work ahead of it, unless it is complete
	Waiting     int           // number of jobs that waited
	Servers     int           // number of backend servers that could get tasks
	Evacuated   bool          // ended because the data centre is evacuated
	Cost        *CostInputs   // of a job that was refused because its loss costs least, otherwise nil
	RoomIn      int           // 1 + the shard that a refused job goes to because that one has room, 0 for none
	Unplaceable bool          // refused because no known server of this shard could ever run it

	RoomDataCentre string // of the shard RoomIn, empty for the placer's own
}

// CostInputs are the inputs of the decision to refuse a job because its loss costs least.
type CostInputs struct {
	Waited    bool          // it was waiting already, and is displaced
	Class     int           // of its value for its work, as of shed.Class
	Highest   int           // highest class among the jobs that were taken out of the queue
	Large     bool          // it belongs to the largest tenth of its route
	Work      float64       // run time of its tasks, in seconds of a core
	Rate      float64       // what the servers complete per second, in the same unit
	Start     time.Duration // expected start of its last task, from now
	Due, Last time.Duration // latest start to be in time, and to be of use, from now
}

// Outcome is the answer to an order.
type Outcome int

// The outcomes of an order. After all but OutcomeTaken and OutcomeUnknown the
// server is known not to have acted on it.
const (
	OutcomeTaken   Outcome = iota + 1
	OutcomeUnknown         // no answer
	OutcomeFenced          // the server has seen the fence of a later order
	OutcomeOld             // a higher run of the task was started or stopped there
	OutcomeLate            // the order's deadline had passed
	OutcomeNoRoom
	OutcomeUnwell  // the server reports that it is unhealthy
	OutcomeGone    // another process answers at the address
	OutcomeInvalid // the server can't decode the order
)

// String returns the name used in counters and logs.
func (o Outcome) String() string {
	names := map[Outcome]string{
		OutcomeTaken: "Taken", OutcomeUnknown: "Unknown", OutcomeFenced: "Fenced", OutcomeOld: "Old", OutcomeLate: "Late",
		OutcomeNoRoom: "NoRoom", OutcomeUnwell: "Unwell", OutcomeGone: "Gone", OutcomeInvalid: "Invalid",
	}
	return names[o]
}

// Answer is the result of a Start or a Stop.
type Answer struct {
	Server  string
	Task    string
	Run     int
	Fence   uint64 // of the order
	Outcome Outcome
	Clock   int64 // of the server, in milliseconds; 0 when it isn't known
}

// RunEnd is the way in which a run ended.
type RunEnd int

// The ways in which a run ends.
const (
	RunDone RunEnd = iota + 1
	RunFailed
	RunStopped
	RunLapsed // the lease expired, or the server ended the run for another reason
)

// ActiveRun is a run that a server lists as running.
type ActiveRun struct {
	Task string
	Run  int
	CPU  int64 // recently used, thousandths of a core
}

// EndedRun is a run that a server lists as ended.
type EndedRun struct {
	N    uint64 // increases with each run that ends on a server
	Task string
	Run  int
	How  RunEnd
}

// PollResult is the answer to a Poll.
type PollResult struct {
	Server  string
	Born    int64  // start of the process that answered, 0 when it isn't known
	Seq     uint64 // of the poll
	Fence   uint64 // of the poll
	Outcome Outcome
	Clock   int64
	Sent    time.Time
	Active  []ActiveRun
	Ended   []EndedRun
	Unread  int // entries of both lists that can't be read; the others hold
}

// EventKind is the kind of an Event, as used in counters and logs.
type EventKind string

// The kinds of events.
const (
	EventStarted       EventKind = "Started"       // a start was answered
	EventEnded         EventKind = "Ended"         // a run ended
	EventRetried       EventKind = "Retried"       // a task is queued again
	EventAdopted       EventKind = "Adopted"       // a job adopts a run of an earlier placer
	EventStopping      EventKind = "Stopping"      // a run is ordered to stop
	EventRejoined      EventKind = "Rejoined"      // another entry host waits for a known job
	EventBarred        EventKind = "Barred"        // a start of the job may still be carried out
	EventCancelNotKept EventKind = "CancelNotKept" // too many ids of cancelled jobs are kept
	EventDuplicateRun  EventKind = "Besides"       // a run was found whose task has another one
	EventEjected       EventKind = "Ejected"       // a server gets no tasks for some time
	EventRestored      EventKind = "Restored"      // an ejected server gets tasks again
	EventSilent        EventKind = "Silent"        // a server doesn't answer polls
	EventAnswers       EventKind = "Answers"       // a silent server answers again
	EventFound         EventKind = "Found"         // a server is new
	EventLost          EventKind = "Lost"          // a server restarted, ended or was not heard from for too long
	EventSettled       EventKind = "Settled"       // the runs of earlier placers are known or have expired
)

// Event reports a decision to logs and counters.
type Event struct {
	Kind     EventKind
	Job      string
	Task     string
	Run      int
	Server   string
	Reason   string
	Expected time.Duration
	Took     time.Duration
	Interval time.Duration
}

// Output is what resulted from the inputs since the last Drain.
type Output struct {
	Starts []Start
	Stops  []Stop
	Polls  []Poll
	Ends   []End
	Events []Event
	Bars   []Bar
	Fenced bool // a server follows a later placer, so this one has been superseded
}
