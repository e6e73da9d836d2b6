package core

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

const (
	bootstrapDelay = 1500 * time.Millisecond // in which all hosts of the core start and send join requests

	// foundingTimeout is how long the founders wait for all seeds before a majority of them suffices.
	foundingTimeout = 2 * bootstrapDelay

	// formDelay is how long the first members wait for the others before a majority of them begins. All
	// have chosen the same members, so no other group can begin.
	formDelay = time.Second

	founderTimeout = 4 * joinInterval // without a join request, after which a founder counts as absent
	ballotInterval = 500 * time.Millisecond

	// nextProposer is the time after which the next seed proposes, too. The disk of the one before may be
	// full, so that it can't store its votes and sends none.
	nextProposer = 2 * ballotInterval
)

// founding is the state of a host while the system starts for the first time. The seeds choose the first
// members by single-decree Paxos: every list that a majority of the seeds has accepted is the same, even
// if several seeds propose, restart or are partitioned, so two cores never form. The seeds must be the
// same on all hosts until then.
type founding struct {
	vote     Vote               // of this host, as stored
	seen     map[string]founder // by host
	startAt  time.Time          // when the hosts have had the time to start
	ballot   uint64             // that this host proposes, 0 for none
	proposed []string           // members, nil before a majority has promised
	disks    []uint64           // of the proposed members
	replies  map[string]msgs.CoreVote
	retryAt  time.Time
}

// founder is a host that has sent a founding join request.
type founder struct {
	at   time.Time // latest request
	disk uint64
}

// Vote is what a host stores during the first start.
type Vote struct {
	Promised uint64 // no lower ballot is accepted
	Accepted uint64 // ballot of Members, 0 for none
	Members  []string
	Disks    []uint64 `json:",omitempty"` // of the members, 0 for one that wasn't seen

	// Disk identifies the disk of this host. A host that has lost its disk draws another number, so that the
	// chosen list, which names the disks, shows that it may have held state.
	Disk uint64 `json:",omitempty"`

	// Founder is set once the chosen list names this disk, before the replica starts.
	Founder bool `json:",omitempty"`

	// Chosen is the chosen list, as soon as this host knows it.
	Chosen Founders `json:",omitzero"`
}

// Founders are the chosen first members.
type Founders struct {
	Members []string
	Disks   []uint64 // 0 for one that wasn't seen when they were chosen
}

// neverHeldState reports whether this host has never held an entry of the log. Another host may not take
// part in the first start again, even if its replica has given up its state: it may have acknowledged
// entries.
func (n *Core) neverHeldState() bool {
	return n.Disk.Empty || n.Disk.Saved == nil || n.Disk.Saved.Vote.FirstStart
}

func (n *Core) startFounding() {
	now := n.Now()
	n.founding = &founding{vote: n.Disk.Vote, seen: map[string]founder{}, startAt: now.Add(bootstrapDelay)}
	n.nameDisk()
}

// nameDisk stores a number for the disk of a founder that has none yet, and reports whether it has one.
func (n *Core) nameDisk() bool {
	next := n.founding.vote
	if next.Disk != 0 {
		return true
	}
	next.Disk = n.Random() | 1
	return n.storeVote(next)
}

// storeVote stores the vote of this host and reports whether it did. It is tried again with the next join
// request or ballot.
func (n *Core) storeVote(next Vote) bool {
	if err := n.Disk.StoreVote(next); err != nil {
		if !n.Disk.Full(err) {
			n.fail(err)
		}
		return false
	}
	n.founding.vote = next
	return true
}

