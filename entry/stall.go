package entry

import "time"

// stallGap is how long no message and no tick comes before a host counts as having
// stood still: two ticks of a host at rest.
const stallGap = 2 * idleTick

// awake notes that the host runs. The time in which it stood still, frozen or
// without processor time, isn't silence of others: their answers wait to be read.
// Taking the own placer for lost then would send jobs to another data centre while
// copies of them, from other entry hosts, come to the own one. The callers' time
// went on meanwhile, which the messages that wait to be handled don't know.
func (n *Node) noteActivity(now time.Time) {
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
