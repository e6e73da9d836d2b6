package daemon

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

const (
	loadJobs       = 90
	loadTasks      = 4
	loadInterval   = 70 * time.Millisecond // between submissions
	faultAt        = 2 * time.Second       // after the first submission
	maxSubmissions = 60                    // attempts to submit one job
)

// load is a stream of jobs of one session. Each job is resubmitted until it has ended.
type load struct {
	cluster *cluster
	session string
	hosts   []string

	mu    sync.Mutex
	ended map[string]answer // by label
}

// isolate partitions a host from all entry hosts and backend servers. The host still receives
// messages if receives is true, and its messages still arrive if sends is true.
func (c *cluster) isolate(name string, receives, sends bool) {
	if !receives {
		c.network.Partition(c.names(), []string{name})
	}
	if !sends {
		c.network.Partition([]string{name}, c.names())
	}
}

func (c *cluster) rejoin(name string) {
	c.network.Heal(c.names(), []string{name})
	c.network.Heal([]string{name}, c.names())
}

// run submits the jobs to all hosts in turn and injects the fault faultAt after the first.
func (l *load) run(fault func()) {
	var wg sync.WaitGroup
	wg.Go(func() {
		time.Sleep(faultAt)
		fault()
	})
	for i := range loadJobs {
		wg.Go(func() { l.runJob(i) })
		time.Sleep(loadInterval)
	}
	wg.Wait()
}

// runJob submits one job until it has ended and records its answer.
func (l *load) runJob(i int) {
	label := fmt.Sprintf("job-%d", i)
	if a, ok := l.submitUntilEnded(label, i); ok {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.ended[label] = a
	}
}

// submitUntilEnded submits a job to one host after the other until one returns its outcome.
func (l *load) submitUntilEnded(label string, first int) (answer, bool) {
	body := submission(l.session, label, label, loadTasks)
	for try := range maxSubmissions {
		status, a := l.cluster.submit(l.hosts[(first+try)%len(l.hosts)], body)
		if status == http.StatusOK {
			return a, true
		}
		time.Sleep(time.Second / 2)
	}
	return answer{}, false
}

// check compares the answers with the starts that the backend servers counted. Only jobs of the
// hosts in mayFail may have failed.
func (l *load) check(t *testing.T, mayFail []string) {
	t.Helper()
	for i := range loadJobs {
		label := fmt.Sprintf("job-%d", i)
		a, ok := l.ended[label]
		switch {
		case !ok:
			t.Errorf("%s never ended", label)
		case a.State == "Complete" && !a.complete(label, loadTasks):
			t.Errorf("%s is complete with %v", label, a.Results)
		case a.State == "Failed" && (len(a.Results) > 0 || !slices.Contains(mayFail, owner(a.Job))):
			t.Errorf("%s of %s failed: %+v", label, owner(a.Job), *a.Refusal)
		}
		l.checkStarts(t, label, a)
	}
}

func (l *load) checkStarts(t *testing.T, label string, a answer) {
	t.Helper()
	for k := range loadTasks {
		n := l.cluster.starts(taskLabel(label, k))
		if n > 1 || n == 0 && a.State == "Complete" {
			t.Errorf("task %d of %s (%s) was started %d times", k, label, a.State, n)
		}
		if n > 0 && a.Refusal != nil && a.Refusal.NotRun {
			t.Errorf("task %d of %s was started, but the refusal says NotRun", k, label)
		}
	}
}

// checkResubmitted submits each job once more and checks that job and state are the same.
func (l *load) checkResubmitted(t *testing.T) {
	t.Helper()
	for label, before := range l.ended {
		after, _ := l.submitUntilEnded(label, 0)
		if after.Job != before.Job || after.State != before.State {
			t.Errorf("%s was %s (%s) and is %s (%s) now", label, before.Job, before.State, after.Job, after.State)
		}
	}
}

// owner returns the name of the host that is part of a job's name.
func owner(job string) string {
	parts := strings.Split(job, ".")
	if len(parts) < 2 {
		return ""
	}
	return parts[1]
}

