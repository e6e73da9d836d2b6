package core

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quorum"
)

// Seeds replaces the seeds of a Core after a change of the settings.
type Seeds struct {
	Hosts []string
}

func (n *Core) handleRenew(m msgs.HostRenew, now time.Time) {
	if n.watch != nil {
		n.watch.Renew(m, now)
		n.noteRoom(m, now)
	}
	n.addNeighbour(m.Host)
	n.notify(m.Host, m.Routes, m.Placed, now)
}

// commitTable commits the server table of a placer. After a loss of all entry hosts, the next placer
// starts from it.
func (n *Core) commitTable(t model.ServerTable) {
	if n.watch != nil && t.Newer(n.state.Table(t.Key())) {
		n.log.Enqueue(fleet.Command{Kind: fleet.KindTable, Table: &t}, nil)
	}
}

// exchangeTable adds the committed table of a shard's backend servers to the reply to a placer's host if the
// host's table is older, or requests the host's table, at most once per tableInterval, if it is newer.
func (n *Core) exchangeTable(host string, reply *msgs.HostRenewed, now time.Time) {
	if n.watch == nil {
		return
	}
	m, ok := n.watch.Renewal(host)
	p := n.state.PlacementOf(host, m.Incarnation)
	committed, t := n.state.Table(p.Key()), m.TableOf(p.Shard)
	reported := model.ServerTable{Epoch: t.Epoch, Version: t.Servers}
	switch {
	case !ok || p.Epoch == 0 || p.DataCentre != m.DataCentre:
	case t.Epoch < p.Epoch && committed.Newer(reported):
		reply.Table = &committed
	case t.Epoch == p.Epoch && reported.Newer(committed) && now.Sub(n.tableRequestedAt[p.Key()]) >= tableInterval:
		n.tableRequestedAt[p.Key()] = now
		reply.Keep = true
	}
}

// notifyAll sends the committed state to all entry hosts.
func (n *Core) notifyAll() {
	if n.watch == nil {
		return
	}
	now := n.Now()
	for _, host := range n.watch.Hosts() {
		m, _ := n.watch.Renewal(host)
		n.notify(host, n.sent[host].version, m.Placed, now)
	}
}

// notify sends a host the state that this one knows to be committed. The routes document is omitted
// if the host has it or if it was sent less than resendAfter ago, the placements if the host has the latest one.
func (n *Core) notify(host string, version, placed uint64, now time.Time) {
	reply := msgs.HostRenewed{
		Host:       n.Self,
		Leader:     n.leader,
		Members:    n.members,
		Placements: newerPlacements(n.placements(), placed),

		MemberEpoch: n.memberEpoch,
	}
	evacuated := n.evacuations()
	reply.Evacuated, reply.EvacuationVersion = evacuated.DataCentres, evacuated.Version
	newest := n.state.Routes()
	last := n.sent[host]
	if newest.Version > version && (last.version != newest.Version || now.Sub(last.at) > resendAfter) && n.maySend(len(newest.Source), now) {
		reply.Routes = &newest
		n.sent[host] = sentRoutes{version: newest.Version, at: now}
	}
	n.exchangeTable(host, &reply, now)
	n.addRooms(host, &reply, now)
	reply.Large = n.watch != nil && n.watch.Large(host)
	_ = n.Send(host, msgs.ServiceEntry, reply) // the host renews again
}

// requestJoin sends join requests to the seeds and the known members until this host can start its
// replica.
func (n *Core) requestJoin(now time.Time) {
	if now.Before(n.joinAt) {
		return
	}
	n.joinAt = now.Add(joinInterval)
	m := msgs.CoreJoin{Host: n.Self, DataCentre: n.DataCentre}
	if n.founding != nil && n.nameDisk() {
		m.Founding, m.Disk = true, n.founding.vote.Disk
	}
	n.sendJoin(m, now)
	n.proposeMembers(now)
}

// seekMembers asks all known hosts of the core for the members while this member has heard of no leader
// for memberTimeout. It may have been replaced, and the members that it knows may all be gone.
func (n *Core) seekMembers(now time.Time) {
	if n.replica == nil || n.watch != nil || n.leaderSeen.IsZero() {
		n.leaderSeen = now
	}
	if now.Sub(n.leaderSeen) < memberTimeout || now.Before(n.joinAt) {
		return
	}
	n.joinAt = now.Add(joinInterval)
	n.sendJoin(msgs.CoreJoin{Host: n.Self, DataCentre: n.DataCentre}, now)
}