// present returns the founders, including this host, that have sent a join request recently.
func (f *founding) present(self string, now time.Time) []string {
	hosts := []string{self}
	for host, last := range f.seen {
		if now.Sub(last.at) < founderTimeout {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// proposeMembers begins a ballot for the first members: all seeds, and the hosts that are present. The
// present seed with the lowest name proposes, once all seeds or, after a while, a majority are present; if
// nothing is chosen, the next ones do, too.
func (n *Core) proposeMembers(now time.Time) {
	f := n.founding
	if f == nil || n.replica != nil || !slices.Contains(n.Seeds, n.Self) || now.Before(f.startAt) || now.Before(f.retryAt) {
		return
	}
	seeds := slices.DeleteFunc(f.present(n.Self, now), func(host string) bool { return !slices.Contains(n.Seeds, host) })
	enough := len(seeds) == len(n.seedList()) || (len(seeds) > len(n.seedList())/2 && !now.Before(f.startAt.Add(foundingTimeout-bootstrapDelay)))
	rank := time.Duration(slices.Index(seeds, n.Self))
	if !enough || now.Before(f.startAt.Add(rank*nextProposer)) {
		return
	}
	f.retryAt = now.Add((rank + 1) * ballotInterval) // rarer than those before, so that their ballots aren't always overtaken
	f.ballot = n.nextBallot(f.vote.Promised)
	f.proposed, f.replies = nil, map[string]msgs.CoreVote{}
	n.sendVote(msgs.CoreVote{Host: n.Self, Ballot: f.ballot}, now)
}

// seedList returns the seeds in the order of their names.
func (n *Core) seedList() []string {
	seeds := slices.Sorted(slices.Values(n.Seeds))
	return slices.Compact(seeds)
}

// nextBallot returns a ballot of this host that is higher than another one. No two seeds share a ballot.
func (n *Core) nextBallot(after uint64) uint64 {
	seeds := n.seedList()
	count := uint64(len(seeds))
	return (after/count+1)*count + uint64(slices.Index(seeds, n.Self))
}

// sendVote sends a request to all seeds, including this host, which stores its own vote first: otherwise it
// could send another request under the same ballot after a restart.
func (n *Core) sendVote(m msgs.CoreVote, now time.Time) {
	reply, ok := n.acceptVote(m)
	if !ok {
		return // proposed again after ballotInterval
	}
	for _, host := range n.seedList() {
		if host != n.Self {
			_ = n.Send(host, msgs.ServiceCore, m) // proposed again after ballotInterval
		}
	}
	n.countVote(reply, now)
}

// handleVote handles a request of a proposing seed, or the reply to a request of this host.
func (n *Core) handleVote(m msgs.CoreVote, now time.Time) {
	f := n.founding
	if f == nil || n.replica != nil || !slices.Contains(n.Seeds, m.Host) || !slices.Contains(n.Seeds, n.Self) {
		return
	}
	if m.Reply {
		n.countVote(m, now)
		return
	}
	if reply, ok := n.acceptVote(m); ok {
		_ = n.Send(m.Host, msgs.ServiceCore, reply) // the host proposes again
	}
}

// acceptVote stores what a request asks for and returns the reply, unless this host has promised otherwise or
// can't store it.
func (n *Core) acceptVote(m msgs.CoreVote) (msgs.CoreVote, bool) {
	next := n.founding.vote
	switch {
	case next.Disk == 0:
		return msgs.CoreVote{}, false
	case len(m.Members) > 0 && m.Ballot >= next.Promised:
		next.Accepted, next.Members, next.Disks = m.Ballot, m.Members, m.Disks
	case len(m.Members) > 0 || m.Ballot <= next.Promised:
		return msgs.CoreVote{}, false
	}
	next.Promised = m.Ballot
	if !n.storeVote(next) {
		return msgs.CoreVote{}, false
	}
	reply := msgs.CoreVote{Host: n.Self, Ballot: m.Ballot, Reply: true, Accepted: next.Accepted, Members: next.Members, Disks: next.Disks}
	return reply, true
}

// countVote counts a reply to the ballot of this host. Once a majority has promised, it proposes members:
// those accepted under the highest ballot, or its own. Once a majority has accepted them, they are chosen.
func (n *Core) countVote(m msgs.CoreVote, now time.Time) {
	f := n.founding
	if f.ballot == 0 || m.Ballot != f.ballot || (f.proposed != nil) != (m.Accepted == f.ballot) {
		return
	}
	f.replies[m.Host] = m
	if len(f.replies) <= len(n.seedList())/2 {
		return
	}
	if f.proposed != nil {
		n.found(Founders{Members: f.proposed, Disks: f.disks})
		return
	}
	f.proposed = slices.Compact(slices.Sorted(slices.Values(slices.Concat(n.seedList(), f.present(n.Self, now)))))
	f.disks = n.disksOf(f.proposed)
	highest := uint64(0)
	for _, reply := range f.replies {
		if reply.Accepted > highest {
			highest, f.proposed, f.disks = reply.Accepted, reply.Members, reply.Disks
		}
	}
	f.replies = map[string]msgs.CoreVote{}
	n.sendVote(msgs.CoreVote{Host: n.Self, Ballot: f.ballot, Members: f.proposed, Disks: f.disks}, now)
}

// disksOf returns the disks of the hosts that have asked this one, 0 for others.
func (n *Core) disksOf(hosts []string) []uint64 {
	list := make([]uint64, len(hosts))
	for i, host := range hosts {
		list[i] = n.founding.seen[host].disk
		if host == n.Self {
			list[i] = n.founding.vote.Disk
		}
	}
	return list
}

// found tells the chosen members to all founders and starts the replica of this host.
func (n *Core) found(chosen Founders) {
	for _, host := range slices.Sorted(maps.Keys(n.founding.seen)) {
		if host != n.Self {
			_ = n.Send(host, msgs.ServiceCore, n.foundMessage(chosen)) // the host asks again
		}
	}
	n.bootstrap(chosen)
}

// foundMessage returns the message that names the chosen members of a new core.
func (n *Core) foundMessage(chosen Founders) msgs.CoreFound {
	return msgs.CoreFound{Members: chosen.Members, DataCentres: n.dataCentresOf(chosen.Members), Disks: chosen.Disks}
}

// tellChosen tells a founder that asks the chosen members, and reports whether it did. Hosts that have a replica
// tell it too, whatever its state: the founder may be one of those whose state is needed to begin or to go on,
// and learns only from the list that it has lost none. After a replacement of a member the list is outdated.
func (n *Core) tellChosen(m msgs.CoreJoin) bool {
	if !m.Founding || n.memberEpoch != 0 || !slices.Contains(n.chosen.Members, m.Host) {
		return false
	}
	_ = n.Send(m.Host, msgs.ServiceCore, n.foundMessage(n.chosen)) // the host retries
	return true
}

// bootstrap starts the replica of a founding member. It counts as a host that has never held state only if
// the chosen list names its disk: another disk has replaced one that may have held entries, and a host that
// wasn't present when the list was chosen can't be told from such a host.
func (n *Core) bootstrap(chosen Founders) {
	f, slot := n.founding, slices.Index(chosen.Members, n.Self)
	if n.replica != nil || f == nil || slot < 0 {
		return
	}
	next := f.vote
	next.Chosen = chosen
	next.Founder = next.Founder || next.Disk != 0 && slot < len(chosen.Disks) && chosen.Disks[slot] == next.Disk
	if !n.storeVote(next) {
		return // the host asks again
	}
	n.chosen = chosen
	n.startMember(chosen.Members)
}

// startMember starts the replica of a member without state. Its disk tells whether it has ever had any.
func (n *Core) startMember(members []string) {
	if n.founding != nil && n.founding.vote.Founder {
		n.startReplica(members, quorum.WithFirstStart(formDelay))
		return
	}
	n.startReplica(members, quorum.WithRecovering())
}
