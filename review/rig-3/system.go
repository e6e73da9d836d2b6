package main

import (
	"bytes"
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
	"sync"
	"syscall"
	"time"
)

const (
	program = "target/dogwoodrockd" // the run command of the deploy file

	metricsPort   = 9464 // of the deploy file; each machine has an address of its own
	maxHold       = time.Second
	heartbeat     = 1500 * time.Millisecond
	cancelTime    = 3 * time.Second // cancel_ms
	retransmit    = 1300 * time.Millisecond
	contactTime   = 3 * time.Second // contact_ms
	restartDelay  = 300 * time.Millisecond
	routeHost     = "nony24.example"
	routePrefix   = "/lohu930/"
	serviceName   = "dispatch"
	frontsPerZone = 3
	frontMemory   = 284 // MB
)

var zones = []string{"changwon", "gimhae", "jinju"}

// settings are those of a small deployment: 9 front and 3 core machines in 3 zones.
const settings = `node = "%[1]s"
role = "%[2]s"
class = "%[3]s"
serves = ["%[4]s"]
ip = "%[5]s"
zone = "%[6]s"
region = "kr-south"
port_range = [%[7]d,%[8]d]
seeds = [%[9]s]
bootstrap = %[10]v
in_tolerance = %[11]v
discovery = "registry"
entry = "vip"
heartbeat_ms = 1500
policies = ["base","drain","config","cost","recover","sched","advice","upkeep","sharing"]
config_mode = "highest"
control_mode = "push"
%[12]s
[zones]
changwon = "kr-south"
gimhae = "kr-south"
jinju = "kr-south"
[listen]
%[13]s
[limits]
cpu_share = %[14]v
cores = 1
memory_mb = %[15]d
max_fds = 4096
link_mbps = 1000.0
disk_mb = %[16]d
[fault_tolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 6
config_ms = 2000
recovery_s = 12
max_hold_ms = 1000
stop_grace_ms = 50
cancel_ms = 3000
visible_ms = 3000
lease_ms = 3000
retransmit_ms = 1300
`

// machine is one machine of the system, with the process on it.
type machine struct {
	name, class, zone, ip string
	front, control        string // addresses
	cpu                   float64
	folder                string
	cmd                   *exec.Cmd
	exited                chan struct{}
	log                   *os.File
}

// system is a deployment on loopback addresses.
type system struct {
	rec      *record
	folder   string
	octet    int
	lock     net.Listener
	base     int
	machines []*machine
	controls []string
	relays   *relays // nil for none
	closers  []func()
	mu       sync.Mutex
}

var errNotRun = errors.New("the case couldn't run")

// newSystem starts all machines and returns when each zone is ready.
func newSystem(rec *record, relayed bool) (*system, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, fmt.Errorf("%w: %v", errNotRun, err)
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &system{rec: rec, folder: folder}
	if err := s.reserve(); err != nil {
		return s, err
	}
	for z, zone := range zones {
		ip := s.ip(z, 1)
		s.controls = append(s.controls, s.address(ip, 32))
		s.machines = append(s.machines, &machine{name: "core-" + zone + "-1", class: "core", zone: zone, ip: ip, cpu: 0.8, control: s.address(ip, 32)})
	}
	for z, zone := range zones {
		for n := range frontsPerZone {
			ip := s.ip(z, 11+n)
			s.machines = append(s.machines, &machine{
				name: fmt.Sprintf("front-%s-%d", zone, n+1), class: "front", zone: zone, ip: ip, cpu: 0.5 + 0.1*float64(n), front: s.address(ip, 33),
			})
		}
	}
	if relayed {
		s.relays = &relays{sys: s}
	}
	for _, m := range s.machines {
		if s.relays != nil {
			if err := s.relays.add(m); err != nil {
				return s, err
			}
		}
		m.folder = filepath.Join(folder, m.name)
		if err := os.MkdirAll(filepath.Join(m.folder, "data"), 0o700); err != nil {
			return s, err
		}
		if err := s.start(m, true); err != nil {
			return s, err
		}
	}
	return s, nil
}

// reserve finds a second octet of loopback addresses and ports that are free.
func (s *system) reserve() error {
	for range 200 {
		octet := 20 + rand.IntN(200)
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", octet, metricsPort))
		if err != nil {
			continue
		}
		base := 20000 + 64*rand.IntN(180)
		s.octet, s.lock, s.base = octet, l, base
		if s.portsFree() {
			return nil
		}
		_ = l.Close()
	}
	return fmt.Errorf("%w: no free addresses", errNotRun)
}

func (s *system) portsFree() bool {
	for z := range zones {
		for _, host := range []int{1, 11, 12, 13} {
			for _, port := range []int{s.base, s.base + 1, s.base + 32, s.base + 33, s.base + 34, s.base + relayOffset, metricsPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.ip(z, host), port))
				if err != nil {
					return false
				}
				_ = l.Close()
			}
		}
	}
	return true
}

func (s *system) ip(zone, host int) string { return fmt.Sprintf("127.%d.%d.%d", s.octet, zone+1, host) }

func (s *system) address(ip string, offset int) string {
	return fmt.Sprintf("%s:%d", ip, s.base+offset)
}

