package opcmd

import (
	"crypto/sha256"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"dogwoodrock.example/dogwoodrock/wire"
)

// pendingEdit is the file that stores the ID of an edit until it is answered, so that a repeated put
// is a retry of the same edit.
type pendingEdit struct {
	path string
}

// newPendingEdit returns the pendingEdit of an edit. The path is derived from the list, base version
// and text, so equal edits share a file.
func newPendingEdit(state, list string, edit *wire.PutList) pendingEdit {
	digest := sha256.Sum256(fmt.Appendf(nil, "%d %s", edit.BaseVersion, edit.Text))
	return pendingEdit{path: filepath.Join(state, fmt.Sprintf("%s-%x.edit", list, digest[:8]))}
}

// id returns the ID of an earlier attempt, or stores a new one.
func (p pendingEdit) id(newID func() string) (string, error) {
	stored, err := os.ReadFile(p.path)
	if err == nil && len(stored) > 0 {
		return string(stored), nil
	}
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return "", fileError(p.path, err)
	}
	id := newID()
	if err := p.store(id); err != nil {
		return "", fileError(p.path, err)
	}
	return id, nil
}

// store writes the ID atomically: it renames a complete, synced file.
func (p pendingEdit) store(id string) error {
	if err := os.MkdirAll(filepath.Dir(p.path), 0o700); err != nil {
		return err
	}
	f, err := os.CreateTemp(filepath.Dir(p.path), "new-*")
	if err != nil {
		return err
	}
	_, err = f.WriteString(id)
	if err := errors.Join(err, f.Sync(), f.Close()); err != nil {
		return err
	}
	return os.Rename(f.Name(), p.path)
}

// remove deletes the file. It is called once the edit has been answered.
func (p pendingEdit) remove() error {
	if err := os.Remove(p.path); err != nil {
		return fileError(p.path, err)
	}
	return nil
}
