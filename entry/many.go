package entry

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
)

// With many hosts most of the processor time of a placer went into pulses and their answers, and after a start of all
// hosts each of them sent several hundred. What follows applies to systems of more than 30 hosts, and to smaller
// ones with more placers than fleet.SmallPlacers; see docs/design/scale.md.

// probeInterval is the time between pulses to a host of another data centre that has said that it doesn't place.
const probeInterval = 2 * time.Second

// manyHosts reports whether the rules for systems of more than 30 hosts apply. The number of placers indicates it as long
// as the core has no leader, which tells the size of the own data centre. It may be above the bound in a smaller system
// too, of many data centres of one or two hosts, or one that has lost hosts since its shards were set.
func (n *JobService) manyHosts() bool {
	return n.large || len(n.placements) > fleet.SmallPlacers
}

// learnSize records that the own data centre is large. It holds until the process ends: a reply without it may be from
// a host that doesn't lead, or from a leader that doesn't know all hosts yet.
func (n *JobService) learnSize(m msgs.HostRenewed) {
	if m.Large && !n.large {
		n.large = true
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.LargeDataCentre{}) // on this host
	}
}

// setPlacements applies the placements of a reply. With many placers it sends the pulses that they cause once: with 32
// placements and pulses to the known placers after each, a host sent 336.
func (n *JobService) setPlacements(list []model.Placement, now time.Time) {
	n.pulsesHeld, n.pulsesDue = n.manyHosts() || len(list) > fleet.SmallPlacers, false
	for _, p := range list {
		n.setPlacement(p, now)
	}
	n.pulsesHeld = false
	if n.pulsesDue {
		n.sendPulses(now)
	}
}

// lastPlaced returns the latest epoch of the known placements, 0 if there are few. Each host of the core tells all
// placements up to some commit, in the order of their epochs, so this host knows all earlier ones too.
func (n *JobService) lastPlaced() uint64 {
	latest := uint64(0)
	if len(n.placements) > fleet.SmallPlacers {
		for _, p := range n.placements {
			latest = max(latest, p.Epoch)
		}
	}
	return latest
}

// setPace sets the time between pulses to a placer while this host has no job there. The first of the rare pulses comes
// after a part of it, by the name of this host: after a start of all hosts they would send theirs at the same time.
func (n *JobService) setPace(s *placerState, every time.Duration, now time.Time) {
	every = min(max(every, 0), placer.RarePulse)
	if steps := int(every / pulseInterval); s.every == 0 && steps > 0 {
		s.pulsedAt = now.Add(-time.Duration(model.ShardOf(n.Self, steps)) * pulseInterval)
	}
	s.every = every
}

// deferred reports whether a placer that has no job of this host needs no pulse yet. One that hasn't answered is sent
// pulses at the usual interval, so that a lost message isn't taken for its silence; so is one from which a job was
// withdrawn recently, since pulses list these.
func (n *JobService) deferred(host string, now time.Time) bool {
	s := n.placers[host]
	return !s.unavailable() && s.unansweredSince.IsZero() && now.Sub(s.pulsedAt) < s.every && len(n.withdrawals[host]) == 0
}

// probes reports whether the placer of another data centre gets pulses while jobs may go there. With many hosts each of
// them sends pulses to one placer of each data centre, to those that haven't answered yet, to all once one there is
// silent, and now and then to those that don't place: with pulses to all, each placer got those of all hosts of the
// system after a restart.
func (n *JobService) probes(p model.Placement, now time.Time) bool {
	if !n.manyHosts() {
		return true
	}
	if s := n.stateOf(p); s == nil || s.idle {
		return s != nil && now.Sub(s.pulsedAt) >= probeInterval
	}
	if n.stateOf(p).stamp == 0 {
		return true // it hasn't answered yet: jobs would go to a placer that may not place
	}
	chosen, found := 0, false
	for _, shard := range model.ShardOrder(n.Self, n.shardCount(p.DataCentre)) {
		s := n.stateOf(n.placements[model.ShardKey{DataCentre: p.DataCentre, Shard: shard}])
		if s != nil && s.silent {
			return true
		}
		if !found && !s.unavailable() {
			chosen, found = shard, true
		}
	}
	return found && chosen == p.Shard
}

// awaitPulsed records that a placer that gets pulses rarely has just been handed a job and will ask for a pulse, so that
// its silence is noticed as soon as with regular pulses.
func (n *JobService) awaitPulsed(host string, now time.Time) {
	if s := n.placers[host]; s != nil && s.every > 0 && s.unansweredSince.IsZero() {
		s.unansweredSince = now
	}
}

// lacksRooms reports whether this host gets no reports of room of some shards of its data centre.
func (n *JobService) lacksRooms() bool {
	for _, s := range n.placers {
		if s.every > 0 && s.key.DataCentre == n.DataCentre {
			return true
		}
	}
	return false
}

// shareRooms passes a report of room of another shard to the placer of this host, which chooses for hosts that get none.
func (n *JobService) shareRooms(s *placerState, rooms []msgs.ServiceRoom) {
	if own := n.placers[n.Self]; n.large && own != nil && s != own && s.key.DataCentre == n.DataCentre && len(rooms) > 0 {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.RoomReport{Shard: s.key.Shard, Epoch: s.epoch, Rooms: rooms}) // on this host
	}
}
