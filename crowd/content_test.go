package crowd

import (
	"net/http"
	"strings"
	"testing"
)

// Memory in MB of the smallest hosts of any deployment.
const (
	leastEntryMB = 144
	leastCoreMB  = 280
)

// fill returns a text of about size bytes: begin, then piece as often as it fits, and end.
func fill(size int, begin, piece, end string) []byte {
	n := max(size-len(begin)-len(end), 0) / len(piece)
	return []byte(begin + strings.Repeat(piece, n) + end)
}

// whole returns n clients that send a complete body.
func whole(n int, body []byte) []client {
	return repeat(n, client{body: body, announce: len(body), piece: len(body)}, client{body: body, piece: 32 << 10, end: true})
}

// Contents that take most memory once they are decoded, for the bytes that they have.
func jobContents(size int) map[string][]byte {
	return map[string][]byte{
		"empty steps":   fill(size, `{"phases":[{}`, `,{}`, `]}`),
		"null steps":    fill(size, `{"phases":[0`, `,0`, `]}`),
		"numbers":       fill(size, `{"phases":[{"after":[0`, `,0`, `]}]}`),
		"unknown lists": fill(size, `{"x":[[]`, `,[]`, `]}`),
		"nested lists":  fill(size, ``, `[`, ``),
		"fewer steps":   fill(size/13, `{"phases":[{}`, `,{}`, `]}`),
		"padded steps":  fill(size, `{"phases":[{}`, `,{"x":"`+strings.Repeat("x", 30)+`"}`, `]}`),
	}
}

func reportContents(size int) map[string][]byte {
	return map[string][]byte{
		"empty labels": fill(size, `{"state":"ready","seq":1,"labels":[""`, `,""`, `]}`),
		"numbers":      fill(size, `{"state":"ready","seq":1,"labels":[0`, `,0`, `]}`),
		"nested lists": fill(size, ``, `[`, ``),
		"fewer labels": fill(size/16, `{"state":"ready","seq":1,"labels":[""`, `,""`, `]}`),
	}
}

func configContents(size int) map[string][]byte {
	return map[string][]byte{
		"empty routes":   fill(size, `{"version":5,"services":[],"routes":[{}`, `,{}`, `]}`),
		"numbers":        fill(size, `{"version":5,"services":[],"routes":[0`, `,0`, `]}`),
		"empty services": fill(size, `{"version":5,"routes":[],"services":[{}`, `,{}`, `]}`),
		"padded routes":  fill(size, `{"version":5,"services":[],"routes":[{}`, `,{"x":"`+strings.Repeat("x", 12)+`"}`, `]}`),
		"long routes":    fill(size, `{"version":5,"services":[],"routes":[{}`, `,{"x":"`+strings.Repeat("x", 120)+`"}`, `]}`),
		"advisors":       fill(size, `{"version":5,"services":[],"routes":[{"advisor":0}`, `,{"advisor":0}`, `]}`),
	}
}

var (
	jobTarget    = target{port: frontPort, method: "POST", path: "/l/00000000000000aa"}
	reportTarget = target{port: reportPort, method: "PUT", path: "/instances/i-9"}
	configTarget = target{port: controlPort, method: "PUT", path: "/config"}
)

// onCore returns the target for reports at a core host.
func (to target) onCore() target {
	to.port = controlPort
	return to
}

// crowdOf is a crowd whose clients send complete bodies.
type crowdOf struct {
	to       target
	clients  int
	contents map[string][]byte
}

// TestContentsAtEntryHost guards against an entry host that runs out of memory on bodies of legal size whose
// content takes many times their size once it is decoded.
func TestContentsAtEntryHost(t *testing.T) {
	skipUnlessMeasurable(t)
	for listener, c := range map[string]crowdOf{
		"callers": {jobTarget, 60, jobContents(jobBytes)},
		"reports": {reportTarget, 20, reportContents(reportBytes)},
	} {
		t.Run(listener, func(t *testing.T) { c.playAtEntryHost(t) })
	}
}

// TestContentsAtCoreHost guards against the same at a core host.
func TestContentsAtCoreHost(t *testing.T) {
	skipUnlessMeasurable(t)
	for listener, c := range map[string]crowdOf{
		"reports":              {reportTarget.onCore(), 40, reportContents(reportBytes)},
		"configurations":       {configTarget, 40, configContents(reportBytes)},
		"large configurations": {configTarget, 4, configContents(leastCoreMB<<20/12 - 1000)},
	} {
		t.Run(listener, func(t *testing.T) { c.playAtCoreHost(t) })
	}
}

// TestContentsAlone guards against the same at a stand-alone daemon.
func TestContentsAlone(t *testing.T) {
	skipUnlessMeasurable(t)
	for listener, c := range map[string]crowdOf{
		"jobs": {target{port: frontPort, method: "POST", path: "/v1/jobs"}, 60, map[string][]byte{
			"empty tasks":  fill(aloneBytes, `{"Tasks":[{}`, `,{}`, `]}`),
			"nested lists": fill(aloneBytes, ``, `[`, ``),
		}},
		"announcements": {target{port: frontPort, method: "POST", path: "/v1/backends/announce"}, 60, map[string][]byte{
			"empty services": fill(aloneBytes, `{"Services":[""`, `,""`, `]}`),
		}},
		"lists": {target{port: frontPort, method: "PUT", path: "/v1/lists/customers"}, 60, map[string][]byte{
			"many lines": fill(aloneBytes, `{"Text":"`, `a:\n`, `"}`),
		}},
	} {
		t.Run(listener, func(t *testing.T) { c.playAlone(t) })
	}
}

// playAtEntryHost lets the clients send the contents one after the other to an entry host.
func (c crowdOf) playAtEntryHost(t *testing.T) {
	s := startSized(t, coreMemoryMB, leastEntryMB)
	for name, body := range c.contents {
		t.Run(name, func(t *testing.T) {
			check(t, s.entry, c.to.at(s.entryIP), whole(c.clients, body), leastEntryMB, maxFDs, s.submit)
		})
	}
}

// playAtCoreHost does the same at a core host.
func (c crowdOf) playAtCoreHost(t *testing.T) {
	s := startSized(t, leastCoreMB, 1024)
	version := 10
	for name, body := range c.contents {
		t.Run(name, func(t *testing.T) {
			check(t, s.core, c.to.at(s.coreIP), whole(c.clients, body), leastCoreMB, maxFDs, func() bool { version++; return s.put(version) })
		})
	}
}

// playAlone does the same at a stand-alone daemon.
func (c crowdOf) playAlone(t *testing.T) {
	ip := reserveAddresses(t)(1)
	p := startAlone(t, ip, aloneBytes)
	ordinary := func() bool { return answers("GET", "http://"+at(ip, frontPort)+"/v1/status", "", http.StatusOK) }
	waitUntil(t, "the status", ordinary)
	for name, body := range c.contents {
		t.Run(name, func(t *testing.T) {
			check(t, p, c.to.at(ip), whole(c.clients, body), aloneMemoryMB, 2*aloneConnections, ordinary)
		})
	}
}
