package core

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
)

// roomReport is the latest report of a shard's room. The leader keeps reports in memory only: they expire before
// they could be committed and read back after a change of leaders.
type roomReport struct {
	at     time.Time // the room was counted then or later
	report msgs.RoomReport
}

// stamp returns the time of this leader as hosts return it with their renewals.
func (n *Core) stamp(now time.Time) uint64 {
	return uint64(n.ledSince.UnixNano() + int64(now.Sub(n.ledSince)))
}

// maxStampAge is how long a host may have had the stamp that it returns: some renewals. Clocks that differ by 4 % make
// an error of 40 ms in that time.
const maxStampAge = time.Second

// sentAt returns a time after which a renewal was sent, earlier than that by the way of the stamp to the host. A renewal
// may arrive late, or be read late by a host that stood still. It returns false if this host hasn't given the stamp
// since it leads.
func (n *Core) sentAt(m msgs.HostRenew, now time.Time) (time.Time, bool) {
	if m.StampOf != n.Self || m.Stamp < n.stamp(n.ledSince) || m.Stamp > n.stamp(now) || m.StampAge < 0 || m.StampAge > maxStampAge {
		return time.Time{}, false
	}
	at := n.ledSince.Add(time.Duration(m.Stamp-n.stamp(n.ledSince)) + m.StampAge)
	if at.After(now) {
		return now, true
	}
	return at, true
}

// noteRoom keeps the report of a shard's room if it comes from the present process of the shard's placer.
func (n *Core) noteRoom(m msgs.HostRenew, now time.Time) {
	sentAt, ok := n.sentAt(m, now)
	if !ok || m.Room == nil || m.Room.Age < 0 || m.Room.Age > rooms.MaxAgeElsewhere {
		return
	}
	latest, _ := n.watch.Renewal(m.Host)
	p := n.state.PlacementOf(m.Host, m.Incarnation)
	if latest.Incarnation != m.Incarnation || p.Epoch == 0 || p.Epoch != m.Room.Epoch || p.DataCentre != m.DataCentre || p.Shard != m.Room.Shard {
		return
	}
	at := sentAt.Add(-m.Room.Age)
	if known := n.rooms[p.Key()]; known.report.Epoch == p.Epoch && known.at.After(at) {
		return // an earlier renewal that comes late
	}
	if n.rooms == nil {
		n.rooms = map[model.ShardKey]roomReport{}
	}
	n.rooms[p.Key()] = roomReport{
		at: at, report: msgs.RoomReport{DataCentre: p.DataCentre, Shard: p.Shard, Epoch: p.Epoch, Delay: m.Room.Delay, Rooms: m.Room.Rooms},
	}
}

// addRooms adds to the answer to a host that requests them the rooms of other data centres, the renewal by which the
// host can tell how old the answer is at most, and the stamp for the next one.
func (n *Core) addRooms(host string, reply *msgs.HostRenewed, now time.Time) {
	if n.watch == nil {
		return
	}
	if m, ok := n.watch.Renewal(host); ok && m.Balance {
		reply.Rooms, reply.Answers, reply.Stamp = n.roomsFor(m, now), m.Number, n.stamp(now)
	}
}

// roomsFor returns the rooms of the shards of other data centres than that of a host, by data centre and shard. Those
// of evacuated data centres, of replaced placers and expired ones are left out.
func (n *Core) roomsFor(m msgs.HostRenew, now time.Time) []msgs.RoomReport {
	evacuated := n.evacuations().DataCentres
	var list []msgs.RoomReport
	for _, p := range n.state.Placements() {
		r, ok := n.rooms[p.Key()]
		age := now.Sub(r.at)
		if !ok || r.report.Epoch != p.Epoch || age > rooms.MaxAgeElsewhere || p.DataCentre == m.DataCentre || slices.Contains(evacuated, p.DataCentre) {
			continue
		}
		r.report.Age = age
		list = append(list, r.report)
	}
	return list
}
