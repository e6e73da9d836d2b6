package daemon

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestListsAfterPartition edits a list while a host is partitioned in both directions. The edit
// must be active on all hosts within replicationTarget after the partition ends.
func TestListsAfterPartition(t *testing.T) {
	tests := map[string]struct {
		host     string
		duration time.Duration
	}{
		"shortly":                       {host: "jinju-1", duration: 2 * time.Second},
		"for long":                      {host: "jinju-1", duration: 40 * time.Second},
		"for long, host without a disk": {host: "jinju-2", duration: 40 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 2)
				c.putLists(t)
				c.isolate(tt.host, false, false)
				time.Sleep(tt.duration / 2)
				if status, body := c.put("gimhae-1", "customers", customersText+"# edit\n", "edit", 2); status != http.StatusOK {
					t.Fatalf("put: %d %s", status, body)
				}
				time.Sleep(tt.duration / 2)
				c.rejoin(tt.host)
				time.Sleep(replicationTarget)
				for name := range c.hosts {
					if v := c.listsVersion(t, name); v != 3 {
						t.Errorf("%s has version %d active, want 3", name, v)
					}
				}
			})
		})
	}
}
