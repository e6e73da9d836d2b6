package disk

import (
	"errors"
	"os"
	"syscall"
)

// FileOps holds the file operations, which tests replace to inject faults.
type FileOps struct {
	Create   func(path string) (*os.File, error)
	Write    func(f *os.File, b []byte) (int, error)
	Sync     func(f *os.File) error
	Truncate func(f *os.File, size int64) error
	Rename   func(from, to string) error
	Remove   func(path string) error
}

func osFileOps() FileOps {
	return FileOps{
		Create:   os.Create,
		Write:    (*os.File).Write,
		Sync:     (*os.File).Sync,
		Truncate: (*os.File).Truncate,
		Rename:   os.Rename,
		Remove:   os.Remove,
	}
}

// isDiskFull reports whether the disk or the user's quota on it is full.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// write appends to a file and syncs it. If the disk is full, some of the bytes may
// have been written. A failed sync is never reported as Full, because the content
// of the file is unknown after it.
func (fs FileOps) write(f *os.File, b []byte) error {
	if _, err := fs.Write(f, b); err != nil {
		return &FileError{Op: "write", File: f.Name(), Cause: err, Full: isDiskFull(err)}
	}
	if err := fs.Sync(f); err != nil {
		return &FileError{Op: "sync", File: f.Name(), Cause: err}
	}
	return nil
}

// create writes a file atomically: it appears under its name complete and synced, or
// not at all.
func (fs FileOps) create(folder, path string, b []byte) error {
	f, err := fs.Create(path + tempSuffix)
	if err != nil {
		return &FileError{Op: "create", File: path, Cause: err, Full: isDiskFull(err)}
	}
	err = fs.write(f, b)
	if closing := f.Close(); err == nil && closing != nil {
		err = &FileError{Op: "close", File: f.Name(), Cause: closing}
	}
	if err != nil {
		_ = fs.Remove(f.Name()) // frees its disk space; a retry overwrites it anyway
		return err
	}
	if err := fs.Rename(f.Name(), path); err != nil {
		return &FileError{Op: "rename", File: path, Cause: err, Full: isDiskFull(err)}
	}
	return fs.syncFolder(folder)
}

func (fs FileOps) syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return &FileError{Op: "open", File: path, Cause: err}
	}
	defer func() { _ = f.Close() }()
	if err := fs.Sync(f); err != nil {
		return &FileError{Op: "sync", File: path, Cause: err}
	}
	return nil
}
