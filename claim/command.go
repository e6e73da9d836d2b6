package claim

import (
	"dogwoodrock.example/dogwoodrock/model"
)

// Kind is the type of a Command.
type Kind uint8

// The kinds of commands, each with the fields of Command that it uses.
const (
	// KindBegin initializes an empty Registry: Generation, Epoch, Fence, FirstInstallation.
	KindBegin Kind = iota + 1
	// KindOpenSession opens a session: Customer, ID.
	KindOpenSession
	// KindClaim claims a key for a job: Customer, Session, Key, Digest, Job,
	// Host, Incarnation, Group, NonIdempotent, Tasks.
	KindClaim
	// KindFinish records the outcome of a job: Job, Host, Incarnation, Answer, Release.
	KindFinish
	// KindJoin admits a host or renews its membership: Host, Incarnation.
	KindJoin
	// KindExpel removes a host whose lease has expired: Host, Incarnation.
	KindExpel
	// KindNewView records that the group has a new primary: View.
	KindNewView
	// KindCancel cancels one key: Customer, Session, Key.
	KindCancel
	// KindCancelGroup cancels the jobs of a group: Customer, Group.
	KindCancelGroup
	// KindRotate starts a new epoch of sessions: Epoch.
	KindRotate
	// KindTick only advances the clock, when the primary has no other command.
	KindTick
)

// Command is one entry of the replicated log. It is flat, so that a codec can translate it field by
// field; each Kind lists the fields that it uses.
type Command struct {
	Kind              Kind
	At                int64 // the primary's clock in Unix nanoseconds
	Customer          string
	Session           string // session name; empty for a bare key, an idempotency key without a session
	Key               string
	Group             string
	Digest            [16]byte // hash of the canonical submission
	Job               string
	Host              string
	Incarnation       uint64
	NonIdempotent     bool
	Tasks             int
	Answer            model.Answer
	Release           bool   // if Answer is a NotRun refusal, release the key for another claim
	ID                uint64 // random ID of a new session
	Epoch             uint64 // random number of a new epoch
	View              uint64
	Generation        uint64
	Fence             uint64 // initial fencing token, greater than any used before
	FirstInstallation bool   // a disk proves that the group has never held claims
}
