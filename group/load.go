package group

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	minLoadInterval = 100 * time.Millisecond // minimum time between load reports
	maxLoadInterval = 2 * time.Second        // time between load reports while the load doesn't change
)

// broadcastLoad sends the load of this data centre to the entry hosts of all data centres, so that a
// job without a home data centre can be sent to where it starts soonest.
func (n *Member) broadcastLoad(now time.Time) {
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
		_ = n.Send(h.Name, msgs.ServiceJobs, m) // a lost message is superseded by the next one
	}
}
