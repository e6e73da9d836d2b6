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
