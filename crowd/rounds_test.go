package crowd

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// TestReturningClients guards against a process that keeps something of each client that it has refused, or whose memory
// grows while refused clients connect again at once.
func TestReturningClients(t *testing.T) {
	skipUnlessMeasurable(t)
	const clients, rounds = 60, 10
	s := startSized(t, coreMemoryMB, leastEntryMB)
	before := s.entry.measure()
	stop := make(chan struct{})
	result := s.entry.watch(stop)
	var ended atomic.Bool
	var again sync.WaitGroup
	stalls := client{announce: jobBytes, send: jobBytes - 1000, piece: jobBytes}
	for range clients {
		again.Go(func() {
			for !ended.Load() && s.entry.alive() {
				c, err := net.Dial("tcp", at(s.entryIP, frontPort))
				if err != nil {
					continue
				}
				stalls.play(c, jobTarget)
				_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
				_, _ = c.Read(make([]byte, 100)) // the refusal, or nothing
				_ = c.Close()
			}
		})
	}
	var memory [rounds]int64
	for i := range rounds {
		run(t, jobTarget.at(s.entryIP), stalled(100, jobBytes))()
		waitUntil(t, "a complete job", s.submit)
		memory[i] = s.entry.measure().memory >> 20
	}
	ended.Store(true)
	again.Wait()
	waitUntil(t, "the connections to be closed", func() bool {
		return !s.entry.alive() || s.entry.measure().descriptors <= before.descriptors+5
	})
	waitUntil(t, "a complete job", s.submit)
	close(stop)
	t.Logf("memory after each round: %d MB", memory)
	checkMemory(t, "entry", s.entry, <-result, leastEntryMB)
}

// TestCrowdAtStart guards against a process that runs out of memory, or never becomes able to serve, when a crowd waits for
// it to start.
func TestCrowdAtStart(t *testing.T) {
	skipUnlessMeasurable(t)
	ip := reserveAddresses(t)
	s := &site{coreIP: ip(9), entryIP: ip(1)}
	var ended atomic.Bool
	var crowd sync.WaitGroup
	t.Cleanup(func() { ended.Store(true); crowd.Wait() })
	for _, to := range []target{jobTarget.at(s.entryIP), reportTarget.at(s.entryIP), protoBatch.at(s.entryIP), reportTarget.onCore().at(s.coreIP), protoBatch.at(s.coreIP)} {
		for range 100 {
			crowd.Go(func() {
				for !ended.Load() {
					c, err := net.Dial("tcp", to.address)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						continue
					}
					client{announce: jobBytes, send: jobBytes - 1000, piece: jobBytes}.play(c, to)
					_ = c.SetReadDeadline(time.Now().Add(time.Second))
					_, _ = c.Read(make([]byte, 100))
					_ = c.Close()
				}
			})
		}
	}
	s.core = startHost(t, settings{class: "core", ip: s.coreIP, core: s.coreIP, memoryMB: leastCoreMB, maxFDs: leastCoreFDs})
	s.entry = startHost(t, settings{class: "front", ip: s.entryIP, core: s.coreIP, memoryMB: leastEntryMB, maxFDs: leastEntryFDs})
	stop := make(chan struct{})
	core, entry := s.core.watch(stop), s.entry.watch(stop)
	s.startWorker(t, ip(101))
	waitUntil(t, "the acknowledgement of a configuration", func() bool { return s.put(1) })
	waitUntil(t, "a complete job", s.submit)
	ended.Store(true)
	close(stop)
	checkMemory(t, "core", s.core, <-core, leastCoreMB)
	checkMemory(t, "entry", s.entry, <-entry, leastEntryMB)
}

// TestCrowdWithoutCore guards against an entry host that runs out of memory under a crowd while the core is away, and
// against a host of the core that does after it stood still under one.
func TestCrowdWithoutCore(t *testing.T) {
	skipUnlessMeasurable(t)
	s := startSized(t, leastCoreMB, leastEntryMB)
	stop := make(chan struct{})
	core, entry := s.core.watch(stop), s.entry.watch(stop)
	if err := s.core.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	closeAll := runAll(t, []crowdAt{
		{jobTarget.at(s.entryIP), stalled(100, jobBytes)},
		{reportTarget.at(s.entryIP), stalled(30, reportBytes)},
		{protoBatch.at(s.entryIP), stalled(60, jobBytes)},
		{reportTarget.onCore().at(s.coreIP), stalled(40, jobBytes/20)},
		{protoBatch.at(s.coreIP), stalled(40, jobBytes/20)},
	})
	time.Sleep(2 * time.Second) // longer than the lease of the placer
	if err := s.core.cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	version := 1
	waitUntil(t, "the acknowledgement of a configuration", func() bool { version++; return s.put(version) })
	waitUntil(t, "a complete job", s.submit)
	closeAll()
	waitUntil(t, "a complete job after the crowd", s.submit)
	close(stop)
	checkMemory(t, "core", s.core, <-core, leastCoreMB)
	checkMemory(t, "entry", s.entry, <-entry, leastEntryMB)
}

// TestCrowdAtStop guards against a host that doesn't end when it is asked to, as a crowd holds its connections.
func TestCrowdAtStop(t *testing.T) {
	skipUnlessMeasurable(t)
	crowds := func(s *site) []crowdAt {
		return []crowdAt{
			{jobTarget.at(s.entryIP), stalled(100, jobBytes)},
			{reportTarget.at(s.entryIP), stalled(30, reportBytes)},
			{protoBatch.at(s.entryIP), stalled(60, jobBytes)},
			{target{port: operatorsPort, method: "GET", path: "/metrics"}.at(s.entryIP), repeat(20, client{requests: 1}, client{requests: 100})},
			{reportTarget.onCore().at(s.coreIP), stalled(60, reportBytes)},
			{configTarget.at(s.coreIP), stalled(10, jobBytes)},
			{protoBatch.at(s.coreIP), stalled(10, peerBytes)},
		}
	}
	for name, stopped := range map[string]func(s *site) *process{
		"entry host": func(s *site) *process { return s.entry },
		"core host":  func(s *site) *process { return s.core },
	} {
		t.Run(name, func(t *testing.T) {
			s := startSized(t, leastCoreMB, leastEntryMB)
			stop := make(chan struct{})
			core, entry := s.core.watch(stop), s.entry.watch(stop)
			runAll(t, crowds(s))
			p := stopped(s)
			if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			waitUntil(t, "the process to end", func() bool { return !p.alive() })
			if code := p.cmd.ProcessState.ExitCode(); code != 0 {
				t.Errorf("the process ended with code %d", code)
			}
			close(stop)
			if most := <-core; most.memory > leastCoreMB<<20 {
				t.Errorf("the core host used %d MB", most.memory>>20)
			}
			if most := <-entry; most.memory > leastEntryMB<<20 {
				t.Errorf("the entry host used %d MB", most.memory>>20)
			}
		})
	}
}
