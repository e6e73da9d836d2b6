package disk

import (
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// fault makes a file operation fail while it is set. A failing write writes only some
// of its bytes.
type fault struct {
	op      string // empty for none
	file    string // prefix of the file name
	written int    // bytes that a failing write writes
	cause   error
	once    bool
}

func (f *fault) check(op, file string) error {
	if f.op != op || !strings.HasPrefix(filepath.Base(file), f.file) {
		return nil
	}
	if f.once {
		f.op = ""
	}
	return &os.PathError{Op: op, Path: file, Err: f.cause}
}

func (f *fault) ops() FileOps {
	fs := osFileOps()
	sys := fs
	fs.Create = func(path string) (*os.File, error) {
		if err := f.check("create", path); err != nil {
			return nil, err
		}
		return sys.Create(path)
	}
	fs.Write = func(file *os.File, b []byte) (int, error) {
		if err := f.check("write", file.Name()); err != nil {
			n, _ := sys.Write(file, b[:min(f.written, len(b))])
			return n, err
		}
		return sys.Write(file, b)
	}
	fs.Sync = func(file *os.File) error { return errors.Join(sys.Sync(file), f.check("sync", file.Name())) }
	fs.Truncate = func(file *os.File, size int64) error {
		if err := f.check("truncate", file.Name()); err != nil {
			return err
		}
		return sys.Truncate(file, size)
	}
	fs.Rename = func(from, to string) error {
		if err := f.check("rename", to); err != nil {
			return err
		}
		return sys.Rename(from, to)
	}
	return fs
}

// readBack opens a copy of a folder, like a restart after a power failure, and returns
// the state found.
func readBack(t *testing.T, folder string) string {
	t.Helper()
	other := t.TempDir()
	if err := os.CopyFS(other, os.DirFS(folder)); err != nil {
		t.Fatal(err)
	}
	return encodeState(open(t, other).Saved())
}

type fullTest struct {
	fault  fault
	modify func(p *quorum.Persist)
	first  bool // the failing Save is the first one of the folder
	fatal  bool // all further calls of Save fail
}

// TestFull guards against data loss on a full disk: a Save that failed with IsFull must
// leave the state before or after it, and succeed when it is retried with free space. A
// failed sync or an I/O error must end the use of the folder.
func TestFull(t *testing.T) {
	tests := map[string]fullTest{
		"nothing of a record is written":             {fault: fault{op: "write", file: logPrefix, cause: syscall.ENOSPC}},
		"part of a record is written":                {fault: fault{op: "write", file: logPrefix, written: 40, cause: syscall.ENOSPC}},
		"a record is written, but an error returned": {fault: fault{op: "write", file: logPrefix, written: 1 << 20, cause: syscall.ENOSPC}},
		"the quota is used up":                       {fault: fault{op: "write", file: logPrefix, written: 40, cause: syscall.EDQUOT}},
		"part of a snapshot is written":              {fault: fault{op: "write", file: snapshotPrefix, written: 2, cause: syscall.ENOSPC}, modify: addSnapshot},
		"part of a new log is written":               {fault: fault{op: "write", file: logPrefix, written: 40, cause: syscall.ENOSPC}, modify: addSnapshot},
		"a snapshot file can't be created":           {fault: fault{op: "create", file: snapshotPrefix, cause: syscall.ENOSPC}, modify: addSnapshot},
		"a new log can't be renamed":                 {fault: fault{op: "rename", file: logPrefix, cause: syscall.ENOSPC}, modify: addSnapshot},
		"disk full at the first log":                 {fault: fault{op: "write", file: logPrefix, written: 40, cause: syscall.ENOSPC}, first: true},
		"disk full at the mark file":                 {fault: fault{op: "write", file: markName, written: 3, cause: syscall.ENOSPC}, first: true},
		"a sync reports a full disk":                 {fault: fault{op: "sync", file: logPrefix, cause: syscall.ENOSPC}, fatal: true},
		"a sync reports a full disk once":            {fault: fault{op: "sync", file: logPrefix, cause: syscall.ENOSPC, once: true}, fatal: true},
		"a sync of a snapshot reports it":            {fault: fault{op: "sync", file: snapshotPrefix, cause: syscall.EDQUOT, once: true}, modify: addSnapshot, fatal: true},
		"a sync of the folder reports it":            {fault: fault{op: "sync", file: "001", cause: syscall.ENOSPC}, modify: addSnapshot, fatal: true},
		"I/O error in a write":                       {fault: fault{op: "write", file: logPrefix, written: 40, cause: syscall.EIO}, fatal: true},
		"I/O error in a sync":                        {fault: fault{op: "sync", file: logPrefix, cause: syscall.EIO}, fatal: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var active fault
			s := open(t, t.TempDir(), WithFileOps(active.ops()))
			p, next := persist(3, 0, 1, 2), persist(4, 2, 3)
			if !tt.first {
				save(t, s, persist(1, 0, 1, 2))
				save(t, s, persist(2, 2, 3))
				p, next = persist(3, 1, 2, 3), persist(4, 3, 4)
			}
			if tt.modify != nil {
				tt.modify(&p)
			}
			active = tt.fault
			checkFailingSaves(t, s, p, tt.fatal)
			active = fault{}
			if err := s.Save(p); (err != nil) != tt.fatal {
				t.Fatalf("retried save: error %v", err)
			}
			if tt.fatal {
				return
			}
			want := encodeState(s.merge(next))
			save(t, s, next)
			if got := readBack(t, s.folder); got != want || encodeState(s.Saved()) != want {
				t.Fatalf("read back %s, in memory %s, want %s", got, encodeState(s.Saved()), want)
			}
			if names, err := s.list(); err != nil || len(names) != 3 {
				t.Errorf("the folder contains %v, error %v", names, err)
			}
		})
	}
}

