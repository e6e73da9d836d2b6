package runs

import (
	"testing"
	"time"
)

// TestLeasesEndBeforeResends holds the sums of times that keep a run from the next
// life of its job: callers send it again retransmitTime after they lost it.
func TestLeasesEndBeforeResends(t *testing.T) {
	const retransmitTime = 1300 * time.Millisecond
	slow := func(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }
	tests := map[string]time.Duration{
		"a run that begins on a server with a full lease":          startWindow + slow(leaseTime),
		"a run whose lease is prolonged":                           slow(leaseWindow),
		"a run whose host is told of the next placer just in time": slow(leaseWindow) + leaseSlack,
	}
	for name, most := range tests {
		t.Run(name, func(t *testing.T) {
			if most >= retransmitTime {
				t.Fatalf("it may go on for %v after its entry host waited, want less than %v", most, retransmitTime)
			}
		})
	}
	if bySlow, byFast := slow(TableValidity)+slow(startWindow), time.Duration(float64(ReplicationTime)*minClockRate); bySlow > byFast {
		t.Errorf("a table counts as whole for jobs that begin elsewhere up to %v after it was asked for, and new servers are used after %v", bySlow, byFast)
	}
	for name, most := range tests {
		if most > formerLeaseTime {
			t.Errorf("jobs of an earlier placer go on after %v, and %s for %v", formerLeaseTime, name, most)
		}
	}
}
