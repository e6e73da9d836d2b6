package soak

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"dogwoodrock.example/dogwoodrock/platform"
	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

const (
	gracePeriod  = 6 * time.Second        // from SIGTERM to SIGKILL
	restartDelay = 200 * time.Millisecond // between the exit of a process and its restart
)

// host is one host and its current daemon process.
type host struct {
	system       *System
	name         string
	core         bool
	dataCentre   int
	ip           string // at which other hosts reach it, through the relay
	folder       string
	relay        *Relay // for connections from other hosts
	cmd          *exec.Cmd
	ended        chan struct{}
	exit         exit // may be read only after ended is closed
	bootstrapped bool
	paused       bool
}

func (h *host) front() string   { return mimic.Address(h.ip, h.system.basePort+21) }
func (h *host) control() string { return mimic.Address(h.ip, h.system.basePort+20) }

// settings returns the text of the settings file. Only the first start bootstraps the core.
func (h *host) settings() string {
	var b strings.Builder
	class := "front"
	if h.core {
		class = "core"
	}
	fmt.Fprintf(&b, "node = %q\nclass = %q\nip = %q\nzone = \"z%d\"\nport_range = [%d,%d]\nbootstrap = %v\n",
		h.name, class, h.ip, h.dataCentre, h.system.basePort, h.system.basePort+15, !h.bootstrapped)
	fmt.Fprintf(&b, "seeds = [%q,%q,%q]\ndata_dir = %q\n", h.system.controls[0], h.system.controls[1], h.system.controls[2], filepath.Join(h.folder, "data"))
	fmt.Fprintf(&b, "[listen]\nfront = %q\nreadiness = %q\ncontrol = %q\n", h.front(), mimic.Address(h.ip, h.system.basePort+22), h.control())
	fmt.Fprintf(&b, "[limits]\ncpu_share = 0.%d\ncores = 1\nmemory_mb = 256\n[bounds]\ngrace_s = %d\n", 3+len(h.name)%3, int(gracePeriod.Seconds()))
	return b.String()
}

// start writes the settings file and starts the daemon.
func (h *host) start() error {
	path := filepath.Join(h.folder, "boot.toml")
	if err := os.WriteFile(path, []byte(h.settings()), 0o600); err != nil {
		return err
	}
	h.bootstrapped = true
	log, err := os.OpenFile(filepath.Join(h.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.system.Daemon)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path, platform.PeerListenVariable+"="+mimic.Address(h.daemonIP(), h.system.basePort))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	h.cmd, h.ended = cmd, make(chan struct{})
	go func(ended chan struct{}) {
		_ = cmd.Wait()
		h.exit = exitOf(log, cmd.ProcessState)
		h.system.journal.write("exit of %s, last write at %s, %v", h.name, h.exit.logged.UTC().Format(journalTime), cmd.ProcessState)
		_ = log.Close()
		close(ended)
	}(h.ended)
	return nil
}

// exit tells when a process has exited.
type exit struct {
	seen   time.Time // by the soak
	logged time.Time // last write of a process that exited by itself, otherwise the same as seen
}

// exitOf returns when a process has exited that wrote the log. If it exited by itself, it flushes the log immediately
// before.
func exitOf(log *os.File, state *os.ProcessState) exit {
	e := exit{seen: time.Now()}
	e.logged = e.seen
	if info, err := log.Stat(); err == nil && state.Success() {
		e.logged = info.ModTime()
	}
	return e
}

// by reports whether the process exited by a deadline. Its last write counts only if the soak stood still at the
// deadline, as on a busy machine, and saw the exit late because of that.
func (e exit) by(deadline time.Time, stalls *stalls) bool {
	return !e.seen.After(deadline) || !e.logged.After(deadline) && stalls.cover(deadline)
}

// daemonIP returns the IP address on which the daemon listens behind its relay.
func (h *host) daemonIP() string {
	return strings.Replace(h.ip, "127.", "127.1", 1)
}

// signal sends a signal to the process unless it has exited.
func (h *host) signal(s syscall.Signal) {
	select {
	case <-h.ended:
	default:
		_ = h.cmd.Process.Signal(s)
	}
}

// stop stops the process with SIGKILL. A planned stop sends SIGTERM first, and SIGKILL only if the process
// hasn't exited within the grace period; stop then returns false.
func (h *host) stop(planned bool) bool {
	if h.paused {
		h.signal(syscall.SIGCONT)
		h.paused = false
	}
	signalledAt := time.Now()
	if planned {
		h.signal(syscall.SIGTERM)
		select {
		case <-h.ended:
		case <-time.After(gracePeriod):
		}
	}
	h.signal(syscall.SIGKILL)
	<-h.ended
	deadline, stalls := signalledAt.Add(gracePeriod), h.system.journal.stalls
	if !planned || !h.exit.seen.After(deadline) {
		return true
	}
	for n := 0; n < 20 && !stalls.known(h.exit.seen); n++ { // a stall that has just ended may not be recorded yet
		time.Sleep(stallInterval)
	}
	return h.exit.by(deadline, stalls)
}

// restart starts the process again. If wipe is set, it erases the data folder first.
func (h *host) restart(wipe bool) error {
	if wipe {
		if err := os.RemoveAll(filepath.Join(h.folder, "data")); err != nil {
			return err
		}
	}
	time.Sleep(restartDelay)
	return h.start()
}

// addHost creates the folder of a host and starts its relay.
func (s *System) addHost(ctx context.Context, name string, dataCentre, number int, isCore bool) (*host, error) {
	h := &host{system: s, name: name, dataCentre: dataCentre, core: isCore, ip: fmt.Sprintf("127.%d.%d.%d", s.octet, dataCentre+1, number)}
	h.folder = filepath.Join(s.Folder, name)
	if err := os.MkdirAll(h.folder, 0o700); err != nil {
		return nil, err
	}
	var err error
	h.relay, err = StartRelay(ctx, mimic.Address(h.ip, s.basePort), mimic.Address(h.daemonIP(), s.basePort))
	return h, err
}
