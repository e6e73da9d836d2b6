package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Reply receives the answer to a request, or why it was refused.
type Reply func(answer *model.Answer, refusal *model.RefusalError)

// Submit hands in a job. The reply comes once it has ended, or at once when
// NoWait is set and the job was accepted.
type Submit struct {
	Submission model.Submission
	NoWait     bool
	Reply      Reply

	origin origin // set when another entry host has handed it over, so that it stays here
}

// Fetch asks for the answer to a job and waits for it for a while.
type Fetch struct {
	Job   string
	Wait  time.Duration
	Reply Reply
}

// Cancel asks to cancel jobs by session and key, by bare key, or by group.
type Cancel struct {
	Customer string
	Session  string
	Key      string
	Group    string
	Reply    func(done Cancelled, refusal *model.RefusalError)
}

// Cancelled tells what a cancel met. That of a group counts if one data centre
// answered; the refusal names those that didn't.
type Cancelled struct {
	Jobs        int           // in flight, that are being stopped
	DataCentres []CancelledAt // of a group
	Refusal     *model.RefusalError
}

// CancelledAt is the part of one data centre in the cancel of a group.
type CancelledAt struct {
	DataCentre string
	Jobs       int
	Refusal    *model.RefusalError // nil when the data centre answered
}

// OpenSession asks for a session of a customer.
type OpenSession struct {
	Customer string
	Reply    func(session string, refusal *model.RefusalError)
}

// PeerState tells whether another host can be reached.
type PeerState struct {
	Host      string
	Reachable bool
}

// Lost tells that a job was given up on its way to another host: whether that has
// taken it isn't known.
type RelayLost struct {
	Host    string
	Request uint64
}

// Call asks to call a backend server under a grant.
type Call struct {
	Grant        msgs.Grant
	Task         string // unique for this start
	Body         []byte
	Deadline     time.Time // zero for none
	LeaseExpires time.Time // nothing is sent after this
}

// Revoke asks to stop the call under a grant.
type Revoke struct {
	Grant uint64
}

// CallEnded tells how the call under a grant ended.
type CallEnded struct {
	Grant  uint64
	Result msgs.Result
	Output []byte // when it succeeded
	Reason string // when it did not
	Ran    time.Duration
}

// Inspect asks how the service stands.
type Inspect struct {
	Reply func(Report)
}

// Report tells how the service stands.
type Report struct {
	Leased bool // the data centre's group decides and lets this host start tasks
	Lists  uint64
	Jobs   int // in flight
}

// Lists puts a version of the operators' lists in force.
type Lists struct {
	Force lists.Force
}

// Installation tells what this host's data folder shows.
type Installation struct {
	State msgs.Installation
}
