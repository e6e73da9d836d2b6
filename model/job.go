package model

import "time"

// Submission is a job as submitted by a caller.
type Submission struct {
	Customer      string
	Session       string // contains the home data centre and its session epoch; empty for a bare key
	Key           string // idempotency key, empty if the caller doesn't resubmit; a key without a session is a bare key
	Group         string // for cancelling several jobs together
	NonIdempotent bool
	Deadline      time.Duration // time from acceptance to a useful answer, 0 for none
	Tasks         []Task
}

// Task is one call to a backend server.
type Task struct {
	Service      string
	Body         []byte
	Expected     time.Duration // declared run time, 0 if unknown; not trusted
	MemoryBytes  int64         // declared need; not trusted
	Accelerators int
}

// JobState is the state of a job.
type JobState int

// A job is running until its outcome is decided; the outcome never changes.
const (
	JobRunning JobState = iota
	JobComplete
	JobFailed
)

// String returns the name shown to callers.
func (s JobState) String() string {
	switch s {
	case JobComplete:
		return "Complete"
	case JobFailed:
		return "Failed"
	default:
		return "Running"
	}
}

// Answer is the only answer to a job: complete with the results of all tasks in order, or failed with
// the reason and no results.
type Answer struct {
	Job     string
	State   JobState
	Results [][]byte      // one per task, only if complete
	Refusal *RefusalError // why it failed, only if failed
}
