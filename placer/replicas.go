package placer

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// In a large data centre, of more than fleet.SmallDataCentre entry hosts, a bounded number of hosts keeps the table of a
// shard, and the others send pulses to its placer rarely while they have no job there. Each pulse and each answer costs
// both hosts a tenth of a millisecond: with 75 hosts and 5 pulses a second that was two fifths of the processor time of a
// placer. docs/design/scale.md has the reasons.

const (
	// replicaCount is the number of hosts that keep a shard's table beside the placer. One is enough to take over. The
	// core passes over hosts that place another shard or that it hasn't heard of for 0.3 s, and a data centre loses
	// several hosts in a rolling restart or as stalls.
	replicaCount = 8

	// RarePulse is the time between the pulses of a host that keeps no table and has no job at the placer.
	RarePulse = time.Second

	// spreadTime is the time in which a new placer chooses only hosts to keep its table whose names belong to its shard,
	// so that the shards choose different ones. All hosts have sent a pulse by then.
	spreadTime = 500 * time.Millisecond
)

// LargeDataCentre notifies the PlacingService that its data centre is large.
type LargeDataCentre struct{}

// keepsTable reports whether a host of the data centre is sent the table of the shard. The host of another shard's
// placer can't place this one next, but goes on if it has the table.
func (n *PlacingService) keepsTable(name string, now time.Time) bool {
	if !n.large || name == n.Self {
		return true
	}
	if r, ok := n.replicas[name]; ok && !r.sentAt.IsZero() {
		return !r.retired
	}
	suitable := now.Sub(n.beganAt) >= spreadTime || model.ShardOf(name, n.shards) == n.shard
	return suitable && !n.placesOther(name) && len(n.successors()) < replicaCount
}

// successors returns the sorted names of the hosts that keep the table, are heard of and don't place another shard.
func (n *PlacingService) successors() []string {
	var list []string
	for name, r := range n.replicas {
		if _, heard := n.hosts[name]; heard && name != n.Self && !r.retired && !r.sentAt.IsZero() && !n.placesOther(name) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// placesOther reports whether a host places another shard of the data centre.
func (n *PlacingService) placesOther(name string) bool {
	for shard, p := range n.otherPlacements {
		if shard != n.shard && p.Host == name {
			return true
		}
	}
	return false
}

// retireReplicas stops sending the table to hosts above replicaCount: hosts that were silent and came back, and those
// that had it before the data centre was large. Only hosts without a change on its way are retired. New servers wait
// for them until their tables no longer count as complete, as for a silent host.
func (n *PlacingService) retireReplicas() {
	if !n.large {
		return
	}
	list := n.successors()
	for _, name := range list[min(len(list), replicaCount):] {
		if r := n.replicas[name]; r.confirmed == n.tableVersion {
			r.retired = true
		}
	}
}

// isSkipped reports whether a host of a large data centre is sent no changes now: it doesn't keep the table, or changes
// are on their way to it. Those that come meanwhile are sent together when it confirms them: while the servers report
// after a start there are some at each tick.
func (n *PlacingService) isSkipped(name string, now time.Time) bool {
	if !n.large {
		return false
	}
	r, ok := n.replicas[name]
	return !ok || r.retired || (r.sent > r.confirmed && now.Before(r.resendAt))
}

// pulsesRarely reports whether a host is told to send pulses rarely. The hosts of the placers exchange reports of room
// with their pulses. A host of which nothing was heard is asked for a pulse at the usual interval.
func (n *PlacingService) pulsesRarely(name string, h *host, now time.Time) bool {
	if !n.large || h.timeoutFrom.IsZero() {
		return false
	}
	return !h.local || (!n.keepsTable(name, now) && !n.placesOther(name))
}

// timedOut reports whether an entry host counts as lost. One that sends pulses rarely returns the stamp of the answer to
// its pulse before, so what it confirms is up to two of its intervals old when the next pulse comes.
func (n *PlacingService) timedOut(name string, h *host, now time.Time) bool {
	return h.timedOut(hostTimeout, now) && (h.timedOut(hostTimeout+2*h.every, now) || n.placer.HasJobOf(name))
}

// requestsPulse reports whether a pulse of a host is requested now: in a large data centre only if the placer has a job
// of the host, or takes its process for a former one. A regular pulse returns a stamp that is about as old as
// pulseRequestAfter, so that a third more pulses were sent at rest.
func (n *PlacingService) requestsPulse(name string, h *host, now time.Time) bool {
	return h.needsPulse(now) && (!n.large || h.timeoutFrom.IsZero() || n.placer.HasJobOf(name))
}

// requestPulses requests the pulses that are needed for the jobs of this shard.
func (n *PlacingService) requestPulses(now time.Time) {
	if n.placer.Jobs() == 0 {
		return
	}
	names := maps.Keys(n.hosts)
	if n.large {
		names = maps.Keys(n.placer.JobHosts())
	}
	for name := range names {
		if h, ok := n.hosts[name]; ok && h.needsPulse(now) {
			n.sendPulsed(name, h, now)
		}
	}
}
