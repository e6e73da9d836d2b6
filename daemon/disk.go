package daemon

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/disk"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/keeper"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Names in a data folder.
const (
	listsFolder = "lists"   // the log of the lists group
	inForceFile = "inforce" // the lists that were put in force last
	markFile    = "mark"    // tells that the data centre's group has run before
)

// openDisk opens the data folder, if this host has one.
func (h *Host) openDisk() (*keeper.Disk, error) {
	folder := h.Settings.Host.DataFolder
	if folder == "" {
		return nil, nil
	}
	store, err := disk.Open(filepath.Join(folder, listsFolder))
	if err != nil {
		return nil, err
	}
	if store.State() == disk.StateLost {
		h.Log.At(events.DiskLost).Str("Folder", folder).Send()
	}
	start, err := readInForce(filepath.Join(folder, inForceFile))
	if err != nil {
		return nil, err
	}
	_, err = os.Stat(filepath.Join(folder, markFile))
	h.marked = err == nil || store.State() != disk.StateEmpty
	saved := store.Saved()
	return &keeper.Disk{
		Saved:      &saved,
		Active:     start,
		StateLost:  store.State() == disk.StateLost,
		Persist:    func(p *quorum.Persist) error { return store.Save(*p) },
		SaveActive: func(u lists.Update) error { return writeInForce(filepath.Join(folder, inForceFile), u) },
	}, nil
}

func readInForce(path string) (lists.Update, error) {
	data, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return lists.Update{}, nil
	}
	if err != nil {
		return lists.Update{}, &disk.FileError{Op: "read", File: path, Cause: err}
	}
	u, err := codec.FromLists(data)
	if err != nil {
		return lists.Update{}, &disk.CorruptError{File: path, Reason: err.Error()}
	}
	return u, nil
}

func writeInForce(path string, u lists.Update) error {
	data, err := codec.Lists(u)
	if err != nil {
		return err
	}
	return disk.WriteFile(path, data)
}

// listsReady hears that this host's replica of the lists group knows the lists.
// Only then an unmarked folder is proof of a first installation: had the data
// centre ever served a request, lists would have been in force.
func (h *Host) listsReady(version uint64) {
	state := msgs.InstallationFresh
	if h.marked || version > 0 || h.Settings.Host.DataFolder == "" {
		state = msgs.InstallationMarked
	}
	h.post(msgs.ServiceJobs, jobs.Installation{State: state})
}

// mark notes in the data folder that the data centre's group has begun.
func (h *Host) mark() {
	folder := h.Settings.Host.DataFolder
	if folder == "" {
		return
	}
	path := filepath.Join(folder, markFile)
	if _, err := os.Stat(path); err == nil {
		return
	}
	if err := disk.WriteFile(path, []byte("begun\n")); err != nil {
		h.Kernel.Fail(err)
	}
}
