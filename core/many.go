package core

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
)

// newerPlacements returns the placements, or none if the latest one isn't newer than that a host knows. Of 32 placements
// most of the processor time of a renewal went into encoding and decoding them.
func newerPlacements(all []model.Placement, known uint64) []model.Placement {
	if slices.ContainsFunc(all, func(p model.Placement) bool { return p.Epoch > known }) {
		return all
	}
	return nil
}

// notifyPlaced tells the entry hosts of a new placement. With many placers it does so once the log entry is applied: the
// leader places all shards in a few entries after a start of all hosts, and would send all placements for each.
func (n *Core) notifyPlaced() {
	if len(n.state.Placements()) > fleet.SmallPlacers {
		n.noticeDue = true
		return
	}
	n.notifyAll()
}

// sendNotice sends the notice that notifyPlaced has put off.
func (n *Core) sendNotice() {
	if n.noticeDue {
		n.noticeDue = false
		n.notifyAll()
	}
}
