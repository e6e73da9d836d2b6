package disk

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
)

const membersName = "members"

// Members are the members of a group that a host without a replica knew last.
type Members struct {
	Epoch uint64
	Hosts []string
}

// Members returns the stored members, none if there are none.
func (s *Store) Members() (Members, error) {
	b, err := os.ReadFile(s.path(membersName))
	if errors.Is(err, fs.ErrNotExist) {
		return Members{}, nil
	}
	if err != nil {
		return Members{}, &FileError{Op: "read", File: s.path(membersName), Cause: err}
	}
	var m Members
	if err := json.Unmarshal(b, &m); err != nil {
		return Members{}, &CorruptError{File: s.path(membersName), Reason: err.Error()}
	}
	return m, nil
}

// SaveMembers stores members. It doesn't touch the state of a replica, and may be called again after
// any error.
func (s *Store) SaveMembers(m Members) error {
	b, err := json.Marshal(m)
	if err != nil {
		return &FileError{Op: "encode", File: s.path(membersName), Cause: err}
	}
	return s.ops.create(s.folder, s.path(membersName), b)
}
