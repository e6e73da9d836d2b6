package main

import (
	"context"
	"fmt"
	"io"
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

// Ports of the hosts, the same on all of them.
const (
	controlPort   = 8166
	frontPort     = 8161
	readinessPort = 8167
	metricsPort   = 9464 // as in the deploy file
	firstPeerPort = 7720
	lastPeerPort  = 7735
	workerPort    = 8080
)

var zones = []string{"changwon", "gimhae", "jinju"}

// cluster is the machines of a deployment with one core machine and two fronts in each zone.
type cluster struct {
	play   *play
	dir    string
	octet  int
	mu     sync.Mutex
	hosts  map[string]*host
	seeds  []string
	closed bool
}

// host is one machine and its process.
type host struct {
	cluster   *cluster
	name      string
	class     string
	zone      int
	ip        string
	bootstrap bool
	starts    int
	cmd       *exec.Cmd
	done      chan struct{}
}

func newCluster(p *play) *cluster {
	dir, err := os.MkdirTemp("", "review-rig-")
	if err != nil {
		p.fail("%v", err)
	}
	c := &cluster{play: p, dir: dir, hosts: map[string]*host{}}
	c.octet = c.freeOctet()
	for z := range zones {
		c.seeds = append(c.seeds, fmt.Sprintf("%s:%d", c.ip(z, 9), controlPort))
	}
	return c
}

// freeOctet returns the second number of a range of loopback addresses that nobody listens on.
func (c *cluster) freeOctet() int {
	for i := range 180 {
		octet := 20 + (os.Getpid()+i*7)%180
		l, err := net.Listen("tcp", fmt.Sprintf("127.%d.1.9:%d", octet, metricsPort))
		if err == nil {
			_ = l.Close()
			return octet
		}
	}
	c.play.fail("no free loopback addresses")
	return 0
}

func (c *cluster) ip(zone, n int) string { return fmt.Sprintf("127.%d.%d.%d", c.octet, zone+1, n) }

// add adds a machine that isn't started yet. Bootstrap holds for its first start only.
func (c *cluster) add(class string, zone, n int, bootstrap bool) *host {
	h := &host{cluster: c, class: class, zone: zone, ip: c.ip(zone, n), bootstrap: bootstrap}
	h.name = fmt.Sprintf("%s-%s-%d", class, zones[zone], n)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts[h.name] = h
	return h
}

// addAll adds a core machine and two fronts in each zone, and returns them by class.
func (c *cluster) addAll() (cores, fronts []*host) {
	for z := range zones {
		cores = append(cores, c.add("core", z, 9, true))
		fronts = append(fronts, c.add("front", z, 11, true), c.add("front", z, 12, true))
	}
	return cores, fronts
}

func (h *host) address(port int) string { return fmt.Sprintf("%s:%d", h.ip, port) }

func (h *host) dataDir() string { return filepath.Join(h.cluster.dir, h.name, "data") }

// settings returns the settings file of the machine as the platform writes it.
func (h *host) settings() string {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	serves, role := "front", "entry"
	if h.class == "core" {
		serves, role = "control", "core"
	}
	line("node = %q\nrole = %q\nclass = %q\nserves = [%q]\nip = %q", h.name, role, h.class, serves, h.ip)
	line("zone = %q\nregion = \"kr-south\"\nport_range = [%d,%d]", zones[h.zone], firstPeerPort, lastPeerPort)
	line("seeds = [\"%s\"]", strings.Join(h.cluster.seeds, `","`))
	line("bootstrap = %v\nin_tolerance = %v", h.bootstrap, h.class == "core")
	if h.class == "core" {
		line("data_dir = %q", h.dataDir())
	}
	line("discovery = \"registry\"\nentry = \"vip\"\nheartbeat_ms = 1500\nconfig_mode = \"highest\"\ncontrol_mode = \"push\"")
	line("policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"sched\",\"advice\",\"upkeep\",\"sharing\"]")
	line("[zones]\nchangwon = \"kr-south\"\ngimhae = \"kr-south\"\njinju = \"kr-south\"\n[listen]")
	if h.class == "core" {
		line("control = %q", h.address(controlPort))
		line("[limits]\ncpu_share = 0.8\ncores = 1\nmemory_mb = 280\nmax_fds = 4096\nlink_mbps = 1000.0\ndisk_mb = 128")
	} else {
		line("front = %q\nreadiness = %q", h.address(frontPort), h.address(readinessPort))
		line("[limits]\ncpu_share = 0.4\ncores = 1\nmemory_mb = 284\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0")
	}
	line("[fault_tolerance]\nmachines = 1\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\naddr_reuse_s = 2\ncontact_ms = 3000")
	line("ack_ms = 4000\ncatch_up_s = 4\ndrain_ms = 2000\ngrace_s = 6\nloss_slack_ms = 200\nconfig_ms = 2000\nrollback_slack_ms = 250")
	line("max_skew_ms = 5000\nrecovery_s = 12\nmax_hold_ms = 1000\nstop_grace_ms = 50\ngang_timeout_ms = 3000\ncancel_ms = 3000")
	line("visible_ms = 3000\nearly_ms = 250\nfinish_s = 14\nstatus_s = 120\nfencing = true\nlease_ms = 3000\nretransmit_ms = 1300")
	return b.String()
}

// start starts the process of the machine with the command of the deploy file.
func (h *host) start() {
	dir := filepath.Join(h.cluster.dir, h.name)
	file := filepath.Join(dir, "boot.toml")
	err := os.MkdirAll(dir, 0o700)
	if err == nil {
		err = os.WriteFile(file, []byte(h.settings()), 0o600)
	}
	if err != nil {
		h.cluster.play.fail("%v", err)
	}
	h.bootstrap = false
	h.starts++
	out, err := os.Create(filepath.Join(dir, fmt.Sprintf("log-%d.txt", h.starts)))
	if err != nil {
		h.cluster.play.fail("%v", err)
	}
	cmd := exec.Command("target/dogwoodrockd")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + dir, "DOGWOODROCK_NODE_FILE=" + file, "DOGWOODROCK_LOG_LEVEL=Info"}
	cmd.Stdout, cmd.Stderr = out, out
	if err := cmd.Start(); err != nil {
		h.cluster.play.fail("%v", err)
	}
	_ = out.Close()
	done := make(chan struct{})
	h.cluster.mu.Lock()
	h.cmd, h.done = cmd, done
	h.cluster.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	h.cluster.play.note("%s (%s) is started, start %d", h.name, h.ip, h.starts)
}

