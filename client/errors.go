package client

import (
	"fmt"
	"strings"
)

// AttemptError reports that one entry host returned no valid answer.
type AttemptError struct {
	Host  string
	Sent  bool // the host may have received the request
	Cause error
}

// Error returns the host and the cause.
func (e *AttemptError) Error() string {
	return fmt.Sprintf("%s: %v", e.Host, e.Cause)
}

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error {
	return e.Cause
}

// UnreachableError reports that no entry host answered. When Sent is true, one
// of them may have received the request, and its outcome is unknown.
type UnreachableError struct {
	Tried []*AttemptError
	Sent  bool
}

// Error lists every host that was tried, with its error.
func (e *UnreachableError) Error() string {
	hosts := make([]string, len(e.Tried))
	for i, attempt := range e.Tried {
		hosts[i] = attempt.Error()
	}
	return "no entry host answered: " + strings.Join(hosts, "; ")
}

// Unwrap returns the errors of the attempts.
func (e *UnreachableError) Unwrap() []error {
	all := make([]error, len(e.Tried))
	for i, attempt := range e.Tried {
		all[i] = attempt
	}
	return all
}

// AnswerError reports a response that is not a valid dogwoodrock answer.
type AnswerError struct {
	Status int
	Reason string
}

// Error returns the status and the reason.
func (e *AnswerError) Error() string {
	return fmt.Sprintf("status %d: %s", e.Status, e.Reason)
}

// OptionError reports an invalid argument of New.
type OptionError struct {
	Field  string
	Reason string
}

// Error returns the field and the reason.
func (e *OptionError) Error() string {
	return e.Field + ": " + e.Reason
}
