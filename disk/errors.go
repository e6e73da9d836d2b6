package disk

import (
	"errors"
	"fmt"
)

// CorruptError reports a file that was damaged after it had been synced. The data
// after the damage can't be trusted, so nothing in the folder is used.
type CorruptError struct {
	File   string
	Offset int64 // bytes
	Reason string
}

// Error returns the message for logs.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// FileError reports a failed file operation. If it is returned by Save and isn't
// Full, the content of the disk is unknown and the folder must be opened again.
type FileError struct {
	Op    string
	File  string
	Cause error
	Full  bool // the disk is full; the stored state is still valid and a retry may succeed
}

// Error returns the message for logs.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause)
}

// IsFull reports whether an operation failed only because the disk is full.
func IsFull(err error) bool {
	var file *FileError
	return errors.As(err, &file) && file.Full
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}
