package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Bounds of the deployment, as the site files of the small deployments set them.
const (
	contactTime    = 3000 * time.Millisecond
	ackTime        = 4000 * time.Millisecond
	drainTime      = 2000 * time.Millisecond
	cancelTime     = 3000 * time.Millisecond
	maxHold        = 1000 * time.Millisecond
	stopGrace      = 50 * time.Millisecond
	retransmitTime = 1300 * time.Millisecond
	heartbeatTime  = 1500 * time.Millisecond
	grace          = 6 * time.Second
)

// zones are the zones of the fleet; each has one core machine.
var zones = []string{"changwon", "gimhae", "jinju"}

// Fleet is the system under test: its daemons as separate processes on loopback addresses.
type Fleet struct {
	Root     string // of the repository
	Folder   string // temporary
	Octet    int    // second octet of the addresses
	Port     int    // first port
	Machines []*Machine
	Rec      *Record
}

// Machine is one machine of the system, with its process.
type Machine struct {
	Name   string
	Zone   int
	Core   bool
	IP     string
	Share  string // cpu_share
	cmd    *exec.Cmd
	ended  chan struct{}
	folder string
	began  bool
}

// Ports, relative to Fleet.Port.
const (
	portPeers = iota
	portFront = iota + 20
	portReady
	portControl
	portWorker
	portVIP
)

