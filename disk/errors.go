package disk

import (
	"errors"
	"fmt"
)

// CorruptError reports a file that was damaged after it had been synced. What
// follows the damage can't be trusted, so nothing of the folder is used.
type CorruptError struct {
	File   string
	Offset int64 // bytes
	Reason string
}

// Error returns the sentence for logs.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at byte %d: %s", e.File, e.Offset, e.Reason)
}

// FileError reports a file operation that failed. After one in Save that isn't
// Full it is not known what the disk holds: the folder has to be opened again.
type FileError struct {
	Op    string
	File  string
	Cause error
	Full  bool // the disk is full and nothing was changed: a later try may succeed
}

// Error returns the sentence for logs.
func (e *FileError) Error() string {
	return fmt.Sprintf("%s %s: %v", e.Op, e.File, e.Cause)
}

// IsFull tells whether an operation failed only because the disk is full.
func IsFull(err error) bool {
	var file *FileError
	return errors.As(err, &file) && file.Full
}

// Unwrap returns the cause.
func (e *FileError) Unwrap() error {
	return e.Cause
}
