package entry

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	// seedsAfter is the silence of the core's members after which the seeds and other hosts are asked,
	// too: coreTimeout passes until the members are asked, and again until they count as silent.
	seedsAfter = 2 * coreTimeout

	// neighboursAfter is the silence of the members after which other entry hosts are asked for them, and
	// the interval between such requests. An election takes less.
	neighboursAfter = 2 * coreTimeout
)

// coreMembers are the hosts of the core, as an entry host knows them.
type coreMembers struct {
	names    []string // members; only a message of a member replaces them
	epoch    uint64   // of names
	contact  time.Time
	hints    []string  // members, as hosts that are no members know them
	askAfter time.Time // next request to other entry hosts
}

// learn takes over the members that a host of the core names.
func (c *coreMembers) learn(host string, members []string, epoch uint64, now time.Time) {
	switch {
	case len(members) == 0:
	case !slices.Contains(members, host):
		c.hints = members
	case epoch >= c.epoch:
		c.names, c.epoch, c.contact, c.hints = members, epoch, now, nil
	}
}

// targets returns the hosts to ask while no leader answers: the members, or all hosts of which this one
// has heard if it knows no member or none of them answers.
func (c *coreMembers) targets(seeds []string, now time.Time) []string {
	hosts := slices.Clone(c.names)
	if len(hosts) == 0 || now.Sub(c.contact) >= seedsAfter {
		hosts = slices.Concat(hosts, c.hints, seeds)
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// askNeighbours asks the placers, which are other entry hosts, for the members of the core while none of
// those that this host knows answers.
func (n *JobService) askNeighbours(now time.Time) {
	if now.Sub(n.core.contact) < neighboursAfter || now.Before(n.core.askAfter) {
		return
	}
	n.core.askAfter = now.Add(neighboursAfter)
	for _, p := range n.placements {
		if p.Host != n.Self {
			_ = n.Send(p.Host, msgs.ServiceEntry, msgs.CoreJoin{Host: n.Self, Entry: true}) // sent again after neighboursAfter
		}
	}
}

// handleMembers handles a request for the members of the core, or the reply of another entry host.
func (n *JobService) handleMembers(msg any, now time.Time) {
	switch m := msg.(type) {
	case msgs.CoreJoin:
		service := msgs.ServiceCore
		if m.Entry {
			service = msgs.ServiceEntry
		}
		reply := msgs.CoreJoined{Host: n.Self, Members: n.core.names, Epoch: n.core.epoch, Slot: -1}
		_ = n.Send(m.Host, service, reply) // the host asks again
	case msgs.CoreJoined:
		n.core.learn(m.Host, m.Members, m.Epoch, now)
	}
}
