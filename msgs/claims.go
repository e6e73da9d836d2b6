package msgs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Shape holds the properties of a task that its placement depends on, without its body.
type Shape struct {
	Index        int
	Service      string
	Expected     time.Duration
	MemoryBytes  int64
	Accelerators int
}

// Ask requests a data centre's primary to claim a job and to place its tasks.
type Ask struct {
	Job           string
	Host          string // the entry host that runs the job
	Incarnation   uint64
	Customer      string
	Session       string
	Key           string
	Group         string
	NonIdempotent bool
	Digest        [16]byte      // hash of the canonical submission
	Deadline      time.Duration // time left, 0 for none
	Keyed         bool          // the job needs a claim
	Again         bool          // a retry: it was sent before to this or an earlier primary
	Count         int           // number of tasks of the job
	Tasks         []Shape       // tasks without a grant
}

// VerdictKind is the result of an Ask.
type VerdictKind int

// The results of an Ask.
const (
	VerdictClaimed  VerdictKind = iota + 1 // grants will follow
	VerdictJoined                          // the job of an earlier submission is in flight
	VerdictAnswered                        // an earlier submission has ended
	VerdictRefused
)

// Verdict answers an Ask.
type Verdict struct {
	Job      string
	Kind     VerdictKind
	Owner    string // host that runs the original job, if joined
	Original string // ID of the original job, if joined
	Refusal  *model.RefusalError
	Answer   *model.Answer
}

// Finish requests to commit the outcome of a claimed job.
type Finish struct {
	Job         string
	Host        string
	Incarnation uint64
	Answer      model.Answer
	Release     bool // nothing was run, so the key may be claimed again
}

// Finished carries the committed outcome of a job.
type Finished struct {
	Job    string
	Answer model.Answer
}

// Fetch requests the state of a claimed job. The reply is delayed by at most Wait while the job runs.
type Fetch struct {
	Job     string
	Host    string
	Request uint64
	Wait    time.Duration
}

// Fetched answers a Fetch.
type Fetched struct {
	Request uint64
	Answer  *model.Answer
	Refusal *model.RefusalError
}

// SessionAsk requests a new session for a customer.
type SessionAsk struct {
	Request  uint64
	Host     string
	Customer string
}

// SessionDone answers a SessionAsk.
type SessionDone struct {
	Request uint64
	Session string
	Refusal *model.RefusalError
}

// CancelAsk requests to cancel jobs by key or by group.
type CancelAsk struct {
	Request  uint64
	Host     string
	Customer string
	Session  string
	Key      string
	Group    string
}

// CancelDone answers a CancelAsk. Jobs is the number of jobs in flight that it cancelled.
type CancelDone struct {
	Request uint64
	Jobs    int
	Refusal *model.RefusalError
}

// RevokeJob requests the host that runs a job to stop it.
type RevokeJob struct {
	Job string
}

// Recall cancels a submission without a key that was forwarded by a Relay.
type Recall struct {
	Request uint64 // of the Relay
	Host    string
}

// Relay forwards a submission to a host of its home data centre, or a submission without a key to a
// host of a data centre with idle slots.
type Relay struct {
	Request    uint64
	Host       string
	NoWait     bool
	Submission model.Submission
}

// Relayed answers a Relay.
type Relayed struct {
	Request uint64
	Answer  *model.Answer
	Refusal *model.RefusalError
}