// signal sends a signal to the process of the machine.
func (h *host) signal(s syscall.Signal) {
	h.cluster.play.note("%s gets %v", h.name, s)
	_ = h.cmd.Process.Signal(s)
}

// kill kills the process and waits for its end.
func (h *host) kill() {
	h.signal(syscall.SIGKILL)
	<-h.done
}

// wipe empties the data folder of a machine whose process has ended.
func (h *host) wipe() {
	if err := os.RemoveAll(h.dataDir()); err != nil {
		h.cluster.play.fail("%v", err)
	}
	h.cluster.play.note("%s loses its disk", h.name)
}

// running reports whether the process hasn't ended.
func (h *host) running() bool {
	select {
	case <-h.done:
		return false
	default:
		return true
	}
}

// ready reports whether a front is ready.
func (h *host) ready() bool {
	status, _ := call(http.MethodGet, "http://"+h.address(readinessPort)+"/ready", "", time.Second)
	return status == http.StatusOK
}

// close ends all processes and removes the temporary folder.
func (c *cluster) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	for _, h := range c.hosts {
		if h.cmd != nil && h.running() {
			_ = h.cmd.Process.Kill()
			<-h.done
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
	}
}

// call makes one HTTP call that follows no redirect by itself, with at most two redirects followed as
// the protocol says. It returns the status, 0 without an answer, and the body.
func call(method, url, body string, timeout time.Duration) (int, string) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	client := &http.Client{
		Transport:     &http.Transport{DisableKeepAlives: true},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	for range 3 {
		r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
		if err != nil {
			return 0, err.Error()
		}
		if body != "" {
			r.Header.Set("Content-Type", "application/json")
		}
		a, err := client.Do(r)
		if err != nil {
			return 0, err.Error()
		}
		data, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil {
			return 0, err.Error()
		}
		if a.StatusCode != http.StatusTemporaryRedirect {
			return a.StatusCode, string(data)
		}
		url = a.Header.Get("Location")
	}
	return 0, "more than two redirects"
}
