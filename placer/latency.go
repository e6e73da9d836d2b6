package placer

import "time"

const (
	// minCallTimeout is the least timeout of an order. Servers answer within a few
	// milliseconds, and a start that times out too soon only costs a poll.
	minCallTimeout = 60 * time.Millisecond
	maxCallTimeout = 400 * time.Millisecond // half of a lease
	latencyWeight  = 0.05                   // weight of a new sample in the moving average
	timeoutFactor  = 6                      // timeout over the mean latency
)

// callLatency is the moving average of the time until an order is answered, including
// the time that the order and its answer are queued on this host. A host that is short
// of processor time thus waits longer instead of counting its servers as silent.
type callLatency struct {
	mean float64 // seconds
}

// observe records how long an order took until it was answered or timed out.
func (l *callLatency) observe(took time.Duration) {
	l.mean += latencyWeight * (took.Seconds() - l.mean)
}

// timeout returns the timeout of the next order.
func (l *callLatency) timeout() time.Duration {
	return min(max(time.Duration(timeoutFactor*l.mean*float64(time.Second)), minCallTimeout), maxCallTimeout)
}
