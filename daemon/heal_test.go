package daemon

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"
)

// TestListsAfterPartition edits a list while a host is cut off in silence. An
// edit is in force everywhere within spreadTarget of the end of the cut.
func TestListsAfterPartition(t *testing.T) {
	tests := map[string]struct {
		cutOff string
		cut    time.Duration
	}{
		"shortly":               {cutOff: "jinju-1", cut: 2 * time.Second},
		"for long":              {cutOff: "jinju-1", cut: 40 * time.Second},
		"for long, and no disk": {cutOff: "jinju-2", cut: 40 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startCluster(t, 2)
				c.putLists(t)
				c.isolate(tt.cutOff, false, false)
				time.Sleep(tt.cut / 2)
				if status, body := c.put("gimhae-1", "customers", customersText+"# edit\n", "edit", 2); status != http.StatusOK {
					t.Fatalf("put: %d %s", status, body)
				}
				time.Sleep(tt.cut / 2)
				c.rejoin(tt.cutOff)
				time.Sleep(replicationTarget)
				for name := range c.hosts {
					if v := c.listsVersion(t, name); v != 3 {
						t.Errorf("%s has version %d in force, want 3", name, v)
					}
				}
			})
		})
	}
}
