package disk

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

const voteName = "vote"

// SaveVote stores what this host has promised during the first start of the system, before it answers.
// If the disk is full (IsFull) it may be called again.
func SaveVote[T any](s *Store, vote T) error {
	b, err := json.Marshal(vote)
	if err != nil {
		return &FileError{Op: "encode", File: s.path(voteName), Cause: err}
	}
	return s.ops.create(s.folder, s.path(voteName), b)
}

// LoadVote returns what was stored by SaveVote, the zero value if nothing was. A damaged file is a
// CorruptError: without its promise this host must not vote.
func LoadVote[T any](s *Store) (vote T, err error) {
	b, err := os.ReadFile(s.path(voteName))
	if errors.Is(err, fs.ErrNotExist) {
		return vote, nil
	}
	if err != nil {
		return vote, &FileError{Op: "read", File: s.path(voteName), Cause: err}
	}
	if err := json.Unmarshal(b, &vote); err != nil {
		return vote, &CorruptError{File: s.path(voteName), Reason: err.Error()}
	}
	return vote, nil
}
