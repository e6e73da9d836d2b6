package entry

import "time"

// stallGap is the time without a message and a tick after which this host counts as
// stalled: two idle ticks.
const stallGap = 2 * idleTick

// noteActivity records that the host runs, and detects that it was paused or without
// processor time. The time of such a stall doesn't count towards the timeouts of other
// hosts, as their answers are waiting to be read. Otherwise the own placer would count
// as silent, and jobs would go to another data centre while copies of them, from other
// entry hosts, go to the own one. The deadlines of the callers do include the stall, so
// overdue jobs expire before the queued messages are handled.
func (n *JobService) noteActivity(now time.Time) {
	gap := now.Sub(n.lastActive)
	n.lastActive = now
	if gap <= stallGap {
		return
	}
	n.leaderContact, n.coreContact = n.leaderContact.Add(gap), n.coreContact.Add(gap)
	for _, s := range n.placers {
		if !s.unansweredSince.IsZero() {
			s.unansweredSince = now
		}
	}
	for _, j := range n.jobs {
		if j.parked {
			j.parkedAt = now
		}
	}
	n.expireJobs(now)
}
