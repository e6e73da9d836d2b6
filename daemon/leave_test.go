package daemon

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// leaveTarget is the target time after which a backend server that has left gets no new tasks.
const leaveTarget = 5 * time.Second

// TestBackendServerLeaves removes one of two backend servers. After leaveTarget it must get no
// more tasks, and the other one must run all of them.
func TestBackendServerLeaves(t *testing.T) {
	tests := map[string]struct {
		leave func(c *cluster, b *backend)
	}{
		"sends a leave message": {leave: func(c *cluster, b *backend) {
			b.stopAnnouncing()
			c.post(b.name, "changwon-2", "/v1/backends/leave", fmt.Sprintf(`{"Name": %q, "DataCentre": "changwon"}`, b.name))
		}},
		"stops announcing": {leave: func(_ *cluster, b *backend) { b.stopAnnouncing() }},
		"dies":             {leave: func(_ *cluster, b *backend) { _ = b.group.Kill(b.name) }},
		"is partitioned": {leave: func(c *cluster, b *backend) {
			c.network.Partition(c.names(), []string{b.name})
			c.network.Partition([]string{b.name}, c.names())
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				b := c.backends[0]
				c.stream("before", func(string, answer) {})
				before := b.counts().Total
				tt.leave(c, b)
				time.Sleep(leaveTarget)
				c.stream("after", func(label string, a answer) {
					if !a.complete(label, 1) {
						t.Errorf("%s got %+v", label, a)
					}
				})
				if n := b.counts().Total; before == 0 || n != before {
					t.Errorf("the server started %d tasks before and %d later", before, n-before)
				}
			})
		})
	}
}

// stream submits jobs without keys to changwon, one every 20 ms.
func (c *cluster) stream(name string, check func(label string, a answer)) {
	var wg sync.WaitGroup
	for i := range 40 {
		label := fmt.Sprintf("%s-%d", name, i)
		wg.Go(func() {
			_, a := c.submit("changwon-1", submission("", "", label, 1))
			check(label, a)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
}
