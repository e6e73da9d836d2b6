package crowd

import "testing"

// stalled returns clients that stop short of the end of a body of size bytes.
func stalled(n, size int) []client {
	return repeat(n, client{announce: size, send: size - 1000, piece: size}, client{send: size - 1000, piece: 32 << 10})
}

// TestCrowdsAtOnce guards against a process whose listeners are each within their bounds and which together take
// more memory than the machine has.
func TestCrowdsAtOnce(t *testing.T) {
	skipUnlessMeasurable(t)
	t.Run("entry host", func(t *testing.T) {
		s := startSized(t, coreMemoryMB, leastEntryMB)
		at := func(to target, clients []client) crowdAt { return crowdAt{to.at(s.entryIP), clients} }
		checkAll(t, s.entry, []crowdAt{
			at(jobTarget, stalled(100, jobBytes)),
			at(reportTarget, stalled(30, reportBytes)),
			at(protoBatch, stalled(60, jobBytes)),
			at(jobTarget, whole(20, jobContents(jobBytes)["padded steps"])),
			at(reportTarget, whole(10, reportContents(reportBytes)["fewer labels"])),
			at(target{port: readinessPort, method: "GET", path: "/ready"}, stalled(20, 60_000)),
			at(target{port: operatorsPort, method: "GET", path: "/metrics"}, stalled(20, 60_000)),
		}, leastEntryMB, maxFDs, s.submit)
	})
	t.Run("core host", func(t *testing.T) {
		s := startSized(t, leastCoreMB, 1024)
		at := func(to target, clients []client) crowdAt { return crowdAt{to.at(s.coreIP), clients} }
		version := 10
		checkAll(t, s.core, []crowdAt{
			at(reportTarget.onCore(), stalled(60, reportBytes)),
			at(configTarget, stalled(10, leastCoreMB<<20/12-1000)),
			at(protoBatch, stalled(20, peerBytes)),
			at(reportTarget.onCore(), whole(20, reportContents(reportBytes)["fewer labels"])),
			at(configTarget, whole(10, configContents(reportBytes)["padded routes"])),
			at(target{port: operatorsPort, method: "GET", path: "/metrics"}, stalled(20, 60_000)),
		}, leastCoreMB, maxFDs, func() bool { version++; return s.put(version) })
	})
}

// Descriptors of the smallest hosts of any deployment.
const (
	leastEntryFDs = 3075
	leastCoreFDs  = 4096
)

// TestWideCrowds guards against the same with as many connections as the smallest hosts have descriptors for: what the
// system receives for each of them before the process reads it counts as well.
func TestWideCrowds(t *testing.T) {
	skipUnlessMeasurable(t)
	start := func(t *testing.T, entryMB, coreMB int) *site {
		ip := reserveAddresses(t)
		s := &site{coreIP: ip(9), entryIP: ip(1)}
		s.core = startHost(t, settings{class: "core", ip: s.coreIP, core: s.coreIP, memoryMB: coreMB, maxFDs: leastCoreFDs})
		s.entry = startHost(t, settings{class: "front", ip: s.entryIP, core: s.coreIP, memoryMB: entryMB, maxFDs: leastEntryFDs})
		s.startWorker(t, ip(101))
		waitUntil(t, "the acknowledgement of a configuration", func() bool { return s.put(1) })
		waitUntil(t, "a complete job", s.submit)
		return s
	}
	t.Run("entry host", func(t *testing.T) {
		s := start(t, leastEntryMB, coreMemoryMB)
		at := func(to target, clients []client) crowdAt { return crowdAt{to.at(s.entryIP), clients} }
		checkAll(t, s.entry, []crowdAt{
			at(jobTarget, stalled(600, jobBytes)),
			at(reportTarget, stalled(300, reportBytes)),
			at(protoBatch, stalled(600, jobBytes)),
			at(target{port: readinessPort, method: "GET", path: "/ready"}, stalled(50, 60_000)),
			at(target{port: operatorsPort, method: "GET", path: "/metrics"}, stalled(50, 60_000)),
			at(jobTarget, whole(60, jobContents(jobBytes)["padded steps"])),
			at(reportTarget, whole(40, reportContents(reportBytes)["fewer labels"])),
		}, leastEntryMB, leastEntryFDs, s.submit)
	})
	t.Run("core host", func(t *testing.T) {
		s := start(t, 1024, leastCoreMB)
		at := func(to target, clients []client) crowdAt { return crowdAt{to.at(s.coreIP), clients} }
		version := 10
		checkAll(t, s.core, []crowdAt{
			at(reportTarget.onCore(), stalled(600, reportBytes)),
			at(configTarget, stalled(20, leastCoreMB<<20/12-1000)),
			at(protoBatch, stalled(300, peerBytes)),
			at(target{port: operatorsPort, method: "GET", path: "/metrics"}, stalled(20, 60_000)),
			at(reportTarget.onCore(), whole(40, reportContents(reportBytes)["fewer labels"])),
			at(configTarget, whole(20, configContents(reportBytes)["padded routes"])),
		}, leastCoreMB, leastCoreFDs, func() bool { version++; return s.put(version) })
	})
}
