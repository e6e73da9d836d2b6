package placer

import "time"

const (
	minCallTimeout = 60 * time.Millisecond  // that a server may take to answer: it takes a few milliseconds, and a start that is given up too soon costs a look only
	maxCallTimeout = 400 * time.Millisecond // half of a lease
	latencyWeight  = 0.05                   // weight of a new answer time
	timeoutFactor  = 6                      // times the mean answer time that an order may take
)

// pace is how long orders take to be answered, the time included that they and
// their answers wait on this host. A host that is short of processor time thus
// waits longer instead of taking its servers for silent.
type callLatency struct {
	mean float64 // seconds
}

// learn takes in how long an order took, answered or given up.
func (p *callLatency) observe(took time.Duration) {
	p.mean += latencyWeight * (took.Seconds() - p.mean)
}

// limit returns how long an order may take.
func (p *callLatency) timeout() time.Duration {
	return min(max(time.Duration(timeoutFactor*p.mean*float64(time.Second)), minCallTimeout), maxCallTimeout)
}
