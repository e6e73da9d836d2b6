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

// logBook keeps what all hosts of a cluster log.
type logBuffer struct {
	logger events.Logger
	mu     sync.Mutex
	text   strings.Builder
}

// Write takes one line.
func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// count returns how often an event was logged of a host.
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

// TestHostLeaves ends a host, which may lead, as planned or not.
func TestHostLeaves(t *testing.T) {
	tests := map[string]struct {
		end   func(c *cluster, host string)
		leads bool
		left  int
		lost  int
	}{
		"planned stop of a backup":    {end: (*cluster).stop, left: 1},
		"planned stop of the primary": {end: (*cluster).stop, leads: true, left: 1},
		"a backup dies":               {end: (*cluster).kill, lost: 1},
		"the primary dies":            {end: (*cluster).kill, leads: true, lost: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				host := c.primary(t, "changwon")
				if !tt.leads {
					for _, h := range hostsOf("changwon") {
						if h != c.primary(t, "changwon") {
							host = h
						}
					}
				}
				tt.end(c, host)
				time.Sleep(10 * time.Second)
				if left, lost := c.log.count(events.HostLeft, host), c.log.count(events.HostExpelled, host); left != tt.left || lost != tt.lost {
					t.Errorf("logged HostLeft %d and HostExpelled %d times, want %d and %d", left, lost, tt.left, tt.lost)
				}
			})
		})
	}
}
