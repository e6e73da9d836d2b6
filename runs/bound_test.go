package runs

import (
	"testing"
	"time"
)

// TestLeasesEndBeforeResends checks the sums of timeouts that let the runs of a job end
// before it can be resent: a caller that loses its connection resends the job after
// retransmitTime. Otherwise a task could run twice at the same time.
func TestLeasesEndBeforeResends(t *testing.T) {
	const retransmitTime = 1300 * time.Millisecond
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }
	tests := map[string]time.Duration{
		"a run that starts on a server with a full lease":              startWindow + slow(leaseTime),
		"a run whose lease is renewed":                                 slow(leaseWindow),
		"a run whose host is informed of the next placer just in time": slow(leaseWindow) + leaseSlack,
	}
	for name, most := range tests {
		t.Run(name, func(t *testing.T) {
			if most >= retransmitTime {
				t.Fatalf("it may run for %v after the last confirmation of its entry host, want less than %v", most, retransmitTime)
			}
		})
	}
	if bySlow, byFast := slow(TableValidity)+slow(startWindow), time.Duration(float64(ReplicationTime)*minClockRate); bySlow > byFast {
		t.Errorf("a table counts as complete for jobs that start elsewhere up to %v after it was requested, and new servers are used after %v", bySlow, byFast)
	}
	for name, most := range tests {
		if most > formerLeaseTime {
			t.Errorf("jobs of an earlier placer continue after %v, and %s lasts for %v", formerLeaseTime, name, most)
		}
	}
}
