package disk

import (
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// load reads the newest log and its snapshot, and removes obsolete files.
func (s *Store) load() error {
	if err := s.readMark(); err != nil {
		return err
	}
	names, err := s.list()
	if err != nil {
		return err
	}
	for _, name := range names {
		suffix := strings.TrimPrefix(name, logPrefix)
		if seq, err := strconv.ParseUint(suffix, 10, 64); err == nil {
			s.seq = max(s.seq, seq)
		}
	}
	if s.seq == 0 {
		if s.marked {
			s.state = StateLost
		}
		return nil
	}
	s.state = StatePresent
	if err := s.loadLog(); err != nil {
		return err
	}
	return s.removeObsolete()
}

func (s *Store) readMark() error {
	b, err := os.ReadFile(s.path(markName))
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		return &FileError{Op: "read", File: s.path(markName), Cause: err}
	}
	if string(b) != markText {
		return &CorruptError{File: s.path(markName), Reason: "not a mark file of this format"}
	}
	s.marked = true
	return nil
}

// loadLog replays the records and opens the log for appending.
func (s *Store) loadLog() error {
	path := s.logPath(s.seq)
	b, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Op: "read", File: path, Cause: err}
	}
	offset := 0
	for offset < len(b) {
		payload, size, err := readFrame(b[offset:])
		if errors.Is(err, errTorn) && offset > 0 {
			break
		}
		if err == nil {
			err = s.replay(payload, offset == 0)
		}
		if err != nil {
			return s.corruptError(path, offset, err)
		}
		offset += size
	}
	if offset == 0 {
		return &CorruptError{File: path, Reason: "the file is empty"}
	}
	s.size = int64(offset)
	if err := s.openLog(path); err != nil || offset == len(b) {
		return err
	}
	return s.truncateTail()
}

// corruptError returns the error of a record as a CorruptError with its offset. A
// CorruptError or FileError is returned as it is.
func (s *Store) corruptError(path string, offset int, err error) error {
	var corrupt *CorruptError
	var file *FileError
	if errors.As(err, &corrupt) || errors.As(err, &file) {
		return err
	}
	return &CorruptError{File: path, Offset: int64(offset), Reason: err.Error()}
}

func (s *Store) replay(payload []byte, first bool) error {
	var r record
	if err := json.Unmarshal(payload, &r); err != nil {
		return err
	}
	if first != (r.Snapshot != nil) {
		return errors.New("a snapshot must be described by the first record and by no other")
	}
	if first {
		if err := s.loadSnapshot(*r.Snapshot); err != nil {
			return err
		}
	}
	if !r.apply(&s.saved) {
		return errors.New("the record leaves a gap between entries")
	}
	return nil
}

func (s *Store) loadSnapshot(ref snapshotRef) error {
	path := s.snapshotPath(s.seq)
	data, err := os.ReadFile(path)
	if err != nil {
		return &FileError{Op: "read", File: path, Cause: err}
	}
	if xxhash.Sum64(data) != ref.Checksum {
		return &CorruptError{File: path, Reason: "the checksum differs from that in the log"}
	}
	s.saved.Snapshot = quorum.Snapshot{Op: ref.Op, Epoch: ref.Epoch, Members: ref.Members, Data: data}
	return nil
}

// openLog opens the log for appending.
func (s *Store) openLog(path string) error {
	f, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return &FileError{Op: "open", File: path, Cause: err}
	}
	s.log = f
	return nil
}

// truncateTail removes an incomplete record from the end of the log.
func (s *Store) truncateTail() error {
	if err := s.ops.Truncate(s.log, s.size); err != nil {
		return &FileError{Op: "truncate", File: s.log.Name(), Cause: err, Full: isDiskFull(err)}
	}
	if err := s.ops.Sync(s.log); err != nil {
		return &FileError{Op: "sync", File: s.log.Name(), Cause: err}
	}
	s.torn = false
	return nil
}

// removeObsolete removes the files of previous logs and temporary files.
func (s *Store) removeObsolete() error {
	names, err := s.list()
	if err != nil {
		return err
	}
	for _, name := range names {
		if !s.isObsolete(name) {
			continue
		}
		if err := s.ops.Remove(s.path(name)); err != nil {
			return &FileError{Op: "remove", File: s.path(name), Cause: err}
		}
	}
	return nil
}

// list returns the names of the files in the folder.
func (s *Store) list() ([]string, error) {
	entries, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, &FileError{Op: "list", File: s.folder, Cause: err}
	}
	names := make([]string, len(entries))
	for i, f := range entries {
		names[i] = f.Name()
	}
	return names, nil
}

// isObsolete reports whether a file was written by this package and is no longer used.
func (s *Store) isObsolete(name string) bool {
	managed := name == markName+tempSuffix ||
		strings.HasPrefix(name, logPrefix) || strings.HasPrefix(name, snapshotPrefix)
	path := s.path(name)
	return managed && path != s.logPath(s.seq) && path != s.snapshotPath(s.seq)
}
