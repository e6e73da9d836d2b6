package model

import (
	"fmt"
	"time"
)

// Code is the reason for a refusal or failure, for callers and metrics.
type Code string

// The codes returned to callers.
const (
	CodeBadRequest       Code = "BadRequest"
	CodeTooLarge         Code = "TooLarge"
	CodeUnknownCustomer  Code = "UnknownCustomer"
	CodeServiceNotInPlan Code = "ServiceNotInPlan"
	CodeJobTooLarge      Code = "JobTooLarge"
	CodeQueueFull        Code = "QueueFull"
	CodeQuotaExhausted   Code = "QuotaExhausted"
	CodeDeadlineUnmet    Code = "DeadlineUnmet"   // it could not be met; refused at admission
	CodeDeadlinePassed   Code = "DeadlinePassed"  // it passed while the job was queued or running
	CodeCannotRun        Code = "CannotRun"       // no backend server can run the job, even when idle
	CodeNoBackendServer  Code = "NoBackendServer" // no backend server is announced at the moment
	CodeKeyReused        Code = "KeyReused"       // the key was used with another body
	CodeSessionUnknown   Code = "SessionUnknown"
	CodeSessionExpired   Code = "SessionExpired"
	CodeCancelled        Code = "Cancelled"
	CodeTaskFailed       Code = "TaskFailed"
	CodeHostLost         Code = "HostLost"       // the entry host that ran the job was lost
	CodeOutcomeUnknown   Code = "OutcomeUnknown" // the job may or may not have run
	CodeUnavailable      Code = "Unavailable"    // no group of hosts can decide at the moment
	CodeOverloaded       Code = "Overloaded"     // a bounded queue of the system is full
	CodeStopping         Code = "Stopping"
	CodeNotFound         Code = "NotFound"
	CodeConflict         Code = "Conflict"
)

// RefusalError reports why a request was not served, and whether any task was run.
type RefusalError struct {
	Code       Code
	Reason     string // one sentence for a human reader
	Field      string // invalid field of the request, if any
	Line       int    // line in the user's file, 0 if unknown
	NotRun     bool   // true only if it is certain that nothing was run
	RetryAfter time.Duration
}

// Error returns the code, the field if there is one, and the reason.
func (r *RefusalError) Error() string {
	if r.Field == "" {
		return fmt.Sprintf("%s: %s", r.Code, r.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", r.Code, r.Field, r.Reason)
}
