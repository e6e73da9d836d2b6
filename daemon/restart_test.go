package daemon

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
)

// TestQuickRestart restarts a host faster than the other hosts detect its failure. Jobs that they
// had relayed to it must end, and none of their tasks may start again.
func TestQuickRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startWithServersIn(t, 3*time.Second, "changwon")
		victim := otherHost(c.primary(t, "changwon"))
		var wg sync.WaitGroup
		var keys []string
		for i := 0; len(keys) < 12; i++ {
			key := fmt.Sprint("key", i)
			if claim.Home(dataCentres, "gyeongnam", key) == "gimhae" {
				keys = append(keys, key)
			}
		}
		outcomeUnknown := make(chan bool, len(keys))
		for i, key := range keys {
			wg.Go(func() {
				status, a := c.submit(hostsOf("gimhae")[i%3], submission("", key, key, 1))
				unknown := a.Refusal != nil && a.Refusal.Code == "OutcomeUnknown"
				if status != http.StatusOK || !a.complete(key, 1) && !unknown {
					t.Errorf("%s got %d %+v", key, status, a)
				}
				outcomeUnknown <- unknown
			})
		}
		time.Sleep(time.Second)
		c.kill(victim)
		time.Sleep(200 * time.Millisecond)
		c.restart(t, victim, 400)
		wg.Wait()
		n := 0
		for range keys {
			if <-outcomeUnknown {
				n++
			}
		}
		if n == 0 {
			t.Error("the host ran none of the jobs")
		}
		for _, key := range keys {
			if n := c.starts(taskLabel(key, 0)); n != 1 {
				t.Errorf("%s was started %d times", strings.TrimSpace(key), n)
			}
		}
	})
}
