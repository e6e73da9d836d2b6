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
	dataCentres           = 3
	frontsPerDataCentre   = 2
	backendsPerDataCentre = 3
	clients               = 6
	recoveryTime          = 12 * time.Second // from the last fault until the system must serve again
	minServedShare        = 0.9              // of the jobs after the recovery time

	firstOctet  = 2     // first value of the second octet of the addresses
	octets      = 90    // number of values, each for one system at a time
	reservePort = 20999 // below the ports of all systems
)

// System is a system of daemons that run under faults.
type System struct {
	Seed     uint64
	Duration time.Duration // of the faults
	Daemon   string        // path of the program
	Folder   string        // for settings, data and logs
	Evacuate bool          // also evacuations of data centres
	Planned  bool          // only planned stops, reloads and configuration changes, during which no request may be lost

	rng           *rand.Rand
	basePort      int
	octet         int // second octet of the IP addresses
	hosts         []*host
	controls      []string
	backends      *kernel.Kernel
	backendRelays []*Relay // to backend servers
	lastVersion   atomic.Int64
	ackedVersion  atomic.Int64
	recovered     atomic.Bool
	report        Report
	journal       journal
	failures      chan string
}

// Report is the result of a run.
type Report struct {
	Jobs                int
	Complete            int
	Refused             int
	Unanswered          int // jobs whose last attempt got no answer
	AfterRecovery       int // jobs submitted after the recovery time
	ServedAfterRecovery int // completed jobs of these
	Faults              []string
	Failures            []string
}

// Run starts the system, injects faults and returns what was observed. An error means that the system
// could not be started.
func (s *System) Run(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.rng = rand.New(rand.NewPCG(s.Seed, 7))
	s.basePort = 21000 + int(s.Seed%300)*40
	reserved, err := s.reserveAddresses(ctx)
	if err != nil {
		return s.report, err
	}
	defer func() { _ = reserved.Close() }()
	s.failures = make(chan string, 1024)
	if s.journal, err = openJournal(s.Folder); err != nil {
		return s.report, err
	}
	defer s.journal.close()
	go s.journal.recordStalls(ctx)
	if err := s.start(ctx); err != nil {
		return s.report, err
	}
	defer s.stop()
	if err := s.warmUp(ctx); err != nil {
		return s.report, err
	}
	results := make(chan outcome, 1024)
	work, stopWork := context.WithCancel(ctx)
	for i := range clients {
		go s.runClient(work, i, results)
	}
	go s.runOperator(work)
	if s.Evacuate {
		go s.runEvacuations(work)
	}
	faults := make(chan []string)
	go func() { faults <- s.injectFaults(ctx) }()
	s.collect(results, faults, stopWork)
	s.checkFinal(ctx)
	return s.report, nil
}

// reserveAddresses chooses the second octet of the addresses: that of the seed, or the next one that no
// other system uses, in this process or another. It is reserved until the listener is closed.
func (s *System) reserveAddresses(ctx context.Context) (net.Listener, error) {
	var lastErr error
	for i := range uint64(octets) {
		s.octet = firstOctet + int((s.Seed+i)%octets)
		l, err := (&net.ListenConfig{}).Listen(ctx, "tcp", mimic.Address(fmt.Sprintf("127.%d.255.1", s.octet), reservePort))
		if err == nil {
			return l, nil
		}
		lastErr = err
	}
	return nil, fmt.Errorf("no addresses for seed %d: %w", s.Seed, lastErr)
}

// start starts the hosts and the backend servers.
func (s *System) start(ctx context.Context) error {
	for dc := range dataCentres {
		s.controls = append(s.controls, mimic.Address(fmt.Sprintf("127.%d.%d.9", s.octet, dc+1), s.basePort+20))
	}
	for dc := range dataCentres {
		h, err := s.addHost(ctx, fmt.Sprintf("core-%d", dc), dc, 9, true)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
		for n := range frontsPerDataCentre {
			h, err := s.addHost(ctx, fmt.Sprintf("front-%d-%d", dc, n), dc, n+1, false)
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
	return s.startBackends(ctx)
}

// startBackends starts the simulated backend servers, each behind a relay.
func (s *System) startBackends(ctx context.Context) error {
	pool := &mimic.WorkerPool{Controls: s.controls, Service: "svc"}
	s.backends = kernel.New()
	if err := s.backends.Register(pool.AsService()); err != nil {
		return err
	}
	if err := s.backends.Start(ctx); err != nil {
		return err
	}
	ref, err := s.backends.Find("site")
	if err != nil {
		return err
	}
	for i := range dataCentres * backendsPerDataCentre {
		ip := fmt.Sprintf("127.%d.%d.%d", s.octet, i%dataCentres+1, 50+i)
		addr, listen := mimic.Address(ip, s.basePort+30), mimic.Address(ip, s.basePort+31)
		relay, err := StartRelay(ctx, addr, listen)
		if err != nil {
			return err
		}
		s.backendRelays = append(s.backendRelays, relay)
		spec := mimic.WorkerSpec{
			Name: fmt.Sprintf("w-%d", i), Listen: listen, Addr: addr, Zone: fmt.Sprintf("z%d", i%dataCentres),
			Kind: "a", Rack: "r1", CPU: 16000, Speed: 1,
		}
		failed, err := kernel.Ask(ctx, ref, func(reply func(error)) any { return mimic.AddWorker{Spec: spec, Reply: reply} })
		if err != nil || failed != nil {
			return fmt.Errorf("worker %s: %w, %w", spec.Name, err, failed)
		}
	}
	return nil
}

// stop kills the processes of the hosts and stops the backend servers.
func (s *System) stop() {
	for _, h := range s.hosts {
		if h.cmd != nil {
			h.stop(false)
		}
	}
	if s.backends != nil {
		s.backends.Stop(context.Background())
	}
}

var route = mimic.Route{Host: "n.example", Prefix: "/l/"}

// warmUp waits up to 30 s until a configuration is acknowledged and each front completes a job.
func (s *System) warmUp(ctx context.Context) error {
	deadline := time.Now().Add(30 * time.Second)
	for mimic.Put(ctx, s.controls, mimic.Config(1, "svc", route)) != http.StatusOK {
		if time.Now().After(deadline) {
			return fmt.Errorf("no configuration was acknowledged within 30 s")
		}
	}
	s.lastVersion.Store(1)
	s.ackedVersion.Store(1)
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

// fail records a failure. Beyond the buffer, failures are in the journal only.
func (s *System) fail(format string, args ...any) {
	failure := fmt.Sprintf(format, args...)
	s.journal.write("FAILED %s", failure)
	select {
	case s.failures <- failure:
	default:
	}
}
