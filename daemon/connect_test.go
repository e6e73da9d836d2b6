package daemon

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/stand"
)

// TestConnections puts load on a backend server that announces fewer connections than slots, or
// more. All entry hosts together must not open more than it announced, nor more than its slots for
// each host.
func TestConnections(t *testing.T) {
	tests := map[string]struct{ connections, most int }{
		"some for each host":       {connections: 6, most: 6},
		"many":                     {connections: 60, most: 60},
		"more than the slots need": {connections: 600, most: 90},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 3)
				c.startBackend(t, "changwon", 1, 100*time.Millisecond, func(cfg *stand.Config) {
					cfg.Slots, cfg.Connections = 30, tt.connections
				})
				c.putLists(t)
				var wg sync.WaitGroup
				for i := range 30 {
					label := fmt.Sprintf("job-%d", i)
					wg.Go(func() {
						if _, a := c.submit(hostsOf("changwon")[i%3], submission("", "", label, 4)); !a.complete(label, 4) {
							t.Errorf("%s got %+v", label, a)
						}
					})
				}
				wg.Wait()
				n := c.backends[0].counts().PeakConnections
				if n > tt.most || n == 0 {
					t.Errorf("%d connections were open at the same time, want no more than %d", n, tt.most)
				}
			})
		})
	}
}