// start starts the process of a machine, as the platform does.
func (s *system) start(m *machine, bootstrap bool) error {
	path := filepath.Join(m.folder, "boot.toml")
	serves, listen, data, memory, disk := "front", fmt.Sprintf("front = %q\nreadiness = %q", m.front, s.address(m.ip, 34)), "", frontMemory, 0
	if m.class == "core" {
		serves, listen, memory, disk = "control", fmt.Sprintf("control = %q", m.control), 280, 128
		data = fmt.Sprintf("data_dir = %q", filepath.Join(m.folder, "data"))
	}
	quoted := make([]string, len(s.controls))
	for i, c := range s.controls {
		quoted[i] = fmt.Sprintf("%q", c)
	}
	role := map[string]string{"front": "entry", "core": "core"}[m.class]
	text := fmt.Sprintf(settings, m.name, role, m.class, serves, m.ip, m.zone, s.base, s.base+15, strings.Join(quoted, ","),
		bootstrap, m.class == "core", data, listen, m.cpu, memory, disk)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	m.log = log
	m.cmd = exec.Command(program)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	m.cmd.Env = []string{
		"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "LANG=C.UTF-8", "DOGWOODROCK_NODE_FILE=" + path, "DOGWOODROCK_LOG_LEVEL=Info",
	}
	if s.relays != nil {
		m.cmd.Env = append(m.cmd.Env, "DOGWOODROCK_PEER_LISTEN="+s.address(m.ip, relayOffset))
	}
	m.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.cmd.Start(); err != nil {
		return err
	}
	cmd, exited := m.cmd, make(chan struct{})
	m.exited = exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	return nil
}

// kill kills the process of a machine. The platform starts it again later.
func (s *system) kill(m *machine) {
	s.rec.printf("platform  SIGKILL to the process on %s (%s)", m.name, m.ip)
	_ = m.cmd.Process.Signal(syscall.SIGKILL)
	<-m.exited
}

func (s *system) restart(m *machine) error {
	s.rec.printf("platform  starts the process on %s again", m.name)
	return s.start(m, false)
}

// stop ends all processes that the system started.
func (s *system) stop() {
	for _, m := range s.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Signal(syscall.SIGKILL)
			<-m.exited
		}
	}
	for _, c := range s.closers {
		c()
	}
	if s.lock != nil {
		_ = s.lock.Close()
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		fmt.Println("logs in", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}

func (s *system) byIP(ip string) *machine {
	for _, m := range s.machines {
		if m.ip == ip {
			return m
		}
	}
	return nil
}

// others returns the front machines of a zone other than the given ones.
func (s *system) others(zone string, not ...*machine) []*machine {
	var list []*machine
next:
	for _, m := range s.machines {
		if m.class != "front" || m.zone != zone {
			continue
		}
		for _, n := range not {
			if n == m {
				continue next
			}
		}
		list = append(list, m)
	}
	return list
}

// ready asks a machine's readiness address once.
func (s *system) ready(m *machine) bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	r, err := c.Get("http://" + s.address(m.ip, 34) + "/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (s *system) awaitReady(limit time.Duration, list ...*machine) error {
	for deadline := time.Now().Add(limit); ; time.Sleep(50 * time.Millisecond) {
		all := true
		for _, m := range list {
			all = all && s.ready(m)
		}
		if all {
			return nil
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("%w: not all machines became ready", errNotRun)
		}
	}
}

// config is a configuration with one queue.
func config(version int, service string) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"prefix":%q,"kind":"mutating","timeout_ms":60000,"slo_ms":60,"priority":0,"service":%q,"attempts":3,"slack_factor":1.6}],"services":[{"name":%q,"health_path":"/health","max_conns":64,"proto":"h1","tls":false,"admission_control":true,"standby":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":15000}}`,
		version, routeHost, routePrefix, service, service)
}

// putConfig sends a configuration as the operator does: to the machines that serve control, until it is acknowledged.
func (s *system) putConfig(body string) error {
	c := http.Client{Timeout: 2 * time.Second, CheckRedirect: func(r *http.Request, via []*http.Request) error {
		if len(via) > 2 {
			return errors.New("too many redirects")
		}
		return nil
	}}
	for n, deadline := 0, time.Now().Add(20*time.Second); time.Now().Before(deadline); n++ {
		r, err := http.NewRequest(http.MethodPut, "http://"+s.controls[n%len(s.controls)]+"/config", bytes.NewReader([]byte(body)))
		if err != nil {
			return err
		}
		r.Header.Set("Content-Type", "application/json")
		a, err := c.Do(r)
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				s.rec.printf("operator  PUT /config -> 200")
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return fmt.Errorf("%w: no configuration was acknowledged", errNotRun)
}

// term stops a machine's process as planned: SIGTERM, and SIGKILL after grace_s.
func (s *system) term(m *machine) error {
	s.rec.printf("platform  SIGTERM to the process on %s", m.name)
	_ = m.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-m.exited:
	case <-time.After(6 * time.Second):
		s.rec.printf("platform  SIGKILL to the process on %s", m.name)
		_ = m.cmd.Process.Signal(syscall.SIGKILL)
		<-m.exited
	}
	s.rec.printf("platform  the process on %s has ended", m.name)
	return nil
}

// memory returns the resident memory of a machine's process in MB, 0 if it isn't known.
func (m *machine) memory() int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", m.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int
	if _, err := fmt.Sscan(string(data), &size, &resident); err != nil {
		return 0
	}
	return resident * os.Getpagesize() >> 20
}
