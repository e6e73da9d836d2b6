package group

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	minLoadInterval = 100 * time.Millisecond // at least, between words of how busy the data centre is
	maxLoadInterval = 2 * time.Second        // at most, while nothing changes
)

// tellLoad lets the entry hosts of all data centres know where slots are idle,
// so that a job without a home may go where it starts soonest.
func (n *Node) broadcastLoad(now time.Time) {
	since := now.Sub(n.primary.loadSentAt)
	if since < minLoadInterval || len(n.DataCentres) < 2 {
		return
	}
	m := msgs.Load{DataCentre: n.Self.DataCentre}
	for _, s := range n.primary.placer.Loads() {
		m.Services = append(m.Services, msgs.ServiceLoad(s))
	}
	if since < maxLoadInterval && slices.Equal(m.Services, n.primary.sentLoads) {
		return
	}
	n.primary.loadSentAt = now
	n.primary.sentLoads = m.Services
	for _, h := range n.Hosts {
		_ = n.Send(h.Name, msgs.ServiceJobs, m) // the next one makes up for a lost one
	}
}