// TestFaults injects one fault into a cluster under load. Every job ends, no task starts twice,
// and only jobs of the hosts that the fault hit may fail.
func TestFaults(t *testing.T) {
	const home = "changwon"
	tests := map[string]struct {
		fault func(t *testing.T, c *cluster, primary string) []string // hosts whose jobs may fail
	}{
		"none": {fault: func(*testing.T, *cluster, string) []string { return nil }},
		"an entry host dies": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			victim := otherHost(primary)
			c.kill(victim)
			return []string{victim}
		}},
		"an entry host is stopped": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.stop(otherHost(primary))
			return nil
		}},
		"the primary is stopped": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.stop(primary)
			return nil
		}},
		"the primary dies": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.kill(primary)
			return []string{primary}
		}},
		"the primary dies and comes back": {fault: func(t *testing.T, c *cluster, primary string) []string {
			c.kill(primary)
			time.Sleep(300 * time.Millisecond)
			c.restart(t, primary, 101)
			return []string{primary}
		}},
		"a second host dies right after the repair": {fault: func(t *testing.T, c *cluster, primary string) []string {
			c.kill(primary)
			time.Sleep(5 * time.Second)
			c.restart(t, primary, 102)
			time.Sleep(2 * time.Second)
			second := c.primary(t, home)
			c.kill(second)
			return []string{primary, second}
		}},
		"the primary is partitioned in both directions": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.isolate(primary, false, false)
			time.Sleep(15 * time.Second)
			c.rejoin(primary)
			return []string{primary}
		}},
		"the primary sends but receives nothing": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.isolate(primary, false, true)
			time.Sleep(15 * time.Second)
			c.rejoin(primary)
			return []string{primary}
		}},
		"the primary receives but sends nothing": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			c.isolate(primary, true, false)
			time.Sleep(15 * time.Second)
			c.rejoin(primary)
			return []string{primary}
		}},
		"an entry host is partitioned in both directions": {fault: func(_ *testing.T, c *cluster, primary string) []string {
			victim := otherHost(primary)
			c.isolate(victim, false, false)
			time.Sleep(15 * time.Second)
			c.rejoin(victim)
			return []string{victim}
		}},
		"another data centre is partitioned": {fault: func(_ *testing.T, c *cluster, _ string) []string {
			rest := append(hostsOf("gimhae"), hostsOf(home)...)
			c.network.Partition(hostsOf("jinju"), rest)
			c.network.Partition(rest, hostsOf("jinju"))
			return nil
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 100*time.Millisecond)
				l := &load{cluster: c, session: c.openSession(t, home+"-2"), ended: map[string]answer{}}
				l.hosts = slices.Sorted(maps.Keys(c.hosts))
				primary := c.primary(t, home)
				var mayFail []string
				l.run(func() { mayFail = tt.fault(t, c, primary) })
				l.check(t, mayFail)
				l.checkResubmitted(t)
			})
		})
	}
}

// TestPlannedStop stops a host under load. The load balancer polls its readiness twice a second;
// every job sent to the host before the balancer notices must get its complete answer.
func TestPlannedStop(t *testing.T) {
	tests := map[string]struct{ victim func(primary string) string }{
		"an entry host": {victim: otherHost},
		"the primary":   {victim: func(primary string) string { return primary }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := startWithServers(t, 2*time.Second)
				victim := tt.victim(c.primary(t, "changwon"))
				var wg sync.WaitGroup
				sent := 0
				for ready := true; ready; sent++ {
					label := fmt.Sprintf("job-%d", sent)
					wg.Go(func() {
						if status, a := c.submit(victim, submission("", "", label, 1)); !a.complete(label, 1) {
							t.Errorf("%s got %d %+v", label, status, a)
						}
					})
					if sent == 20 {
						wg.Go(func() { c.stop(victim) })
					}
					time.Sleep(20 * time.Millisecond)
					if sent%25 == 24 {
						status, _ := c.get(victim, "/readyz")
						ready = status == http.StatusOK
					}
				}
				wg.Wait()
				if sent != 25 {
					t.Errorf("the host was ready until %d jobs were sent", sent)
				}
			})
		})
	}
}

// TestAllHostsLoseState kills and restarts all hosts of the home data centre, so that its group
// loses its state. Callers may never receive the outcome, but no task starts twice.
func TestAllHostsLoseState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startWithServers(t, 100*time.Millisecond)
		l := &load{cluster: c, session: c.openSession(t, "changwon-1"), ended: map[string]answer{}, hosts: []string{"gimhae-1", "jinju-2"}}
		l.run(func() {
			for _, name := range hostsOf("changwon") {
				c.kill(name)
			}
			for i, name := range hostsOf("changwon") {
				c.restart(t, name, uint64(200+i))
			}
		})
		if n := len(l.ended); n == 0 || n == loadJobs {
			t.Errorf("%d jobs have ended", n)
		}
		for i := range loadJobs {
			label := fmt.Sprintf("job-%d", i)
			l.checkStarts(t, label, l.ended[label])
		}
		if _, a := c.submit("gimhae-1", submission(c.openSession(t, "changwon-2"), "k", "new", 1)); !a.complete("new", 1) {
			t.Errorf("a job of a new session got %+v", a)
		}
	})
}

// otherHost returns a host of changwon other than the primary.
func otherHost(primary string) string {
	hosts := hostsOf("changwon")
	return hosts[(slices.Index(hosts, primary)+1)%len(hosts)]
}
