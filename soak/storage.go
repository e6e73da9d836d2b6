package soak

import (
	"crypto/rand"
	"os"
	"path/filepath"
	"slices"
	"time"

	"golang.org/x/sys/unix"
)

// tornWriteBytes is the length of the incomplete write that a power failure leaves.
const tornWriteBytes = 100

// failWrites makes all file writes of the process fail for a while, including those of log lines, as on a
// full disk. A process that exits because of it is started again.
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

// appendTornWrite appends random bytes to the newest log of a stopped host, like those that a power failure
// may leave of a write that wasn't synced.
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
	_, _ = rand.Read(torn) // never fails
	if _, err := f.Write(torn); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}
