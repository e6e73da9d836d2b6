package crowd

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

// TestReaders guards against a process whose memory grows with responses that the clients don't read.
func TestReaders(t *testing.T) {
	skipUnlessMeasurable(t)
	unread := repeat(300, client{requests: 1}, client{requests: 200})
	for name, to := range map[string]target{
		"metrics": {port: operatorsPort, method: "GET", path: "/metrics"},
		"report":  {port: operatorsPort, method: "GET", path: "/v1/host"},
		"callers": {port: frontPort, method: "GET", path: "/l/"},
	} {
		t.Run("entry host/"+name, func(t *testing.T) {
			s := startSized(t, coreMemoryMB, leastEntryMB)
			check(t, s.entry, to.at(s.entryIP), unread, leastEntryMB, maxFDs, s.submit)
		})
	}
	for name, to := range map[string]target{
		"metrics":        {port: operatorsPort, method: "GET", path: "/metrics"},
		"report":         {port: operatorsPort, method: "GET", path: "/v1/host"},
		"configurations": {port: controlPort, method: "GET", path: "/config"},
	} {
		t.Run("core host/"+name, func(t *testing.T) {
			s := startSized(t, leastCoreMB, 1024)
			waitUntil(t, "a large configuration", func() bool { return sendOrder(at(s.coreIP, controlPort), order(5, 10<<20)).status == http.StatusOK })
			version := 10
			check(t, s.core, to.at(s.coreIP), unread, leastCoreMB, maxFDs, func() bool { version++; return s.put(version) })
		})
	}
}

// TestOutdatedReaders guards against a core host that keeps each version of the configuration which somebody still reads.
func TestOutdatedReaders(t *testing.T) {
	skipUnlessMeasurable(t)
	const versions, first, readers, size = 12, 5, 3, 20 << 20
	s := startSized(t, leastCoreMB, 1024)
	stop := make(chan struct{})
	core := s.core.watch(stop)
	for v := range versions {
		waitUntil(t, "a large configuration", func() bool { return sendOrder(at(s.coreIP, controlPort), order(first+v, size)).status == http.StatusOK })
		for range readers {
			readSlowly(t, at(s.coreIP, controlPort))
		}
	}
	waitUntil(t, "an ordinary order", func() bool { return s.put(first + versions) })
	version, _ := mimic.Get(t.Context(), at(s.coreIP, controlPort))
	if version != first+versions {
		t.Errorf("version %d is in force, want %d", version, first+versions)
	}
	close(stop)
	checkMemory(t, "core", s.core, <-core, leastCoreMB)
}

// readSlowly reads the configuration in pieces, a little faster than the process gives up a client.
func readSlowly(t *testing.T, address string) {
	t.Helper()
	const piece, pause = 64 << 10, 2 * time.Second
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Log(err)
		return
	}
	t.Cleanup(func() { _ = c.Close() })
	if _, err := fmt.Fprintf(c, "GET /config HTTP/1.1\r\nHost: n.example\r\n\r\n"); err != nil {
		return
	}
	go func() {
		b := make([]byte, piece)
		for {
			if _, err := c.Read(b); err != nil {
				return
			}
			time.Sleep(pause)
		}
	}()
}
