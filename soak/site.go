package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

const (
	zones        = 3
	frontsOfZone = 2
	workersZone  = 3
	clients      = 6
	recovery     = 12 * time.Second // after the last fault, in which the system serves again
	leastServed  = 0.9              // of the jobs after that

	firstNet    = 2     // second number of a site's addresses
	nets        = 90    // sites at a time
	reservePort = 20999 // below those of all sites
)

// Site is a system under faults.
type Site struct {
	Seed     uint64
	Duration time.Duration // of the faults
	Daemon   string        // path of the program
	Folder   string        // for settings, data and logs
	Planned  bool          // only planned stops, reloads and changes: no request may be cut

	rng      *rand.Rand
	base     int
	net      int
	hosts    []*host
	controls []string
	workers  *kernel.Kernel
	relays   []*Relay // to workers
	version  atomic.Int64
	acked    atomic.Int64
	calm     atomic.Bool
	report   Report
	failures chan string
}

// Report is what a run found.
type Report struct {
	Jobs     int
	Complete int
	Refused  int
	Cut      int // requests without an answer
	Late     int // jobs after the recovery
	Served   int // of these
	Faults   []string
	Failures []string
}

// Run plays the site and returns what it found. An error means that it could not
// be played.
func (s *Site) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.rng = rand.New(rand.NewPCG(s.Seed, 7))
	s.base = 21000 + int(s.Seed%300)*40
	reserved, err := s.reserveNet(ctx)
	if err != nil {
		return s.report, err
	}
	defer func() { _ = reserved.Close() }()
	s.failures = make(chan string, 1024)
	if err := s.begin(ctx); err != nil {
		return s.report, err
	}
	defer s.end()
	if err := s.warmUp(ctx); err != nil {
		return s.report, err
	}
	results := make(chan outcome, 1024)
	work, stopWork := context.WithCancel(ctx)
	for i := range clients {
		go s.client(work, i, results)
	}
	go s.operate(work)
	faults := make(chan []string)
	go func() { faults <- s.injectFaults(ctx) }()
	s.collect(results, faults, stopWork)
	s.judge(ctx)
	return s.report, nil
}

// reserveNet chooses the second number of the addresses: that of the seed, or the
// next one that no other site has, in this process or another one, until the
// listener is closed.
func (s *Site) reserveNet(ctx context.Context) (net.Listener, error) {
	var taken error
	for i := range uint64(nets) {
		s.net = firstNet + int((s.Seed+i)%nets)
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", mimic.Address(fmt.Sprintf("127.%d.255.1", s.net), reservePort))
		if err == nil {
			return l, nil
		}
		taken = err
	}
	return nil, fmt.Errorf("no addresses for seed %d: %w", s.Seed, taken)
}

func (s *Site) begin(ctx context.Context) error {
	for zone := range zones {
		s.controls = append(s.controls, mimic.Address(fmt.Sprintf("127.%d.%d.9", s.net, zone+1), s.base+20))
	}
	for zone := range zones {
		h, err := s.addHost(ctx, fmt.Sprintf("core-%d", zone), zone, 9, true)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		for n := range frontsOfZone {
			h, err := s.addHost(ctx, fmt.Sprintf("front-%d-%d", zone, n), zone, n+1, false)
			if err != nil {
				return err
			}
			s.hosts = append(s.hosts, h)
		}
	}
	for _, h := range s.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return s.startWorkers(ctx)
}

func (s *Site) startWorkers(ctx context.Context) error {
	site := &mimic.WorkerPool{Controls: s.controls, Service: "svc"}
	s.workers = kernel.New()
	if err := s.workers.Register(site.AsService()); err != nil {
		return err
	}
	if err := s.workers.Start(ctx); err != nil {
		return err
	}
	ref, err := s.workers.Find("site")
	if err != nil {
		return err
	}
	for i := range zones * workersZone {
		ip := fmt.Sprintf("127.%d.%d.%d", s.net, i%zones+1, 50+i)
		addr, hidden := mimic.Address(ip, s.base+30), mimic.Address(ip, s.base+31)
		relay, err := StartRelay(ctx, addr, hidden)
		if err != nil {
			return err
		}
		s.relays = append(s.relays, relay)
		spec := mimic.WorkerSpec{
			Name: fmt.Sprintf("w-%d", i), Listen: hidden, Addr: addr, Zone: fmt.Sprintf("z%d", i%zones),
			Kind: "a", Rack: "r1", CPU: 16000, Speed: 1,
		}
		failed, err := kernel.Ask(ctx, ref, func(reply func(error)) any { return mimic.AddWorker{Spec: spec, Reply: reply} })
		if err != nil || failed != nil {
			return fmt.Errorf("worker %s: %w, %w", spec.Name, err, failed)
		}
	}
	return nil
}

func (s *Site) end() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.stop(false)
		}
	}
	if s.workers != nil {
		s.workers.Stop(context.Background())
	}
}

var route = mimic.Route{Host: "n.example", Prefix: "/l/"}

// warmUp waits until each front completes a job.
func (s *Site) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(30 * time.Second)
	for mimic.Put(ctx, s.controls, mimic.Config(1, "svc", route)) != http.StatusOK {
		if time.Now().After(deadline) {
			return fmt.Errorf("no configuration was acknowledged within 30 s")
		}
	}
	s.version.Store(1)
	s.acked.Store(1)
	client := &http.Client{Transport: &http.Transport{}}
	for i, h := range s.hosts {
		for n := 0; !h.core; n++ {
			r := mimic.Submit(ctx, client, []string{h.front()}, route, mimic.Job{
				ID: fmt.Sprintf("%04x%012x", 0xff00+i, n), Tasks: 1, CPU: 1000, Work: 50 * time.Millisecond, Timeout: time.Second,
			})
			if r.State == "complete" {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s completed no job within 30 s", h.name)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	return nil
}

func (s *Site) fail(format string, args ...any) {
	select {
	case s.failures <- fmt.Sprintf(format, args...):
	default:
	}
}