func addr(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

// NewFleet reserves addresses and lays out the machines: a core machine and two fronts a zone. The second
// front of a zone is the larger one.
func NewFleet(root string, rec *Record) (*Fleet, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	f := &Fleet{Root: root, Folder: folder, Rec: rec}
	for range 50 {
		f.Octet, f.Port = 20+rand.IntN(200), 20000+100*rand.IntN(100)
		if f.free() {
			break
		}
	}
	for z := range zones {
		f.Machines = append(f.Machines, f.machine(fmt.Sprintf("core-%s-1", zones[z]), z, 9, true, "0.8"))
		f.Machines = append(f.Machines, f.machine(fmt.Sprintf("front-%s-1", zones[z]), z, 1, false, "0.4"))
		f.Machines = append(f.Machines, f.machine(fmt.Sprintf("front-%s-2", zones[z]), z, 2, false, "0.992"))
	}
	return f, nil
}

// free reports whether the addresses of the fleet seem unused.
func (f *Fleet) free() bool {
	for z := range zones {
		for _, a := range []string{addr(f.ip(z, 9), f.Port+portControl), addr(f.ip(z, 1), f.Port+portFront), addr(f.ip(z, 1), 9464)} {
			l, err := net.Listen("tcp", a)
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func (f *Fleet) ip(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", f.Octet, zone+1, n) }

func (f *Fleet) machine(name string, zone, n int, isCore bool, share string) *Machine {
	return &Machine{Name: name, Zone: zone, Core: isCore, IP: f.ip(zone, n), Share: share, folder: filepath.Join(f.Folder, name)}
}

// Controls returns the control addresses.
func (f *Fleet) Controls() []string {
	var list []string
	for _, m := range f.Machines {
		if m.Core {
			list = append(list, addr(m.IP, f.Port+portControl))
		}
	}
	return list
}

// Fronts returns the fronts of a zone.
func (f *Fleet) Fronts(zone int) []*Machine {
	var list []*Machine
	for _, m := range f.Machines {
		if !m.Core && m.Zone == zone {
			list = append(list, m)
		}
	}
	return list
}

// Front returns the front address of a machine.
func (f *Fleet) Front(m *Machine) string { return addr(m.IP, f.Port+portFront) }

// ByIP returns the machine with an IP address.
func (f *Fleet) ByIP(ip string) *Machine {
	for _, m := range f.Machines {
		if m.IP == ip {
			return m
		}
	}
	return nil
}

func (f *Fleet) settings(m *Machine) string {
	class, listen := "front", fmt.Sprintf("front = %q\nreadiness = %q\n", f.Front(m), addr(m.IP, f.Port+portReady))
	memory, disk := 284, 0
	if m.Core {
		class, listen = "core", fmt.Sprintf("control = %q\n", addr(m.IP, f.Port+portControl))
		memory, disk = 280, 128
	}
	serves := class
	if m.Core {
		serves = "control"
	}
	var b strings.Builder
	fmt.Fprintf(&b, "node = %q\nrole = %q\nclass = %q\nserves = [%q]\nip = %q\nzone = %q\nregion = \"kr-south\"\n", m.Name, class, class, serves, m.IP, zones[m.Zone])
	fmt.Fprintf(&b, "port_range = [%d,%d]\nseeds = [\"%s\"]\nbootstrap = %v\nin_tolerance = %v\n", f.Port+portPeers, f.Port+portPeers+15, strings.Join(f.Controls(), `","`), !m.began, m.Core)
	if m.Core {
		fmt.Fprintf(&b, "data_dir = %q\n", filepath.Join(m.folder, "data"))
	}
	fmt.Fprintf(&b, "discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\nconfig_mode = \"highest\"\ncontrol_mode = \"push\"\n")
	fmt.Fprintf(&b, "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]\n")
	fmt.Fprintf(&b, "[zones]\nchangwon = \"kr-south\"\ngimhae = \"kr-south\"\njinju = \"kr-south\"\n[listen]\n%s", listen)
	fmt.Fprintf(&b, "[limits]\ncpu_share = %s\ncores = 1\nmemory_mb = %d\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = %d\n", m.Share, memory, disk)
	fmt.Fprintf(&b, "[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n")
	fmt.Fprintf(&b, "[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\n")
	fmt.Fprintf(&b, "loss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250\nmax_skew_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\n")
	fmt.Fprintf(&b, "stop_grace_ms = 50\ngang_timeout_ms = 3000\ncancel_ms = 3000\nvisible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nretransmit_ms = 1300\n")
	return b.String()
}

// Start starts the process of a machine with the command of the deploy file.
func (f *Fleet) Start(m *Machine) error {
	if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
		return err
	}
	path := filepath.Join(m.folder, "boot.toml")
	if err := os.WriteFile(path, []byte(f.settings(m)), 0o600); err != nil {
		return err
	}
	m.began = true
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.cmd = exec.Command("target/dogwoodrockd")
	m.cmd.Dir = f.Root
	m.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.Folder, "DOGWOODROCK_NODE_FILE=" + path, "DOGWOODROCK_LOG_LEVEL=Info"}
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	m.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}(m.cmd, m.ended)
	return nil
}

// Signal sends a signal to the process of a machine.
func (m *Machine) Signal(s syscall.Signal) {
	if m.cmd != nil && m.cmd.Process != nil {
		_ = m.cmd.Process.Signal(s)
	}
}

// Stop kills all processes that the fleet started and removes its folder.
func (f *Fleet) Stop() {
	for _, m := range f.Machines {
		if m.cmd == nil {
			continue
		}
		m.Signal(syscall.SIGKILL)
		<-m.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.Folder)
	}
}

// StartAll starts all machines.
func (f *Fleet) StartAll() error {
	for _, m := range f.Machines {
		if err := f.Start(m); err != nil {
			return err
		}
	}
	return nil
}

// Request is one HTTP request of a client or an operator.
type Request struct {
	Method, URL, Host, Body string
	DeadlineMS              int64
	Timeout                 time.Duration
}

// Reply is its response. Err is set if there was none.
type Reply struct {
	Status int
	Body   string
	Err    error
}

func (r Reply) String() string {
	if r.Err != nil {
		return "no response: " + r.Err.Error()
	}
	return fmt.Sprintf("%d %s", r.Status, strings.TrimSpace(r.Body))
}

// Do sends a request on a connection of its own.
func Do(q Request) Reply {
	ctx, cancel := context.WithTimeout(context.Background(), q.Timeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, q.Method, q.URL, bytes.NewReader([]byte(q.Body)))
	if err != nil {
		return Reply{Err: err}
	}
	r.Host = q.Host
	if q.DeadlineMS > 0 {
		r.Header.Set("Dogwoodrock-Deadline-Ms", fmt.Sprint(q.DeadlineMS))
	}
	r.Header.Set("Content-Type", "application/json")
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return Reply{Err: err}
	}
	defer func() { _ = a.Body.Close() }()
	data, err := io.ReadAll(a.Body)
	if err != nil {
		return Reply{Err: err}
	}
	return Reply{Status: a.StatusCode, Body: string(data)}
}

// PutConfig sends a configuration to the control addresses until it is acknowledged.
func (f *Fleet) PutConfig(config string, within time.Duration) error {
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		a := Do(Request{Method: http.MethodPut, URL: "http://" + f.Controls()[n%3] + "/config", Body: config, Timeout: time.Second})
		if a.Status == http.StatusOK {
			return nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("the configuration was not acknowledged")
}
