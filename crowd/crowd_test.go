package crowd

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

// Limits in the settings of the tests, far below those of real machines, so that a small crowd exceeds
// them.
const (
	entryMemoryMB    = 96
	coreMemoryMB     = 320 // the limit for one configuration is 64 MiB, whatever the memory
	aloneMemoryMB    = 96  // has no setting; the test lowers the limit for one body
	maxFDs           = 512
	aloneConnections = 256
)

const (
	jobBytes    = 1_000_000
	reportBytes = 4_000_000
	configBytes = 60_000_000
	// largestConfigBytes is a little less than a twelfth of coreMemoryMB, the largest that is read.
	largestConfigBytes = 27_000_000
	peerBytes          = 20_000_000
	aloneBytes         = 1_000_000
)

// waitTimeout ends a test whose condition never holds. It is no bound on what is tested.
const waitTimeout = 60 * time.Second

var route = mimic.Route{Host: "n.example", Prefix: "/l/"}

// site is a small system: a core host, an entry host and a worker.
type site struct {
	core, entry     *process
	coreIP, entryIP string
	jobs            int
}

func startSite(t *testing.T) *site {
	t.Helper()
	return startSized(t, coreMemoryMB, entryMemoryMB)
}

// startSized starts a site whose hosts have these memory limits.
func startSized(t *testing.T, coreMB, entryMB int) *site {
	t.Helper()
	ip := reserveAddresses(t)
	s := &site{coreIP: ip(9), entryIP: ip(1)}
	s.core = startHost(t, settings{class: "core", ip: s.coreIP, core: s.coreIP, memoryMB: coreMB, maxFDs: maxFDs})
	s.entry = startHost(t, settings{class: "front", ip: s.entryIP, core: s.coreIP, memoryMB: entryMB, maxFDs: maxFDs})
	s.startWorker(t, ip(101))
	waitUntil(t, "the acknowledgement of a configuration", func() bool { return s.put(1) })
	waitUntil(t, "a complete job", s.submit)
	return s
}

func (s *site) startWorker(t *testing.T, ip string) {
	t.Helper()
	pool := &mimic.WorkerPool{Controls: []string{at(s.coreIP, controlPort)}, Service: "svc"}
	k := kernel.New()
	if err := k.Register(pool.AsService()); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	ref, err := k.Find("site")
	if err != nil {
		t.Fatal(err)
	}
	spec := mimic.WorkerSpec{Name: "i-1", Listen: at(ip, workerPort), Zone: "z0", Kind: "a", Rack: "r1", CPU: 16000, Speed: 1}
	added, err := kernel.Ask(t.Context(), ref, func(reply func(error)) any { return mimic.AddWorker{Spec: spec, Reply: reply} })
	if err != nil || added != nil {
		t.Fatal(err, added)
	}
}

func (s *site) put(version int) bool {
	return mimic.Put(context.Background(), []string{at(s.coreIP, controlPort)}, mimic.Config(version, "svc", route)) == http.StatusOK
}

// submit reports whether an ordinary job completes.
func (s *site) submit() bool {
	s.jobs++
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	got := mimic.Submit(context.Background(), client, []string{at(s.entryIP, frontPort)}, route, mimic.Job{
		ID: fmt.Sprintf("%016x", s.jobs), Tasks: 1, CPU: 1000, Work: 10 * time.Millisecond, Timeout: 4 * time.Second,
	})
	return got.State == "complete"
}

// answers reports whether a request gets an answer with this status.
func answers(method, url, body string, status int) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return false
	}
	r.Host = "n.example"
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	a, err := client.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = a.Body.Close() }()
	_, err = io.Copy(io.Discard, a.Body)
	return err == nil && a.StatusCode == status
}

func waitUntil(t *testing.T, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Errorf("timeout while waiting for %s", what)
}

// check runs a crowd against a process and checks the process during and after it. ordinary makes an
// ordinary request.
func check(t *testing.T, p *process, to target, clients []client, memoryMB, descriptors int, ordinary func() bool) {
	t.Helper()
	checkAll(t, p, []crowdAt{{to, clients}}, memoryMB, descriptors, ordinary)
}

// crowdAt is a crowd and where it sends its requests.
type crowdAt struct {
	to      target
	clients []client
}

// checkAll runs several crowds at once against a process and checks the process as check does.
func checkAll(t *testing.T, p *process, all []crowdAt, memoryMB, descriptors int, ordinary func() bool) {
	t.Helper()
	before := p.measure()
	stop := make(chan struct{})
	result := p.watch(stop)
	closeAll := runAll(t, all)
	p.settle(t)
	waitUntil(t, "an ordinary request beside the crowd", func() bool { return !p.alive() || ordinary() })
	closeAll()
	waitUntil(t, "an ordinary request after the crowd", func() bool { return !p.alive() || ordinary() })
	close(stop)
	most := <-result
	t.Logf("memory %d MB, of which %d MB aren't read, before the crowd %d MB; descriptors %d, before the crowd %d",
		most.memory>>20, most.unread>>20, before.memory>>20, most.descriptors, before.descriptors)
	if !p.alive() {
		t.Error("the process has ended")
	}
	if most.memory > int64(memoryMB)<<20 {
		t.Errorf("the process used %d MB, its limit is %d MB", most.memory>>20, memoryMB)
	}
	if most.descriptors > descriptors {
		t.Errorf("the process had %d descriptors open, its limit is %d", most.descriptors, descriptors)
	}
}

