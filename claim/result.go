package claim

import (
	"fmt"

	"dogwoodrock.example/dogwoodrock/model"
)

// Verdict is the kind of a Result.
type Verdict uint8

// The verdicts.
const (
	VerdictApplied    Verdict = iota // the command took effect now or earlier
	VerdictOpened                    // Session has been opened
	VerdictClaimed                   // the job may start its first task once the command is committed
	VerdictJoined                    // Job is running on Host; wait for its outcome
	VerdictAnswered                  // Answer is the recorded outcome
	VerdictRefused                   // Refusal gives the reason
	VerdictRevoked                   // the jobs in Revoked are running; their owners should stop them
	VerdictTombstoned                // nothing is running; later submissions will be refused
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

// String returns the name that logs and metrics use.
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
	Job         string // the job of the key, or the one that the command names
	Host        string // owner of the job
	Incarnation uint64
	State       model.JobState
	Repeated    bool // the same claim was applied before; the owner must not start a task again
	Released    bool // the job ended before any task started, and its key was released
	Answer      *model.Answer
	Refusal     *model.RefusalError
	Fence       uint64
	Failed      []JobOwner // jobs that failed because their incarnation was replaced or expelled
	Revoked     []JobOwner // running jobs that were cancelled
}

// JobOwner identifies a job and the incarnation of the host that runs it.
type JobOwner struct {
	Job         string
	Host        string
	Incarnation uint64
}

// refusedNotRun returns a refusal with NotRun set: it is certain that no task was run.
func refusedNotRun(code model.Code, reason string) Result {
	return Result{
		Verdict: VerdictRefused,
		Refusal: &model.RefusalError{Code: code, Reason: reason, NotRun: true},
	}
}

// refusedUncertain returns a refusal without NotRun: tasks may have run.
func refusedUncertain(code model.Code, reason string) Result {
	return Result{
		Verdict: VerdictRefused,
		Refusal: &model.RefusalError{Code: code, Reason: reason},
	}
}
