package group

import (
	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// hostLeave notes that a host has ended its work and stops. Every member notes
// it, since the host may have led until now.
func (n *Node) recordDeparture(m msgs.HostLeave) {
	n.departed[m.Host] = m.Incarnation
}

// reportGone reports that a host was given up: as planned when it said that it
// stops and nothing of it has failed.
func (n *Node) reportRemoval(h claim.Host, r claim.Result) {
	incarnation, announced := n.departed[h.Name]
	if announced && incarnation == h.Incarnation && len(r.Failed) == 0 {
		n.Hooks.HostLeft(h.Name)
		return
	}
	n.Hooks.Expelled(h.Name, len(r.Failed), r.Fence)
}
