package kernel

import "fmt"

// FullError reports that the mailbox of a service holds Depth requests, its maximum.
type FullError struct {
	Service string
	Depth   int
}

// Error returns the message for logs and callers.
func (e *FullError) Error() string {
	return fmt.Sprintf("service %s already holds %d requests", e.Service, e.Depth)
}

// GoneError reports that a service has stopped and accepts no more messages.
type GoneError struct {
	Service string
}

// Error returns the message for logs and callers.
func (e *GoneError) Error() string {
	return fmt.Sprintf("service %s has stopped", e.Service)
}

// UnknownError reports that no service has the name that was looked up.
type UnknownError struct {
	Service string
}

// Error returns the message for logs and callers.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("no service is named %s", e.Service)
}

// DuplicateError reports that two services were registered under one name.
type DuplicateError struct {
	Service string
}

// Error returns the message for logs and callers.
func (e *DuplicateError) Error() string {
	return fmt.Sprintf("two services are named %s", e.Service)
}

// StartError reports that the Start function of a service failed.
type StartError struct {
	Service string
	Cause   error
}

// Error returns the message for logs and callers.
func (e *StartError) Error() string {
	return fmt.Sprintf("service %s did not start: %v", e.Service, e.Cause)
}

// Unwrap returns the error of the Start function.
func (e *StartError) Unwrap() error {
	return e.Cause
}

// PanicError reports a panic of a service, with its value and stack trace.
type PanicError struct {
	Service string
	Value   string
	Stack   string
}

// Error returns the message for logs and callers.
func (e *PanicError) Error() string {
	return fmt.Sprintf("service %s panicked: %s", e.Service, e.Value)
}
