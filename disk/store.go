package disk

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"reflect"

	"github.com/cespare/xxhash/v2"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// File names in the data folder.
const (
	markName       = "mark"
	logPrefix      = "log-"
	snapshotPrefix = "snapshot-"
	tempSuffix     = ".tmp"

	// reserveName is the file that keeps the disk space for the next snapshot and the start of its log.
	// It is removed before they are written, so that a full disk can be freed. It begins as the file of
	// the previous snapshot.
	reserveName = "reserve"
)

// markText is the content of the mark file.
const markText = "{\"Format\":1}\n"

var errPendingSave = errors.New("the save that failed on a full disk was not retried first")

// State describes the content of a data folder when it was opened.
type State int

// A folder is empty before its first Save. Its state is lost if it has a mark file but
// no log.
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
	seq     uint64 // sequence number of the log and its snapshot
	log     *os.File
	size    int64 // bytes of the complete records in the log
	torn    bool  // the log may end in an incomplete record
	largest int   // bytes of the largest record since the folder was opened
	saved   quorum.Saved
	pending *quorum.Persist // failed on a full disk and must be saved next, nil for none
	err     error           // first error other than a full disk, returned by all further calls of Save
}

// Option configures a Store.
type Option func(*Store)

// WithFileOps replaces the file operations.
func WithFileOps(fs FileOps) Option {
	return func(s *Store) { s.ops = fs }
}

// Open reads the state of a data folder and creates the folder if it is missing. An
// incomplete last record is truncated, since its Save never succeeded.
// Damage elsewhere is a CorruptError; a failed file operation is a FileError.
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

// State returns the state of the folder when it was opened.
func (s *Store) State() State {
	return s.state
}

// Saved returns the stored state, from which a replica restarts.
func (s *Store) Saved() quorum.Saved {
	return s.saved
}

// Save stores changes of a replica's state durably. After it returned nil, the
// messages of the same output may be sent. If the disk is full (IsFull), the same
// Persist must be saved again before any other. After any other error all further
// calls fail with that error, because the content of the disk is unknown.
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

// Close closes the log.
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

// write appends a record for p, or starts a new log if p has a snapshot or there is
// no log yet.
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

// append appends a record to the log. If the disk is full, the incomplete record is
// truncated before anything else is written, because only the last record may be
// torn.
func (s *Store) append(b []byte) error {
	if s.torn {
		if err := s.truncateTail(); err != nil {
			return err
		}
	}
	err := s.ops.write(s.log, b)
	if err == nil {
		s.size += int64(len(b))
		s.largest = max(s.largest, len(b))
		return nil
	}
	if !IsFull(err) {
		return err
	}
	s.torn = true
	if truncErr := s.truncateTail(); truncErr != nil && !IsFull(truncErr) {
		return truncErr
	}
	return err
}

// writeMark writes the mark file after the first save, to show that the folder holds a state.
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

// Compact replaces the log by a snapshot of the state after one of its entries, with the entries after
// it. It frees disk space when a Save failed because the disk is full (IsFull), and may fail in the same
// way. That Save has to be retried afterwards.
func (s *Store) Compact(snapshot quorum.Snapshot) error {
	last := s.saved.Snapshot.Op + uint64(len(s.saved.Entries))
	switch {
	case s.err != nil:
		return s.err
	case s.log == nil || snapshot.Op <= s.saved.Snapshot.Op || snapshot.Op > last:
		return nil
	}
	err := s.startLog(quorum.Persist{Snapshot: &snapshot, Keep: last})
	if err != nil && !IsFull(err) {
		s.err = err
	}
	return err
}

// startLog writes the snapshot and a new log based on it, and then removes the previous
// files. The rename of the new log makes the snapshot and the log valid together.
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
	if err := s.removeReserve(); err != nil {
		return err
	}
	if err := s.ops.create(s.folder, s.snapshotPath(seq), next.Snapshot.Data); err != nil {
		return err
	}
	if err := s.ops.create(s.folder, s.logPath(seq), b); err != nil {
		if IsFull(err) { // the log doesn't exist
			_ = s.ops.Remove(s.snapshotPath(seq)) // frees its disk space; a retry overwrites it anyway
		}
		return err
	}
	if err := s.Close(); err != nil {
		return err
	}
	former := s.seq
	s.seq, s.saved = seq, next
	s.size, s.torn = int64(len(b)), false
	if err := s.openLog(s.logPath(seq)); err != nil {
		return err
	}
	s.keepReserve(former)
	return s.removeObsolete()
}

// reservedRecords is the number of records for which the reserve has space: the one that fails on a
// full disk and the one before it, which the snapshot doesn't cover yet.
const reservedRecords = 2

// keepReserve turns the snapshot of the former log into the reserve for the next one. The reserve is
// neither synced nor read. On a full disk it may be missing or smaller.
func (s *Store) keepReserve(former uint64) {
	info, err := os.Stat(s.snapshotPath(former))
	if err != nil || info.Size() == 0 {
		return
	}
	if err := s.ops.Rename(s.snapshotPath(former), s.path(reserveName)); err != nil {
		return // removeObsolete removes it
	}
	f, err := os.OpenFile(s.path(reserveName), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		return
	}
	size := int64(len(s.saved.Snapshot.Data) + reservedRecords*s.largest)
	_, _ = s.ops.Write(f, make([]byte, max(0, size-info.Size())))
	_ = f.Close()
}

func (s *Store) removeReserve() error {
	if err := s.ops.Remove(s.path(reserveName)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return &FileError{Op: "remove", File: s.path(reserveName), Cause: err}
	}
	return nil
}

// merge returns the state after a Persist, with only the entries after its snapshot.
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
