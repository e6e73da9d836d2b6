package crowd

import (
	"net/http"
	"testing"
)

// TestLongNames guards against a process that quotes long names of its clients in its log lines and responses.
func TestLongNames(t *testing.T) {
	skipUnlessMeasurable(t)
	t.Run("entry host", func(t *testing.T) {
		s := startSized(t, coreMemoryMB, leastEntryMB)
		body := fill(jobBytes, `{"phases":9`, `9`, `}`)
		check(t, s.entry, jobTarget.at(s.entryIP), whole(60, body), leastEntryMB, maxFDs, s.submit)
	})
	configs := map[string][]byte{
		"a service": fill(reportBytes, `{"version":5,"services":[],"routes":[{"host":"n","prefix":"/l/","timeout_ms":1,"service":"`, `\"`, `"}]}`),
		"a number":  fill(reportBytes, `{"version":5,"services":[],"routes":9`, `9`, `}`),
	}
	for name, body := range configs {
		t.Run("core host/"+name, func(t *testing.T) {
			s := startSized(t, leastCoreMB, 1024)
			version := 10
			check(t, s.core, configTarget.at(s.coreIP), whole(60, body), leastCoreMB, maxFDs, func() bool { version++; return s.put(version) })
		})
	}
	t.Run("alone", func(t *testing.T) {
		ip := reserveAddresses(t)(1)
		p := startAlone(t, ip, aloneBytes)
		ordinary := func() bool { return answers("GET", "http://"+at(ip, frontPort)+"/v1/status", "", http.StatusOK) }
		waitUntil(t, "the status", ordinary)
		to := target{port: frontPort, method: "POST", path: "/v1/jobs"}
		check(t, p, to.at(ip), whole(60, fill(aloneBytes, `{"`, `a`, `":0}`)), aloneMemoryMB, 2*aloneConnections, ordinary)
	})
}
