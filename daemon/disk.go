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

// Names of the folders and files in a data folder.
const (
	listsFolder     = "lists"   // log and snapshots of the lists group
	activeListsFile = "inforce" // the lists that were active last
	markFile        = "mark"    // exists once the data centre's group has started
)

// openDisk opens the data folder. It returns nil if this host has none.
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
	start, err := readActiveLists(filepath.Join(folder, activeListsFile))
	if err != nil {
		return nil, err
	}
	_, err = os.Stat(filepath.Join(folder, markFile))
	h.usedBefore = err == nil || store.State() != disk.StateEmpty
	saved := store.Saved()
	return &keeper.Disk{
		Saved:      &saved,
		Active:     start,
		StateLost:  store.State() == disk.StateLost,
		Persist:    func(p *quorum.Persist) error { return store.Save(*p) },
		SaveActive: func(u lists.Update) error { return writeActiveLists(filepath.Join(folder, activeListsFile), u) },
	}, nil
}

func readActiveLists(path string) (lists.Update, error) {
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

func writeActiveLists(path string, u lists.Update) error {
	data, err := codec.Lists(u)
	if err != nil {
		return err
	}
	return disk.WriteFile(path, data)
}

// reportInstallation reports to the jobs service whether this is a first installation, once
// this host's replica of the lists group knows the version of the lists. Only then does an unused
// folder prove a first installation: requests are served only with active lists, so while there
// is no version of the lists, the data centre can't have served a request.
func (h *Host) reportInstallation(version uint64) {
	state := msgs.InstallationFresh
	if h.usedBefore || version > 0 || h.Settings.Host.DataFolder == "" {
		state = msgs.InstallationMarked
	}
	h.post(msgs.ServiceJobs, jobs.Installation{State: state})
}

// writeMark creates the mark file when the data centre's group has started. A failure stops the
// host.
func (h *Host) writeMark() {
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
