package proof

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// daemonPath is the path of the daemon under test, which is built once for all tests.
var daemonPath string

// Host is one entry host and its process.
type Host struct {
	Name       string
	DataCentre string
	Address    string
	Front      string
	Folder     string
	Disk       bool

	process *process
}

// process is one daemon process. The log and state may be read only after done is closed.
type process struct {
	cmd   *exec.Cmd
	log   *bytes.Buffer
	done  chan struct{} // closed when the process has exited
	state *os.ProcessState
}

// writeSettings writes the settings file. With relays, each host gets addresses of its own for the other
// hosts.
func (h *Host) writeSettings(t *testing.T, s *System, timing string) {
	t.Helper()
	var text, disks strings.Builder
	fmt.Fprintf(&text, "Host:\n  Name: %s\n  DataCentre: %s\n  Listen: %s\n", h.Name, h.DataCentre, h.Front)
	if h.Disk {
		fmt.Fprintf(&text, "  DataFolder: %s\n", h.dataFolder())
	}
	text.WriteString("Hosts:\n")
	for _, other := range s.Hosts {
		address := other.Address
		if s.Relays != nil && other != h {
			address = s.Relays.Address(t, h.Name, other.Name)
		}
		fmt.Fprintf(&text, "  - {Name: %s, DataCentre: %s, Address: %q, Front: %q}\n",
			other.Name, other.DataCentre, address, other.Front)
		if other.Disk {
			fmt.Fprintf(&disks, "    - %s\n", other.Name)
		}
	}
	text.WriteString("Lists:\n  Hosts:\n" + disks.String())
	if timing != "" {
		text.WriteString("Timing:\n" + timing)
	}
	if err := os.MkdirAll(h.dataFolder(), 0o700); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(h.settingsPath(), []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (h *Host) dataFolder() string {
	return filepath.Join(h.Folder, "data")
}

func (h *Host) settingsPath() string {
	return filepath.Join(h.Folder, "settings.yaml")
}

// Start starts the daemon, which is killed at the end of the test.
func (h *Host) Start(t *testing.T) {
	t.Helper()
	p := &process{log: &bytes.Buffer{}, done: make(chan struct{})}
	p.cmd = exec.Command(daemonPath, "--settings", h.settingsPath())
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		p.state = p.cmd.ProcessState
		close(p.done)
	}()
	h.process = p
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			t.Logf("log of %s, %v:\n%s", h.Name, p.state, ends(p.log.Bytes()))
		}
	})
}

// Running reports whether the process has not exited.
func (h *Host) Running() bool {
	select {
	case <-h.process.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits until it has exited.
func (h *Host) Kill() {
	_ = h.process.cmd.Process.Kill()
	<-h.process.done
}

// Terminate sends SIGTERM, waits for the graceful stop and returns the exit code.
func (h *Host) Terminate() int {
	_ = h.process.cmd.Process.Signal(syscall.SIGTERM)
	<-h.process.done
	return h.process.state.ExitCode()
}

// Pause suspends the process with SIGSTOP.
func (h *Host) Pause() {
	_ = h.process.cmd.Process.Signal(syscall.SIGSTOP)
}

// Resume continues a paused process.
func (h *Host) Resume() {
	_ = h.process.cmd.Process.Signal(syscall.SIGCONT)
}

// EraseDisk empties the data folder of a host that doesn't run.
func (h *Host) EraseDisk(t *testing.T) {
	t.Helper()
	if err := os.RemoveAll(h.dataFolder()); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(h.dataFolder(), 0o700); err != nil {
		t.Fatal(err)
	}
}

// ends returns the first and the last lines of a log: the first tell how a fault began, the last what was left of it.
func ends(log []byte) string {
	const firstBytes, lastBytes = 16 << 10, 16 << 10
	if len(log) <= firstBytes+lastBytes {
		return string(log)
	}
	first, last := log[:firstBytes], log[len(log)-lastBytes:]
	first = first[:bytes.LastIndexByte(first, '\n')+1]
	last = last[bytes.IndexByte(last, '\n')+1:]
	return fmt.Sprintf("%s... %d bytes left out ...\n%s", first, len(log)-len(first)-len(last), last)
}
