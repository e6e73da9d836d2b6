package disk

import (
	"encoding/json"
	"errors"
	"math/rand/v2"
	"os"
	"slices"
	"testing"

	"dogwoodrock.example/dogwoodrock/quorum"
)

func persist(view, keep uint64, ops ...uint64) quorum.Persist {
	p := quorum.Persist{Keep: keep, Vote: &quorum.Vote{Generation: 1, View: view}}
	for _, op := range ops {
		p.Entries = append(p.Entries, quorum.Entry{Op: op, View: view, Command: []byte("lists")})
	}
	return p
}

func open(t *testing.T, folder string, opts ...Option) *Store {
	t.Helper()
	s, err := Open(folder, opts...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s
}

// encodeState returns a state as JSON, for comparison.
func encodeState(s quorum.Saved) string {
	s.Snapshot.Data = append([]byte{}, s.Snapshot.Data...)
	s.Entries = append([]quorum.Entry{}, s.Entries...)
	b, _ := json.Marshal(s)
	return string(b)
}

// writeRecords returns a folder whose log has three records, with the state and the
// size of the log after each.
func writeRecords(t *testing.T) (folder, log string, states []string, sizes []int64) {
	folder = t.TempDir()
	s := open(t, folder)
	for _, p := range []quorum.Persist{persist(1, 0, 1, 2), persist(2, 2, 3), persist(3, 1, 2, 3)} {
		if err := s.Save(p); err != nil {
			t.Fatal(err)
		}
		info, err := s.log.Stat()
		if err != nil {
			t.Fatal(err)
		}
		states, sizes = append(states, encodeState(s.Saved())), append(sizes, info.Size())
	}
	return folder, s.log.Name(), states, sizes
}

// TestTornTail truncates and zeroes the last record at each byte, as after a power
// failure. Open must return the state before that record and truncate the log.
func TestTornTail(t *testing.T) {
	folder, log, states, sizes := writeRecords(t)
	intact, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	for size := sizes[1]; size < sizes[2]; size++ {
		for name, tail := range map[string][]byte{"cut": nil, "zeroed": make([]byte, sizes[2]-size)} {
			b := slices.Concat(intact[:size], tail)
			if err := os.WriteFile(log, b, 0o600); err != nil {
				t.Fatal(err)
			}
			s := open(t, folder)
			if got := encodeState(s.Saved()); got != states[1] {
				t.Fatalf("%s at %d: %s, want %s", name, size, got, states[1])
			}
			if info, _ := os.Stat(log); info.Size() != sizes[1] {
				t.Fatalf("%s at %d: the torn record was not truncated", name, size)
			}
		}
	}
}

// TestCorruptMiddle flips a bit in each byte before the last record, which must be
// reported as a CorruptError and not taken for a torn record.
func TestCorruptMiddle(t *testing.T) {
	folder, log, _, sizes := writeRecords(t)
	intact, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	for at := range sizes[1] {
		b := append([]byte(nil), intact...)
		b[at] ^= 0x10
		if err := os.WriteFile(log, b, 0o600); err != nil {
			t.Fatal(err)
		}
		var corrupt *CorruptError
		if _, err := Open(folder); !errors.As(err, &corrupt) || corrupt.File != log {
			t.Fatalf("byte %d: error %v", at, err)
		}
		if (at < sizes[0]) != (corrupt.Offset == 0) || (at >= sizes[0] && corrupt.Offset != sizes[0]) {
			t.Fatalf("byte %d: reported at %d", at, corrupt.Offset)
		}
	}
}

func TestStateAtOpen(t *testing.T) {
	tests := map[string]struct {
		change func(s *Store) error
		want   State
		err    any
	}{
		"saved":                       {change: func(*Store) error { return nil }, want: StatePresent},
		"log removed":                 {change: func(s *Store) error { return os.Remove(s.logPath(s.seq)) }, want: StateLost},
		"folder removed":              {change: func(s *Store) error { return os.RemoveAll(s.folder) }, want: StateEmpty},
		"snapshot removed":            {change: func(s *Store) error { return os.Remove(s.snapshotPath(s.seq)) }, err: new(*FileError)},
		"snapshot corrupt":            {change: func(s *Store) error { return os.WriteFile(s.snapshotPath(s.seq), []byte("x"), 0o600) }, err: new(*CorruptError)},
		"log empty":                   {change: func(s *Store) error { return os.Truncate(s.logPath(s.seq), 0) }, err: new(*CorruptError)},
		"mark file of another format": {change: func(s *Store) error { return os.WriteFile(s.path(markName), nil, 0o600) }, err: new(*CorruptError)},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := open(t, t.TempDir())
			if err := s.Save(persist(1, 0, 1)); err != nil {
				t.Fatal(err)
			}
			if err := tt.change(s); err != nil {
				t.Fatal(err)
			}
			reopened, err := Open(s.folder)
			if tt.err != nil {
				if !errors.As(err, tt.err) {
					t.Fatalf("error %v, want %T", err, tt.err)
				}
				return
			}
			if err != nil || reopened.State() != tt.want {
				t.Fatalf("state %v, error %v", reopened, err)
			}
			_ = reopened.Close()
		})
	}
}