// TestEntryHost guards against an entry host that runs out of memory when many clients send large bodies
// to one of its listeners.
func TestEntryHost(t *testing.T) {
	skipUnlessMeasurable(t)
	listeners := map[string]struct {
		port    int
		request target
		clients int
		size    int
	}{
		"callers": {port: frontPort, request: target{method: "POST", path: "/l/00000000000000aa"}, clients: 100, size: jobBytes},
		"reports": {port: reportPort, request: target{method: "PUT", path: "/instances/i-9"}, clients: 30, size: reportBytes},
		"peers": {
			port: peerPort, request: target{method: "POST", path: "/twirp/dogwoodrock.wire.Peer/Deliver", header: "Content-Type: application/protobuf\r\n"},
			clients: 8, size: peerBytes,
		},
	}
	for listener, l := range listeners {
		for name, clients := range crowds(l.clients, l.size) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				s := startSite(t)
				l.request.address = at(s.entryIP, l.port)
				check(t, s.entry, l.request, clients, entryMemoryMB, maxFDs, s.submit)
			})
		}
	}
}

// TestCoreHost guards against a core host that runs out of memory when many clients send large bodies to
// one of its listeners.
func TestCoreHost(t *testing.T) {
	skipUnlessMeasurable(t)
	listeners := map[string]struct {
		port    int
		request target
		clients int
		size    int
		entryMB int // memory of the entry host, which bounds configurations; 0 for entryMemoryMB
	}{
		"configurations": {port: controlPort, request: target{method: "PUT", path: "/config"}, clients: 10, size: configBytes},
		// The largest that the core host takes: above, those that are announced are refused at once.
		"large configurations": {port: controlPort, request: target{method: "PUT", path: "/config"}, clients: 10, size: largestConfigBytes, entryMB: 1024},
		"reports":              {port: controlPort, request: target{method: "PUT", path: "/instances/i-9"}, clients: 90, size: reportBytes},
		"peers": {
			port: peerPort, request: target{method: "POST", path: "/twirp/dogwoodrock.wire.Peer/Deliver", header: "Content-Type: application/protobuf\r\n"},
			clients: 20, size: peerBytes,
		},
	}
	for listener, l := range listeners {
		for name, clients := range crowds(l.clients, l.size) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				s := startSized(t, coreMemoryMB, cmp.Or(l.entryMB, entryMemoryMB))
				l.request.address = at(s.coreIP, l.port)
				version := 1
				check(t, s.core, l.request, clients, coreMemoryMB, maxFDs, func() bool { version++; return s.put(version) })
			})
		}
	}
}

// TestAlone guards against a stand-alone daemon that runs out of memory when many clients send large
// bodies to it.
func TestAlone(t *testing.T) {
	skipUnlessMeasurable(t)
	listeners := map[string]struct {
		port    int
		request target
		clients int
		size    int
	}{
		"callers": {port: frontPort, request: target{method: "POST", path: "/v1/jobs"}, clients: 150, size: aloneBytes},
		"peers": {
			port: peerPort, request: target{method: "POST", path: "/twirp/dogwoodrock.wire.Peer/Deliver", header: "Content-Type: application/protobuf\r\n"},
			clients: 20, size: peerBytes,
		},
	}
	for listener, l := range listeners {
		for name, clients := range crowds(l.clients, l.size) {
			t.Run(listener+"/"+name, func(t *testing.T) {
				ip := reserveAddresses(t)(1)
				p := startAlone(t, ip, aloneBytes)
				ordinary := func() bool { return answers("GET", "http://"+at(ip, frontPort)+"/v1/status", "", http.StatusOK) }
				waitUntil(t, "the status", ordinary)
				l.request.address = at(ip, l.port)
				check(t, p, l.request, clients, aloneMemoryMB, 2*aloneConnections, ordinary)
			})
		}
	}
}

// TestConnections guards against a process that opens more descriptors than its machine has, or that takes
// no ordinary request any more, when many clients keep connections open on which they send nothing or a
// part of a header.
func TestConnections(t *testing.T) {
	skipUnlessMeasurable(t)
	const clients = 700
	listeners := map[string]int{"callers": frontPort, "readiness": readinessPort, "reports": reportPort, "peers": peerPort, "operators": operatorsPort}
	for name, port := range listeners {
		t.Run("entry host/"+name, func(t *testing.T) {
			s := startSite(t)
			check(t, s.entry, target{address: at(s.entryIP, port), method: "POST", path: "/l/00000000000000aa"}, hold(clients), entryMemoryMB, maxFDs, s.submit)
		})
	}
	listeners = map[string]int{"control": controlPort, "peers": peerPort, "operators": operatorsPort}
	for name, port := range listeners {
		t.Run("core host/"+name, func(t *testing.T) {
			s := startSite(t)
			version := 1
			check(t, s.core, target{address: at(s.coreIP, port), method: "PUT", path: "/config"}, hold(clients), coreMemoryMB, maxFDs,
				func() bool { version++; return s.put(version) })
		})
	}
	for name, port := range map[string]int{"callers": frontPort, "peers": peerPort} {
		t.Run("alone/"+name, func(t *testing.T) {
			ip := reserveAddresses(t)(1)
			p := startAlone(t, ip, aloneBytes)
			ordinary := func() bool { return answers("GET", "http://"+at(ip, frontPort)+"/v1/status", "", http.StatusOK) }
			waitUntil(t, "the status", ordinary)
			check(t, p, target{address: at(ip, port), method: "POST", path: "/v1/jobs"}, hold(clients), aloneMemoryMB, 2*aloneConnections, ordinary)
		})
	}
}

// hold returns n clients that announce a body and send nothing of it.
func hold(n int) []client {
	return repeat(n, client{announce: 100}, client{announce: 1000, send: 10, piece: 1})
}

func skipUnlessMeasurable(t *testing.T) {
	t.Helper()
	if testing.Short() {
		t.Skip("starts daemons and large crowds")
	}
	if (&process{}).measurable() {
		return
	}
	t.Skip("the system doesn't tell the memory of a process as Linux does")
}
