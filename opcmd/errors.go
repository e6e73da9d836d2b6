package opcmd

import (
	"errors"
	"fmt"
	"io/fs"
	"strings"

	"dogwoodrock.example/dogwoodrock/model"
)

// UsageError reports invalid arguments.
type UsageError struct {
	Reason string
}

// Error returns the reason.
func (e *UsageError) Error() string {
	return e.Reason
}

// FileError reports a file that can't be read, written or decoded.
type FileError struct {
	File   string
	Reason string
}

// Error returns the file and the cause.
func (e *FileError) Error() string {
	return e.File + ": " + e.Reason
}

// fileError returns a FileError. It unwraps an fs.PathError, whose text would repeat the file name.
func fileError(file string, err error) *FileError {
	var path *fs.PathError
	if errors.As(err, &path) {
		err = path.Err
	}
	return &FileError{File: file, Reason: err.Error()}
}

// ReadOnlyError wraps the error of a request that changes neither lists nor jobs.
type ReadOnlyError struct {
	Cause error
}

// Error returns the cause.
func (e *ReadOnlyError) Error() string {
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ReadOnlyError) Unwrap() error {
	return e.Cause
}

// EditError reports an edit that failed or whose outcome is unknown.
type EditError struct {
	Advice string // tells the operator how to continue
	Cause  error
}

// Error returns the cause and the advice.
func (e *EditError) Error() string {
	return e.Cause.Error() + "\n" + e.Advice
}

// Unwrap returns the cause.
func (e *EditError) Unwrap() error {
	return e.Cause
}

// CheckError reports a routes document with errors or warnings.
type CheckError struct {
	Errors   int
	Warnings int
}

// Error returns the numbers of errors and warnings.
func (e *CheckError) Error() string {
	return fmt.Sprintf("errors: %d, warnings: %d", e.Errors, e.Warnings)
}

// describe formats an error for the operator.
func describe(err error) string {
	var refusal *model.RefusalError
	if !errors.As(err, &refusal) {
		return err.Error()
	}
	var b strings.Builder
	fmt.Fprintf(&b, "refused (%s)", refusal.Code)
	if !strings.Contains(refusal.Reason, refusal.Field) {
		fmt.Fprintf(&b, ", %s", refusal.Field)
	}
	fmt.Fprintf(&b, ": %s", refusal.Reason)
	if isOutcomeUnknown(refusal) {
		b.WriteString("\nthe outcome is unknown")
	}
	var edit *EditError
	if errors.As(err, &edit) {
		b.WriteString("\n" + edit.Advice)
	}
	return b.String()
}
