package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"
)

// sampleInterval is the interval between two measurements of a process.
const sampleInterval = 20 * time.Millisecond

// process is a running daemon.
type process struct {
	cmd  *exec.Cmd
	log  *bytes.Buffer // may be read once done is closed
	done chan struct{} // closed when the process has exited
	ips  []string      // its own addresses, to find its sockets
}

// use is what a process occupies.
type use struct {
	memory      int64 // bytes: resident, and received by the system for its sockets but not read yet
	unread      int64 // the part of memory that the system has received
	descriptors int
}

// startDaemon starts the daemon, which is killed at the end of the test.
func startDaemon(t *testing.T, ips []string, env []string, args ...string) *process {
	t.Helper()
	p := &process{cmd: exec.Command(daemonPath, args...), log: &bytes.Buffer{}, done: make(chan struct{}), ips: ips}
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
		if t.Failed() {
			text := p.log.String()
			t.Logf("end of the log of the daemon:\n%s", text[max(0, len(text)-800):])
		}
	})
	return p
}

func (p *process) alive() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// watch measures the process until stop is closed, and then sends the largest use that it has seen.
func (p *process) watch(stop <-chan struct{}) <-chan use {
	result := make(chan use, 1)
	go func() {
		var most use
		for {
			now := p.measure()
			if now.memory > most.memory {
				most.memory, most.unread = now.memory, now.unread
			}
			most.descriptors = max(most.descriptors, now.descriptors)
			select {
			case <-stop:
				most.memory = max(most.memory, p.status("VmHWM:"))
				result <- most
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	return result
}

// settle waits until the process has accepted the connections of a crowd: until its descriptors are the
// same in several measurements.
func (p *process) settle(t *testing.T) {
	t.Helper()
	const same = 10
	last, n := 0, 0
	waitUntil(t, "the crowd to be accepted", func() bool {
		if now := p.measure().descriptors; now != last {
			last, n = now, 0
		}
		n++
		return n >= same || !p.alive()
	})
}

// measure returns the present use of the process. What can't be read, as the process has exited, counts 0.
func (p *process) measure() use {
	entries, _ := os.ReadDir(p.folder("fd"))
	unread := p.unread()
	return use{memory: p.status("VmRSS:") + unread, unread: unread, descriptors: len(entries)}
}

func (p *process) folder(name string) string {
	return filepath.Join("/proc", strconv.Itoa(p.cmd.Process.Pid), name)
}

// status returns the value of a line of the process's status in bytes.
func (p *process) status(key string) int64 {
	data, _ := os.ReadFile(p.folder("status"))
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		if len(fields) == 3 && fields[0] == key {
			n, _ := strconv.ParseInt(fields[1], 10, 64)
			return n << 10
		}
	}
	return 0
}

// unread returns the bytes that wait in the receive queues of the connections at the process's addresses.
func (p *process) unread() int64 {
	own := map[string]bool{}
	for _, ip := range p.ips {
		own[hexAddress(ip)] = true
	}
	data, _ := os.ReadFile("/proc/net/tcp")
	total := int64(0)
	for line := range strings.Lines(string(data)) {
		fields := strings.Fields(line)
		const local, state, queues = 1, 3, 4
		if len(fields) <= queues || fields[state] == "0A" { // a listener's queue counts connections
			continue
		}
		ip, _, _ := strings.Cut(fields[local], ":")
		_, received, _ := strings.Cut(fields[queues], ":")
		if own[ip] {
			n, _ := strconv.ParseInt(received, 16, 64)
			total += n
		}
	}
	return total
}

// hexAddress returns an IP address as /proc/net/tcp shows it: as one number in the order of the machine.
func hexAddress(ip string) string {
	b := net.ParseIP(ip).To4()
	return strings.ToUpper(hex.EncodeToString(binary.BigEndian.AppendUint32(nil, binary.NativeEndian.Uint32(b))))
}

// settings are the values of a settings file of the platform that differ between the tests.
type settings struct {
	class    string
	ip       string
	core     string // IP address of the core host
	memoryMB int
	maxFDs   int
}

// Ports of the hosts of a test; every host has an address of its own.
const (
	peerPort      = 7720
	reportPort    = 7721
	controlPort   = 7740
	frontPort     = 7741
	readinessPort = 7742
	workerPort    = 7750
	operatorsPort = 9464
)

func at(ip string, port int) string {
	return net.JoinHostPort(ip, strconv.Itoa(port))
}

// startHost starts a host of the platform.
func startHost(t *testing.T, s settings) *process {
	t.Helper()
	dir := t.TempDir()
	text := fmt.Sprintf(`node = "%s-1"
class = "%s"
ip = "%s"
zone = "z0"
port_range = [%d,%d]
seeds = ["%s"]
bootstrap = true
data_dir = "%s"
[listen]
front = "%s"
readiness = "%s"
control = "%s"
[limits]
cpu_share = 0.5
cores = 1
memory_mb = %d
max_fds = %d
[bounds]
grace_s = 6
`, s.class, s.class, s.ip, peerPort, peerPort+15, at(s.core, controlPort), dir,
		at(s.ip, frontPort), at(s.ip, readinessPort), at(s.ip, controlPort), s.memoryMB, s.maxFDs)
	path := filepath.Join(dir, "boot.toml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return startDaemon(t, []string{s.ip}, []string{"DOGWOODROCK_NODE_FILE=" + path})
}

// startAlone starts the stand-alone daemon with a limit for one body.
func startAlone(t *testing.T, ip string, bodyBytes int) *process {
	t.Helper()
	dir := t.TempDir()
	text := fmt.Sprintf(`Host: {Name: local, DataCentre: local, Listen: "%s", DataFolder: "%s"}
Hosts:
  - {Name: local, DataCentre: local, Address: "%s", Front: "%s"}
Limits: {BodyBytes: %d, ListBytes: 65536, Connections: %d}
`, at(ip, frontPort), filepath.Join(dir, "data"), at(ip, peerPort), at(ip, frontPort), bodyBytes, aloneConnections)
	path := filepath.Join(dir, "settings.yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return startDaemon(t, []string{ip}, []string{"DOGWOODROCK_NODE_FILE="}, "--settings", path)
}

// reserveAddresses returns a function for the addresses of a test, which no other test uses until this
// one ends. A listener on one of them is the lock. Other tests use other second octets.
func reserveAddresses(t *testing.T) func(n int) string {
	t.Helper()
	const firstOctet, lastOctet = 150, 189
	for octet := firstOctet; octet <= lastOctet; octet++ {
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, operatorsPort))
		if err != nil {
			continue
		}
		t.Cleanup(func() { _ = l.Close() })
		return func(n int) string { return fmt.Sprintf("127.%d.1.%d", octet, n) }
	}
	t.Fatal("all addresses are in use")
	return nil
}

// measurable reports whether the system tells what a process occupies.
func (*process) measurable() bool {
	_, err := os.Stat("/proc/self/status")
	return err == nil
}