func save(t *testing.T, s *Store, p quorum.Persist) {
	t.Helper()
	if err := s.Save(p); err != nil {
		t.Fatal(err)
	}
}

// checkFailingSaves calls Save three times while a fault is set, and checks the error
// and the state on disk after each call.
func checkFailingSaves(t *testing.T, s *Store, p quorum.Persist, fatal bool) {
	t.Helper()
	before, after := encodeState(s.Saved()), encodeState(s.merge(p))
	for range 3 {
		var file *FileError
		if err := s.Save(p); !errors.As(err, &file) || IsFull(err) == fatal {
			t.Fatalf("error %v, full %v", err, IsFull(err))
		}
		if got := readBack(t, s.folder); got != before && got != after {
			t.Fatalf("read back %s, want %s or %s", got, before, after)
		}
	}
}

// TestPendingSaveFirst checks that a Persist that failed on a full disk can't be skipped:
// saving another one first must fail.
func TestPendingSaveFirst(t *testing.T) {
	var active fault
	s := open(t, t.TempDir(), WithFileOps(active.ops()))
	save(t, s, persist(1, 0, 1))
	active = fault{op: "write", cause: syscall.ENOSPC}
	if err := s.Save(persist(2, 1)); !IsFull(err) {
		t.Fatalf("error %v", err)
	}
	active = fault{}
	if err := s.Save(persist(2, 1, 2)); err == nil || IsFull(err) {
		t.Fatalf("another Persist was saved first: error %v", err)
	}
}

func addSnapshot(p *quorum.Persist) {
	p.Snapshot = &quorum.Snapshot{Op: p.Keep, Members: []quorum.Member{{Name: "a"}}, Data: []byte("lists")}
}

// TestTruncateFails guards against a record that is appended after a torn one: the disk
// is full while a record is written, and the truncation of the torn record fails, too.
func TestTruncateFails(t *testing.T) {
	tests := map[string]struct {
		cause error // of the failed truncation
		fatal bool
	}{
		"disk full": {cause: syscall.ENOSPC},
		"I/O error": {cause: syscall.EIO, fatal: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var write, truncate fault
			fs := write.ops()
			fs.Truncate = truncate.ops().Truncate
			s := open(t, t.TempDir(), WithFileOps(fs))
			save(t, s, persist(1, 0, 1, 2))
			p := persist(2, 2, 3)
			before, after := encodeState(s.Saved()), encodeState(s.merge(p))
			write = fault{op: "write", written: 40, cause: syscall.ENOSPC}
			truncate = fault{op: "truncate", cause: tt.cause}
			for range 2 {
				if err := s.Save(p); err == nil || IsFull(err) == tt.fatal {
					t.Fatalf("error %v", err)
				}
				if got := readBack(t, s.folder); got != before {
					t.Fatalf("read back %s, want %s", got, before)
				}
			}
			write = fault{}
			if err := s.Save(p); err == nil {
				t.Fatal("a record was written after a torn one")
			}
			truncate = fault{}
			if err := s.Save(p); (err != nil) != tt.fatal {
				t.Fatalf("retried save: error %v", err)
			}
			if got := readBack(t, s.folder); !tt.fatal && got != after {
				t.Fatalf("read back %s, want %s", got, after)
			}
		})
	}
}

// TestIntermittentlyFull runs random saves on a disk that is full at times. After each
// Save it reads the folder back, as after a power failure: the result must be the state
// before or after a Save that failed, and the state after one that succeeded.
func TestIntermittentlyFull(t *testing.T) {
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 3))
		fullRate := 0.0
		fs := osFileOps()
		sys := fs
		maybeFull := func() error {
			if rng.Float64() < fullRate {
				return []error{syscall.ENOSPC, syscall.EDQUOT}[rng.IntN(2)]
			}
			return nil
		}
		fs.Write = func(f *os.File, b []byte) (int, error) {
			if err := maybeFull(); err != nil {
				n, _ := sys.Write(f, b[:rng.IntN(len(b)+1)])
				return n, err
			}
			return sys.Write(f, b)
		}
		fs.Create = func(path string) (*os.File, error) {
			if err := maybeFull(); err != nil {
				return nil, err
			}
			return sys.Create(path)
		}
		fs.Truncate = func(f *os.File, size int64) error { return errors.Join(sys.Truncate(f, size), maybeFull()) }
		fs.Rename = func(from, to string) error {
			if err := maybeFull(); err != nil {
				return err
			}
			return sys.Rename(from, to)
		}
		s := open(t, t.TempDir(), WithFileOps(fs))
		for view := uint64(1); view < 20; view++ {
			fullRate = []float64{0, 0.3, 0.9}[rng.IntN(3)]
			p := randomPersist(rng, s.Saved(), view)
			before, after := encodeState(s.Saved()), encodeState(s.merge(p))
			for s.Save(p) != nil {
				if got := readBack(t, s.folder); got != before && got != after {
					t.Fatalf("seed %d, save %d failed: read back %s, want %s or %s", seed, view, got, before, after)
				}
				fullRate *= 0.8
				if s.err != nil {
					t.Fatalf("seed %d, save %d: %v", seed, view, s.err)
				}
			}
			if got := readBack(t, s.folder); got != after || encodeState(s.Saved()) != after {
				t.Fatalf("seed %d, save %d: read back %s, in memory %s, want %s", seed, view, got, encodeState(s.Saved()), after)
			}
		}
	}
}
