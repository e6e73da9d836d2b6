package placer

import "time"

// handleTimers does what is due at a tick, except for the orders that result.
func (n *PlacingService) handleTimers(now time.Time) {
	n.prune(now)
	stalled := now.Sub(n.lastTick) > stallGap
	n.lastTick = now
	if n.placer == nil {
		return
	}
	if stalled {
		n.resetHostTimeouts(now)
	}
	for name, h := range n.hosts {
		if n.timedOut(name, h, now) {
			n.placer.HostLost(name, 0, now)
			delete(n.hosts, name)
		}
	}
	n.requestPulses(now)
	n.replicateTable(now)
	n.markReplicated(now)
	n.answerDrains(now)
	n.placer.Tick(now)
	n.removeLeftServers(now)
}

// resetHostTimeouts restarts the timeouts of the entry hosts after a stall of this
// host, during which it may not have received their pulses: the jobs of a host that
// times out are dropped. The leases of their runs expire on their own.
func (n *PlacingService) resetHostTimeouts(now time.Time) {
	for _, h := range n.hosts {
		h.timeoutFrom = now
	}
}
