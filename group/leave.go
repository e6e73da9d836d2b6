package group

import (
	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// recordDeparture records that a host has finished its work and stops. Every member records it, since
// the host may have been the primary until now.
func (n *Member) recordDeparture(m msgs.HostLeave) {
	n.departed[m.Host] = m.Incarnation
}

// reportRemoval reports that a host was removed. The removal counts as planned if the host announced
// its stop and none of its jobs failed.
func (n *Member) reportRemoval(h claim.Host, r claim.Result) {
	incarnation, announced := n.departed[h.Name]
	if announced && incarnation == h.Incarnation && len(r.Failed) == 0 {
		n.Hooks.HostLeft(h.Name)
		return
	}
	n.Hooks.Expelled(h.Name, len(r.Failed), r.Fence)
}
