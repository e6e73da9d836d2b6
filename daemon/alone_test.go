package daemon

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// aloneDelay is the target time after which a host that has lost its group serves alone.
const aloneDelay = 50 * time.Second

// running returns how many tasks run on a data centre's backend servers.
func (c *cluster) running(dataCentre string) int {
	n := 0
	for _, b := range c.backends {
		if b.dataCentre == dataCentre {
			n += int(b.running.Load())
		}
	}
	return n
}

// peakRunning submits 40 tasks at once and returns the largest number that ran at the same time
// in changwon.
func (c *cluster) peakRunning(t *testing.T, host, name string) int {
	t.Helper()
	var wg sync.WaitGroup
	for i := range 5 {
		wg.Go(func() {
			label := fmt.Sprintf("%s-%d", name, i)
			if status, a := c.submit(host, submission("", "", label, 8)); !a.complete(label, 8) {
				t.Errorf("%s got %d %+v", label, status, a)
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	for peak := 0; ; {
		select {
		case <-done:
			return peak
		case <-time.After(10 * time.Millisecond):
			peak = max(peak, c.running("changwon"))
		}
	}
}

// TestServesAlone kills two hosts of a data centre and partitions the third from the other data
// centres. After aloneDelay it serves jobs without a key on its reserve, and refuses all that
// needs the group.
func TestServesAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startWithServers(t, time.Second)
		time.Sleep(aloneDelay)
		survivor := c.primary(t, "changwon")
		rest := append(hostsOf("gimhae"), hostsOf("jinju")...)
		c.network.Partition([]string{survivor}, rest)
		c.network.Partition(rest, []string{survivor})
		dead := slices.DeleteFunc(hostsOf("changwon"), func(name string) bool { return name == survivor })
		for _, name := range dead {
			c.kill(name)
		}
		time.Sleep(aloneDelay / 2)
		c.checkUnavailable(t, survivor, "early", submission("", "", "early", 1), true)
		time.Sleep(aloneDelay / 2)
		if status, a := c.submit(survivor, submission("", "", "alone", 2)); !a.complete("alone", 2) {
			t.Errorf("a job without a key got %d %+v", status, a)
		}
		noWait := strings.Replace(submission("", "", "later", 1), "{", `{"NoWait": true, `, 1)
		c.checkUnavailable(t, survivor, "later", noWait, true)
		c.checkUnavailable(t, survivor, "keyed", submission("", homeKey, "keyed", 1), false)
		if status, body := c.post("client", survivor, "/v1/sessions", `{"Customer": "gyeongnam"}`); status != http.StatusServiceUnavailable {
			t.Errorf("a session got %d %s", status, body)
		}
		// Of a share of 66 or 67 tasks the reserve is 8 or 9, of 16 slots.
		if n := c.peakRunning(t, survivor, "many"); n < 8 || n > 9 {
			t.Errorf("%d tasks ran at the same time on the reserve", n)
		}
		if _, text := c.get(survivor, "/metrics"); !strings.Contains(text, "\ndogwoodrock_AloneTasks_total 42\n") {
			t.Errorf("the metric doesn't count the tasks that were served alone: %s", text)
		}
		for i, name := range dead {
			c.restart(t, name, uint64(300+i))
		}
		time.Sleep(aloneDelay)
		session := c.openSession(t, survivor)
		if status, a := c.submit(survivor, submission(session, "k", "back", 1)); !a.complete("back", 1) {
			t.Errorf("a job with a key got %d %+v", status, a)
		}
		if n := c.peakRunning(t, survivor, "more"); n <= 9 {
			t.Errorf("%d tasks ran at the same time after the group had recovered", n)
		}
	})
}

// homeKey is a key whose home data centre is changwon.
const homeKey = "k-1"

// checkUnavailable submits a job that must be refused as unavailable without starting a task.
func (c *cluster) checkUnavailable(t *testing.T, host, label, body string, notRun bool) {
	t.Helper()
	status, a := c.submit(host, body)
	if status != http.StatusServiceUnavailable || a.Code != "Unavailable" || a.NotRun != notRun {
		t.Errorf("%s got %d %+v", label, status, a)
	}
	if n := c.starts(taskLabel(label, 0)); n != 0 {
		t.Errorf("%s was started %d times", label, n)
	}
}

// TestAloneHostIsFenced partitions a host from a majority that keeps serving. Backend servers
// that the majority has called refuse the isolated host's calls by their fence, so none of its
// tasks run.
func TestAloneHostIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startWithServers(t, time.Second)
		primary := c.primary(t, "changwon")
		victim := otherHost(primary)
		for name := range c.hosts {
			c.network.Partition([]string{victim}, []string{name})
			c.network.Partition([]string{name}, []string{victim})
		}
		time.Sleep(aloneDelay)
		if n := c.peakRunning(t, primary, "majority"); n != 16 {
			t.Errorf("%d tasks of the majority ran at the same time", n)
		}
		status, a := c.submit(victim, submission("", "", "fenced", 1))
		if a.State != "Failed" || a.Refusal == nil || a.Refusal.Code != "NoBackendServer" {
			t.Errorf("the isolated host answered %d %+v", status, a)
		}
		if n := c.starts(taskLabel("fenced", 0)); n != 0 {
			t.Errorf("the isolated host started %d tasks", n)
		}
		c.rejoin(victim)
		time.Sleep(aloneDelay)
		if n := c.peakRunning(t, victim, "rejoined"); n != 16 {
			t.Errorf("%d tasks ran at the same time after the host had rejoined", n)
		}
	})
}
