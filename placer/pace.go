package placer

import "time"

const (
	leastCall  = 60 * time.Millisecond  // that a server may take to answer: it takes a few milliseconds, and a start that is given up too soon costs a look only
	mostCall   = 400 * time.Millisecond // half of a lease
	paceGain   = 0.05                   // weight of a new answer time
	paceFactor = 6                      // times the mean answer time that an order may take
)

// pace is how long orders take to be answered, the time included that they and
// their answers wait on this host. A host that is short of processor time thus
// waits longer instead of taking its servers for silent.
type pace struct {
	mean float64 // seconds
}

// learn takes in how long an order took, answered or given up.
func (p *pace) learn(took time.Duration) {
	p.mean += paceGain * (took.Seconds() - p.mean)
}

// limit returns how long an order may take.
func (p *pace) limit() time.Duration {
	return min(max(time.Duration(paceFactor*p.mean*float64(time.Second)), leastCall), mostCall)
}
