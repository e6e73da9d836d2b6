package config

import (
	"fmt"
	"strings"
)

// FieldError reports an error in one field of a YAML text.
type FieldError struct {
	File   string
	Line   int // 0 if the error concerns the whole text
	Column int
	Field  string // path of the field, such as Hosts[0].Address
	Reason string
}

// Error returns the file, the line, the field and the reason.
func (e *FieldError) Error() string {
	place := e.File
	if e.Line > 0 {
		place = fmt.Sprintf("%s:%d", e.File, e.Line)
	}
	if e.Field == "" {
		return place + ": " + e.Reason
	}
	return place + ": " + e.Field + ": " + e.Reason
}

// FieldErrors holds all errors in a YAML text.
type FieldErrors []*FieldError

// Error returns one line for each error.
func (e FieldErrors) Error() string {
	lines := make([]string, len(e))
	for i, err := range e {
		lines[i] = err.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the errors, for errors.As.
func (e FieldErrors) Unwrap() []error {
	all := make([]error, len(e))
	for i, err := range e {
		all[i] = err
	}
	return all
}

// ReadError reports that a settings file could not be read.
type ReadError struct {
	File  string
	Cause error
}

// Error returns the file and the cause.
func (e *ReadError) Error() string {
	return fmt.Sprintf("%s can't be read: %v", e.File, e.Cause)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error {
	return e.Cause
}