// dataCentresOf returns the data centres of hosts, empty ones if unknown.
func (n *Core) dataCentresOf(hosts []string) []string {
	list := make([]string, len(hosts))
	for i, host := range hosts {
		list[i] = n.dataCentres[host]
	}
	return list
}

// noteMembers records the data centres of members.
func (n *Core) noteMembers(members []quorum.Member) {
	for _, m := range members {
		n.noteDataCentres([]string{m.Name}, []string{m.DataCentre})
	}
}

// noteDataCentres records the data centres of hosts, as far as they are known.
func (n *Core) noteDataCentres(hosts, dataCentres []string) {
	for i, dataCentre := range dataCentres {
		if dataCentre != "" && i < len(hosts) {
			n.dataCentres[hosts[i]] = dataCentre
		}
	}
}

func (n *Core) handleJoin(m msgs.CoreJoin, now time.Time) {
	reply := msgs.CoreJoined{
		Host: n.Self, Leader: n.leader, Members: n.members, Slot: -1, Placements: n.placements(), Epoch: n.memberEpoch,
	}
	evacuated := n.evacuations()
	reply.Evacuated, reply.EvacuationVersion = evacuated.DataCentres, evacuated.Version
	if slices.Contains(n.members, m.Host) { // a host that waits receives them with the log
		reply.DataCentres = n.dataCentresOf(n.members)
	}
	if m.DataCentre != "" {
		n.dataCentres[m.Host] = m.DataCentre
	}
	if n.replica == nil {
		if m.Founding && n.founding != nil {
			n.founding.seen[m.Host] = founder{at: now, disk: m.Disk}
		}
		if !n.tellChosen(m) && len(n.members) > 0 {
			_ = n.Send(m.Host, msgs.ServiceCore, reply) // the host retries
		}
		return
	}
	status := n.replica.Status(now)
	n.nameGeneration(&reply, status.Generation)
	if n.tellChosen(m) || status.Recovering {
		return
	}
	if n.watch != nil && !n.fullDisk.active && !slices.Contains(n.members, m.Host) {
		n.noteWaiting(m.Host, m.DataCentre, now)
		reply.Slot = n.fillVacancy(status, m.Host, now)
	}
	_ = n.Send(m.Host, msgs.ServiceCore, reply) // the host retries
}

// nameGeneration adds the generation that the members of a reply belong to. A host whose disk is full, or
// has failed, names no members: its replica may have a membership that isn't synced and that n.members lacks.
func (n *Core) nameGeneration(reply *msgs.CoreJoined, generation uint64) {
	if n.fullDisk.active || n.failed {
		reply.Members, reply.Epoch, reply.DataCentres = nil, 0, nil
		return
	}
	reply.Generation = generation
}

// lostPlace reports whether the replica recovers as a member that has meanwhile been replaced. No
// recovery of it can succeed.
func (n *Core) lostPlace(now time.Time) bool {
	return n.replica != nil && !n.learning && !n.fullDisk.active && n.replica.Status(now).Recovering && !slices.Contains(n.members, n.Self)
}

// giveUpReplica ends the replica of a member that was replaced. It has held state, so this host is no founder any
// more.
func (n *Core) giveUpReplica() {
	n.replica, n.log, n.watch, n.lapse, n.founding = nil, nil, nil, lapse{}, nil
}

// handleJoined starts the replica according to the reply: as a member that lost its state, or as the
// replacement of a lost member.
func (n *Core) handleJoined(m msgs.CoreJoined, now time.Time) {
	adopted := n.adoptMembers(m, now)
	n.noteDataCentres(m.Members, m.DataCentres)
	if adopted && n.lostPlace(now) {
		n.giveUpReplica()
	}
	if n.replica != nil {
		n.followLeader(m)
		if adopted && !n.fullDisk.active {
			n.replica.LearnMembers(m.Generation, m.Epoch, n.located(memberList(m.Members)))
		}
		return
	}
	if !adopted {
		return
	}
	n.leader, n.reportedPlacements = m.Leader, m.Placements
	n.reportedEvacuations = model.Evacuations{DataCentres: m.Evacuated, Version: m.EvacuationVersion}
	switch {
	case slices.Contains(m.Members, n.Self):
		n.startMember(m.Members)
	case m.Slot >= 0 && m.Slot < len(m.Members):
		members := slices.Clone(m.Members)
		members[m.Slot] = n.Self
		n.startReplica(members, quorum.WithRecovering(), quorum.WithLearner())
		n.learning = true
	}
}
