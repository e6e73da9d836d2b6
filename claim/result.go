package claim

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
)

// Verdict names what a Command led to.
type Verdict uint8

// The verdicts.
const (
	VerdictApplied    Verdict = iota // the command took effect or had taken effect before
	VerdictOpened                    // Session is open
	VerdictClaimed                   // the job may start its first task once the command has committed
	VerdictJoined                    // Job is in flight on Host; wait for its outcome
	VerdictAnswered                  // Answer is the outcome in force
	VerdictRefused                   // Refusal says why
	VerdictRevoked                   // the jobs in Revoked are in flight and their owners should stop them
	VerdictTombstoned                // nothing is in flight; a later submission will be refused
)

var verdictNames = map[Verdict]string{
	VerdictApplied:    "Applied",
	VerdictOpened:     "Opened",
	VerdictClaimed:    "Claimed",
	VerdictJoined:     "Joined",
	VerdictAnswered:   "Answered",
	VerdictRefused:    "Refused",
	VerdictRevoked:    "Revoked",
	VerdictTombstoned: "Tombstoned",
}

// String returns the name for logs and counters.
func (v Verdict) String() string {
	if name, ok := verdictNames[v]; ok {
		return name
	}
	return fmt.Sprintf("Verdict(%d)", uint8(v))
}

// Result is the effect of one Command.
type Result struct {
	Verdict     Verdict
	Session     string
	Job         string // the job in force for the key, or the job that was named
	Host        string // owner of the job
	Incarnation uint64
	State       model.JobState
	Repeated    bool // the same claim was applied before; its owner starts no task twice
	Released    bool // the job ended before it started and gave up its key
	Answer      *model.Answer
	Refusal     *model.RefusalError
	Fence       uint64
	Failed      []JobOwner // jobs that failed because their host was lost
	Revoked     []JobOwner // jobs in flight that were cancelled
}

// JobOwner names a job and the incarnation of the host that runs it.
type JobOwner struct {
	Job         string
	Host        string
	Incarnation uint64
}

// refused returns a Result for a refusal after which it is certain that
// nothing was run.
func refusedNotRun(code model.Code, reason string) Result {
	return Result{
		Verdict: VerdictRefused,
		Refusal: &model.RefusalError{Code: code, Reason: reason, NotRun: true},
	}
}

// uncertain returns a Result for a refusal of something that may have run.
func refusedUncertain(code model.Code, reason string) Result {
	return Result{
		Verdict: VerdictRefused,
		Refusal: &model.RefusalError{Code: code, Reason: reason},
	}
}