// TestFailures makes one random file operation of a random sequence of saves fail. The
// state read back must be the one before or after the failed Save, and exactly the one
// after a Save that succeeded. The Save after a failed one must fail, too.
func TestFailures(t *testing.T) {
	for seed := range uint64(200) {
		rng := rand.New(rand.NewPCG(seed, 2))
		remaining := rng.IntN(60)
		maybeFail := func() error {
			remaining--
			if remaining == 0 {
				return errors.New("disk")
			}
			return nil
		}
		fs := osFileOps()
		write, sync, rename := fs.Write, fs.Sync, fs.Rename
		fs.Write = func(f *os.File, b []byte) (int, error) {
			if err := maybeFail(); err != nil {
				n, _ := write(f, b[:rng.IntN(len(b)+1)])
				return n, err
			}
			return write(f, b)
		}
		fs.Sync = func(f *os.File) error { return errors.Join(sync(f), maybeFail()) }
		fs.Rename = func(from, to string) error {
			if err := maybeFail(); err != nil {
				return err
			}
			return rename(from, to)
		}
		checkFailure(t, rng, open(t, t.TempDir(), WithFileOps(fs)))
	}
}

func checkFailure(t *testing.T, rng *rand.Rand, s *Store) {
	t.Helper()
	before, after := encodeState(s.Saved()), ""
	for view := uint64(1); ; view++ {
		p := randomPersist(rng, s.Saved(), view)
		after = encodeState(s.merge(p))
		err := s.Save(p)
		if err != nil {
			var file *FileError
			if !errors.As(err, &file) || s.Save(p) == nil {
				t.Fatalf("error %v, and a later save succeeded", err)
			}
			break
		}
		if before = after; view > 20 {
			break
		}
	}
	got := encodeState(open(t, s.folder).Saved())
	if got != before && got != after {
		t.Fatalf("read back %s, want %s or %s", got, before, after)
	}
}

func randomPersist(rng *rand.Rand, s quorum.Saved, view uint64) quorum.Persist {
	last := s.Snapshot.Op + uint64(len(s.Entries))
	keep := s.Snapshot.Op + rng.Uint64N(last-s.Snapshot.Op+1)
	if rng.IntN(2) == 0 {
		keep = last
	}
	p := persist(view, keep)
	if rng.IntN(4) == 0 {
		p.Snapshot = &quorum.Snapshot{Op: keep, Members: []quorum.Member{{Name: "a"}}, Data: []byte{byte(view)}}
	}
	for op := range rng.Uint64N(4) {
		p.Entries = append(p.Entries, quorum.Entry{Op: keep + op + 1, View: view, Command: []byte{byte(op)}})
	}
	return p
}

// TestSyncedAfterSave checks after each Save that all files and renames are synced, so
// that they survive a power failure.
func TestSyncedAfterSave(t *testing.T) {
	folder := t.TempDir()
	fs := osFileOps()
	synced := map[string]int64{} // size of each file when it was synced
	renamed := false             // since the folder was synced
	fs.Sync = func(f *os.File) error {
		info, err := f.Stat()
		synced[f.Name()] = info.Size()
		renamed = renamed && f.Name() != folder
		return err
	}
	fs.Rename = func(from, to string) error {
		synced[to], renamed = synced[from], true
		return os.Rename(from, to)
	}
	s := open(t, folder, WithFileOps(fs))
	snapshot := quorum.Persist{Snapshot: &quorum.Snapshot{Op: 3, Data: []byte("lists")}}
	for i, p := range []quorum.Persist{persist(1, 0, 1, 2), persist(2, 2, 3), snapshot, persist(3, 3, 4)} {
		if err := s.Save(p); err != nil {
			t.Fatal(err)
		}
		names, err := s.list()
		if err != nil || renamed {
			t.Errorf("save %d: %v, folder not synced %v", i, err, renamed)
		}
		for _, name := range names {
			info, err := os.Stat(s.path(name))
			if err != nil || info.Size() != synced[s.path(name)] {
				t.Errorf("save %d: %v, only %d bytes of %s are synced", i, err, synced[s.path(name)], name)
			}
		}
	}
}
