package soak

import (
	"crypto/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// tornBytes is the length of what is left of a write that a loss of power tore.
const tornWriteBytes = 100

// fillDisk lets all writes to files fail for a while, those of the log lines
// included. A process that ends by it is started again.
func (h *host) failWrites(duration time.Duration) error {
	pid := h.cmd.Process.Pid
	var before unix.Rlimit
	if err := unix.Prlimit(pid, unix.RLIMIT_FSIZE, &unix.Rlimit{Max: unix.RLIM_INFINITY}, &before); err != nil {
		return err
	}
	select {
	case <-h.ended:
		return h.restart(false)
	case <-time.After(duration):
	}
	return unix.Prlimit(pid, unix.RLIMIT_FSIZE, &before, nil)
}

// tearLog appends to the newest log of a host that doesn't run what a loss of
// power may leave of a write that wasn't synced.
func (h *host) appendTornWrite() error {
	logs, err := filepath.Glob(filepath.Join(h.folder, "data", "core", "log-*"))
	if err != nil || len(logs) == 0 {
		return err
	}
	f, err := os.OpenFile(slices.Max(logs), os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	torn := make([]byte, tornWriteBytes)
	_, _ = rand.Read(torn) // it never fails
	if _, err := f.Write(torn); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
