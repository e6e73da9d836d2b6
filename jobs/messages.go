package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Reply receives the answer to a request, or its refusal.
type Reply func(answer *model.Answer, refusal *model.RefusalError)

// Submit submits a job. Reply is called once the job has ended, or with NoWait as soon as it has
// been accepted.
type Submit struct {
	Submission model.Submission
	NoWait     bool
	Reply      Reply

	origin origin // set if another entry host relayed the job, which without a key is not relayed again
}

// Fetch requests the answer to a job and waits for it for at most Wait.
type Fetch struct {
	Job   string
	Wait  time.Duration
	Reply Reply
}

// Cancel requests to cancel jobs by session and key, by key without a session, or by group.
type Cancel struct {
	Customer string
	Session  string
	Key      string
	Group    string
	Reply    func(done Cancelled, refusal *model.RefusalError)
}

// Cancelled is the result of a Cancel. The cancel of a group succeeds if at least one data centre
// answered; Refusal names those that didn't.
type Cancelled struct {
	Jobs        int           // jobs in flight that are being stopped
	DataCentres []CancelledAt // set for a group
	Refusal     *model.RefusalError
}

// CancelledAt is the result of a Cancel in one data centre.
type CancelledAt struct {
	DataCentre string
	Jobs       int
	Refusal    *model.RefusalError // nil when the data centre answered
}

// OpenSession requests a new session of a customer.
type OpenSession struct {
	Customer string
	Reply    func(session string, refusal *model.RefusalError)
}

// PeerState reports whether another host is reachable.
type PeerState struct {
	Host      string
	Reachable bool
}

// RelayLost reports that a Relay was dropped before its delivery was acknowledged. It is unknown
// whether the host received the job.
type RelayLost struct {
	Host    string
	Request uint64
}

// Call requests a task call to a backend server under a grant.
type Call struct {
	Grant        msgs.Grant
	Task         string // unique per attempt
	Body         []byte
	Deadline     time.Time // zero for none
	LeaseExpires time.Time // the call is not sent after this time
}

// Revoke requests to stop the call under a grant.
type Revoke struct {
	Grant uint64
}

// CallEnded reports the result of the call under a grant.
type CallEnded struct {
	Grant  uint64
	Result msgs.Result
	Output []byte // if it succeeded
	Reason string // if it did not
	Ran    time.Duration
}

// Inspect requests a Report.
type Inspect struct {
	Reply func(Report)
}

// Report is the state of the service.
type Report struct {
	Leased bool   // this host holds a lease, so it may start tasks
	Lists  uint64 // active version, 0 for none
	Jobs   int    // in flight
}

// Lists activates a version of the operators' lists.
type Lists struct {
	Active lists.Active
}

// Installation reports the state of this host's data folder.
type Installation struct {
	State msgs.Installation
}
