package daemon

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
)

// logBuffer collects the log of all hosts of a cluster.
type logBuffer struct {
	logger events.Logger
	mu     sync.Mutex
	text   strings.Builder
}

// Write appends one log line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count returns how often an event about a host was logged.
func (b *logBuffer) count(e events.Event, peer string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for line := range strings.Lines(b.text.String()) {
		if strings.Contains(line, fmt.Sprintf(`"Event":%d,`, e.Code)) && strings.Contains(line, fmt.Sprintf("%q", peer)) {
			n++
		}
	}
	return n
}

// TestHostLeaves ends a host, backup or primary, by a planned stop or a crash. A stopped host
// must be logged as HostLeft, a crashed one as HostExpelled.
func TestHostLeaves(t *testing.T) {
	tests := map[string]struct {
		stop     func(c *cluster, host string)
		primary  bool
		left     int
		expelled int
	}{
		"planned stop of a backup":    {stop: (*cluster).stop, left: 1},
		"planned stop of the primary": {stop: (*cluster).stop, primary: true, left: 1},
		"a backup dies":               {stop: (*cluster).kill, expelled: 1},
		"the primary dies":            {stop: (*cluster).kill, primary: true, expelled: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				host := c.primary(t, "changwon")
				if !tt.primary {
					for _, h := range hostsOf("changwon") {
						if h != c.primary(t, "changwon") {
							host = h
						}
					}
				}
				tt.stop(c, host)
				time.Sleep(10 * time.Second)
				if left, expelled := c.log.count(events.HostLeft, host), c.log.count(events.HostExpelled, host); left != tt.left || expelled != tt.expelled {
					t.Errorf("logged HostLeft %d and HostExpelled %d times, want %d and %d", left, expelled, tt.left, tt.expelled)
				}
			})
		})
	}
}
