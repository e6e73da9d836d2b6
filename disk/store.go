package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"

	"github.com/cespare/xxhash/v2"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// Names in the data folder.
const (
	markName       = "mark"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"
)

// markText is what the mark file holds.
const markText = "{\"Format\":1}\n"

var errPendingSave = errors.New("what found no room before wasn't saved first")

// Memory tells what a data folder holds.
type State int

// A folder is empty before the first Save of an installation. It is lost when
// it has been saved to but its log is gone.
const (
	StateEmpty State = iota
	StateLost
	StatePresent
)

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	ops     FileOps
	folder  string
	state   State
	marked  bool
	seq     uint64 // of the log and its snapshot
	log     *os.File
	size    int64 // bytes of the whole records in the log
	torn    bool  // the log may hold more than these
	saved   quorum.Saved
	pending *quorum.Persist // found no room, nil for none
	err     error
}

// Option changes a store under construction.
type Option func(*Store)

// WithFiles sets the file operations.
func WithFileOps(fs FileOps) Option {
	return func(s *Store) { s.ops = fs }
}

// Open reads the state of a data folder, which it creates when it is missing.
// An incomplete last record is cut off: it was never acknowledged. Damage
// elsewhere is a CorruptError.
func Open(folder string, opts ...Option) (*Store, error) {
	s := &Store{ops: osFileOps(), folder: folder}
	for _, opt := range opts {
		opt(s)
	}
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &FileError{Op: "create", File: folder, Cause: err}
	}
	if err := s.load(); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// Memory tells what the folder held when it was opened.
func (s *Store) State() State {
	return s.state
}

// Saved returns the state from which a replica restarts.
func (s *Store) Saved() quorum.Saved {
	return s.saved
}

// Save makes what a replica wants persisted durable. When it returns nil, the
// messages of the same output may be sent. When the disk is full (IsFull), the
// same Persist has to be saved again before any other. After any other error all
// further calls fail too, because it is not known what the disk holds.
func (s *Store) Save(p quorum.Persist) error {
	if s.err != nil {
		return s.err
	}
	if s.pending != nil && !reflect.DeepEqual(*s.pending, p) {
		s.err = &FileError{Op: "save", File: s.folder, Cause: errPendingSave}
		return s.err
	}
	s.pending = nil
	err := s.save(p)
	switch {
	case IsFull(err):
		s.pending = &p
	case err != nil:
		s.err = err
	}
	return err
}

// Close releases the log.
func (s *Store) Close() error {
	if s.log == nil {
		return nil
	}
	if err := s.log.Close(); err != nil {
		return &FileError{Op: "close", File: s.log.Name(), Cause: err}
	}
	s.log = nil
	return nil
}

func (s *Store) save(p quorum.Persist) error {
	if err := s.write(p); err != nil {
		return err
	}
	return s.writeMark()
}

func (s *Store) write(p quorum.Persist) error {
	if p.Snapshot != nil || s.log == nil {
		return s.startLog(p)
	}
	r := record{Vote: p.Vote, Keep: p.Keep, Entries: p.Entries}
	next := s.saved
	if !r.apply(&next) {
		return &CorruptError{File: s.log.Name(), Reason: "the new entries leave a gap"}
	}
	b, err := r.encode()
	if err != nil {
		return &FileError{Op: "encode", File: s.log.Name(), Cause: err}
	}
	if err := s.append(b); err != nil {
		return err
	}
	s.saved = next
	return nil
}

// append adds a record to the log. What a full disk took of it is cut off before
// anything else is written: a torn record may only be the last one.
func (s *Store) append(b []byte) error {
	if s.torn {
		if err := s.truncateTail(); err != nil {
			return err
		}
	}
	err := s.ops.write(s.log, b)
	if err == nil {
		s.size += int64(len(b))
		return nil
	}
	if !IsFull(err) {
		return err
	}
	s.torn = true
	if cut := s.truncateTail(); cut != nil && !IsFull(cut) {
		return cut
	}
	return err
}

// mark notes, after the first save, that the folder holds a state.
func (s *Store) writeMark() error {
	if s.marked {
		return nil
	}
	if err := s.ops.create(s.folder, s.path(markName), []byte(markText)); err != nil {
		return err
	}
	s.marked = true
	return nil
}

// startLog writes the snapshot and a log that follows it, and removes the log
// before. The rename of the new log is what makes both valid.
func (s *Store) startLog(p quorum.Persist) error {
	next := s.merge(p)
	seq := s.seq + 1
	head := record{
		Snapshot: &snapshotRef{
			Op:       next.Snapshot.Op,
			Epoch:    next.Snapshot.Epoch,
			Members:  next.Snapshot.Members,
			Checksum: xxhash.Sum64(next.Snapshot.Data),
		},
		Vote:    &next.Vote,
		Keep:    next.Snapshot.Op,
		Entries: next.Entries,
	}
	b, err := head.encode()
	if err != nil {
		return &FileError{Op: "encode", File: s.logPath(seq), Cause: err}
	}
	if err := s.ops.create(s.folder, s.snapshotPath(seq), next.Snapshot.Data); err != nil {
		return err
	}
	if err := s.ops.create(s.folder, s.logPath(seq), b); err != nil {
		return err
	}
	if err := s.Close(); err != nil {
		return err
	}
	s.seq, s.saved = seq, next
	s.size, s.torn = int64(len(b)), false
	if err := s.openLog(s.logPath(seq)); err != nil {
		return err
	}
	return s.removeObsolete()
}

// merge returns the state after a Persist, with only the entries that follow
// its snapshot.
func (s *Store) merge(p quorum.Persist) quorum.Saved {
	next := s.saved
	if p.Snapshot != nil {
		next.Snapshot = *p.Snapshot
	}
	if p.Vote != nil {
		next.Vote = *p.Vote
	}
	next.Entries = nil
	for _, e := range s.saved.Entries {
		if e.Op > next.Snapshot.Op && e.Op <= p.Keep {
			next.Entries = append(next.Entries, e)
		}
	}
	next.Entries = append(next.Entries, p.Entries...)
	return next
}

func (s *Store) path(name string) string {
	return filepath.Join(s.folder, name)
}

func (s *Store) logPath(seq uint64) string {
	return s.path(fmt.Sprintf("%s%020d", logPrefix, seq))
}

func (s *Store) snapshotPath(seq uint64) string {
	return s.path(fmt.Sprintf("%s%020d", snapshotPrefix, seq))
}
