package daemon

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// startWithServers starts a cluster with active lists and two backend servers in each data
// centre. Each task runs for the time work.
func startWithServers(t *testing.T, work time.Duration) *cluster {
	t.Helper()
	return startWithServersIn(t, work, dataCentres...)
}

// startWithServersIn starts the same cluster with backend servers only in the given data centres.
func startWithServersIn(t *testing.T, work time.Duration, withServers ...string) *cluster {
	t.Helper()
	c := startCluster(t, 3)
	for _, dc := range withServers {
		for n := range 2 {
			c.startBackend(t, dc, n+1, work)
		}
	}
	c.putLists(t)
	return c
}

// TestEndToEnd submits jobs to all data centres at once, also twice with the same key. Each job
// must be complete, and each of its tasks must start once.
func TestEndToEnd(t *testing.T) {
	const jobs, tasks = 30, 8
	tests := map[string]struct {
		keyed  bool
		resend bool     // each job is submitted to two hosts of different data centres
		in     []string // data centres with backend servers
	}{
		"without keys":                          {in: dataCentres},
		"with keys":                             {keyed: true, in: dataCentres},
		"with keys, submitted twice":            {keyed: true, resend: true, in: dataCentres},
		"servers in one data centre":            {in: dataCentres[:1]},
		"with keys, servers in one data centre": {keyed: true, resend: true, in: dataCentres[:1]},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServersIn(t, 100*time.Millisecond, tt.in...)
				session := ""
				if tt.keyed {
					session = c.openSession(t, "jinju-2")
				}
				var wg sync.WaitGroup
				send := func(host, label string) {
					key := ""
					if tt.keyed {
						key = label
					}
					status, a := c.submit(host, submission(session, key, label, tasks))
					if status != http.StatusOK || !a.complete(label, tasks) {
						t.Errorf("%s at %s: %d %+v", label, host, status, a)
					}
				}
				for i := range jobs {
					label := fmt.Sprintf("job-%d", i)
					wg.Go(func() { send(dataCentres[i%3]+"-1", label) })
					if tt.resend {
						wg.Go(func() { send(dataCentres[(i+1)%3]+"-3", label) })
					}
				}
				wg.Wait()
				for i := range jobs {
					for k := range tasks {
						if n := c.starts(taskLabel(fmt.Sprintf("job-%d", i), k)); n != 1 {
							t.Errorf("task %d of job %d was started %d times", k, i, n)
						}
					}
				}
			})
		})
	}
}
