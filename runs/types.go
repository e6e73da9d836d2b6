package runs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Job is what the placer is asked to run.
type Job struct {
	ID          string
	Host        string // entry host that waits for the end
	Incarnation uint64 // of the entry host
	Hand        uint64 // number of the hand-over, which rises on the entry host
	Route       string
	Service     string
	Spec        string
	Tasks       int
	Demand      model.Demand
	Priority    int // 0 comes first among jobs that are equally urgent
	Attempts    int // runs of a task that may fail
	Arrived     time.Time
	Objective   time.Duration // since Came, in which its end is worth most
	Expires     time.Duration // since Came, after which nobody waits for it
	Again       bool          // an earlier placer may have started it
	Former      uint64        // epoch of the placer that had it before, 0 for none
	Held        time.Duration // since that one got it from another one, 0 if it had it first
	Strict      bool          // to be refused unless it can meet its objective: another placer may
}

// Start orders a server to run a task.
type Start struct {
	Server   model.Server
	Task     string
	Run      int
	Spec     string
	Deadline int64 // of the lease, milliseconds on the server's clock
	Fence    uint64
}

// Stop orders a server to end a run, or never to begin it.
type Stop struct {
	Server model.Server
	Task   string
	Run    int
	Fence  uint64
}

// Look asks a server what runs on it and what has ended, and prolongs its lease.
type Poll struct {
	Server   model.Server
	Seq      uint64 // of the look, to be returned with the answer
	Cursor   uint64 // ends up to this one are known
	Wait     time.Duration
	Deadline int64 // 0 for none
	Fence    uint64
}

// End tells an entry host how a job ended that it has handed over.
type End struct {
	Job         string
	Host        string
	Incarnation uint64 // of the entry host's process that handed it over
	Hand        uint64 // number of the hand-over
	Route       string
	State       model.JobEnd
	Reason      string
	RetryAfter  time.Duration
	Took        time.Duration // since the job came
	Waited      time.Duration // of it, until the latest start of a task; all of it when one still waits
	Wait        time.Duration // that the work ahead of it was expected to take, unless it is complete
	Waiting     int           // jobs that waited
	Servers     int           // backend servers that could get tasks
}

// Outcome tells how an order was answered.
type Outcome int

// The outcomes of an order. After all but OutcomeTaken and OutcomeUnknown the
// server has certainly done nothing.
const (
	OutcomeTaken   Outcome = iota + 1
	OutcomeUnknown         // no answer
	OutcomeFenced          // the server follows a later placer
	OutcomeOld             // a higher run of the task was started or stopped there
	OutcomeLate            // the order's deadline had passed
	OutcomeNoRoom
	OutcomeUnwell  // the server says that it is unhealthy
	OutcomeGone    // another process answers at the address
	OutcomeInvalid // the server can't read the order
)

// String returns the name used in counters and logs.
func (o Outcome) String() string {
	names := map[Outcome]string{
		OutcomeTaken: "Taken", OutcomeUnknown: "Unknown", OutcomeFenced: "Fenced", OutcomeOld: "Old", OutcomeLate: "Late",
		OutcomeNoRoom: "NoRoom", OutcomeUnwell: "Unwell", OutcomeGone: "Gone", OutcomeInvalid: "Invalid",
	}
	return names[o]
}

// Answer is what became of a Start or a Stop.
type Answer struct {
	Server  string
	Task    string
	Run     int
	Fence   uint64 // of the order
	Outcome Outcome
	Clock   int64 // of the server, milliseconds; 0 when it didn't say
}

// How tells how a run ended.
type RunEnd int

// The ways in which a run ends.
const (
	RunDone RunEnd = iota + 1
	RunFailed
	RunStopped
	RunLapsed // the lease ended, or the server ended it for another reason
)

// Listed is a run that a server lists as running.
type ActiveRun struct {
	Task string
	Run  int
	CPU  int64 // in use lately, thousandths of a core
}

// Ended is a run that a server lists as ended.
type EndedRun struct {
	N    uint64 // rises with each end on a server
	Task string
	Run  int
	How  RunEnd
}

// Seen is the answer to a Look.
type PollResult struct {
	Server  string
	Born    int64  // start of the process that answered, 0 when it didn't say
	Seq     uint64 // of the look
	Fence   uint64 // of the look
	Outcome Outcome
	Clock   int64
	Sent    time.Time
	Active  []ActiveRun
	Ended   []EndedRun
}

// EventKind names what an event reports.
type EventKind string

// The kinds of events.
const (
	EventStarted      EventKind = "Started"  // a start was answered
	EventEnded        EventKind = "Ended"    // a run ended
	EventRetried      EventKind = "Retried"  // a task waits again
	EventAdopted      EventKind = "Adopted"  // a run of an earlier placer belongs to a job
	EventStopping     EventKind = "Stopping" // a run is ordered to stop
	EventRejoined     EventKind = "Rejoined" // another entry host waits for a job that is known
	EventDuplicateRun EventKind = "Besides"  // a run was found whose task has another one
	EventEjected      EventKind = "Ejected"  // a server gets no tasks for a while
	EventRestored     EventKind = "Restored" // it gets them again
	EventSilent       EventKind = "Silent"   // a server doesn't answer
	EventAnswers      EventKind = "Answers"  // it answers again
	EventFound        EventKind = "Found"    // a server is new
	EventLost         EventKind = "Lost"     // it left, ended or was not heard of for long
	EventSettled      EventKind = "Settled"  // the runs of earlier placers are known
)

// Event reports a decision of interest to logs and counters.
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

// Output is what followed from the inputs since the last Drain.
type Output struct {
	Starts []Start
	Stops  []Stop
	Polls  []Poll
	Ends   []End
	Events []Event
	Fenced bool // a server follows a later placer
}
