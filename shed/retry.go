package shed

import "time"

const (
	// spareShare is the part of the capacity that returning callers may count on. Both
	// deployments leave a quarter of their servers free outside bursts.
	spareShare = 0.25

	// maxRetryAfter bounds the promises. Bursts last up to 8 s.
	maxRetryAfter = 10 * time.Second
)

// RetryAfter returns after which time there will be capacity for a job that is refused now.
// backlog is the time in which the servers complete what waits. If reserve is true, the
// capacity at that time is promised to this caller, so that callers return one after the other.
func (d *Decider) RetryAfter(work float64, c Capacity, backlog time.Duration, reserve bool, now time.Time) time.Duration {
	if free := now.Add(backlog); d.nextFree.Before(free) {
		d.nextFree = free
	}
	if latest := now.Add(maxRetryAfter); d.nextFree.After(latest) {
		d.nextFree = latest
	}
	after := d.nextFree.Sub(now)
	if reserve && c.Rate > 0 {
		d.nextFree = d.nextFree.Add(time.Duration(work / (spareShare * c.Rate) * float64(time.Second)))
	}
	return after
}
