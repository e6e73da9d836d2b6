package daemon

import (
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
)

// restartAt restarts a killed host at a new address, which only its own settings contain.
func (c *cluster) restartAt(t *testing.T, name, ip string, seed uint64) {
	t.Helper()
	s := c.settings[name]
	s.Hosts = slices.Clone(s.Hosts)
	for i := range s.Hosts {
		if s.Hosts[i].Name == name {
			s.Hosts[i].Address = ip + ":7080"
		}
	}
	all := c.names()
	c.network.Heal([]string{name}, all)
	c.network.Heal(all, []string{name})
	c.startWith(t, s, seed)
}

// TestReplacedHost replaces a host by one at a new address, without a change of the other hosts'
// settings, and then kills a second host. The data centre must keep serving and keep its claims.
func TestReplacedHost(t *testing.T) {
	tests := map[string]struct{ replaced, lost string }{
		"without a disk":           {replaced: "changwon-2", lost: "changwon-3"},
		"with a disk":              {replaced: "changwon-1", lost: "changwon-2"},
		"then the one with a disk": {replaced: "changwon-3", lost: "changwon-1"},
		"in another data centre":   {replaced: "jinju-1", lost: "jinju-2"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				session := c.openSession(t, tt.lost)
				body := submission(session, "k", "before", 4)
				_, before := c.submit(tt.lost, body)
				c.kill(tt.replaced)
				time.Sleep(5 * time.Second)
				c.restartAt(t, tt.replaced, "10.1.0.1", 77)
				time.Sleep(10 * time.Second)
				if n := c.log.count(events.PeerMoved, tt.replaced); n == 0 {
					t.Error("no host logged the new address")
				}
				c.kill(tt.lost)
				time.Sleep(10 * time.Second)
				if status, again := c.submit(tt.replaced, body); status != http.StatusOK || again.Job != before.Job {
					t.Errorf("resubmitted: %d %+v, before %+v", status, again, before)
				}
				status, a := c.submit(tt.replaced, submission(session, "l", "after", 4))
				if status != http.StatusOK || !a.complete("after", 4) {
					t.Errorf("afterwards: %d %+v", status, a)
				}
				if n := c.starts(taskLabel("before", 0)); n != 1 {
					t.Errorf("a task was started %d times", n)
				}
			})
		})
	}
}
