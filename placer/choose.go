package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
)

// RoomReport is a report of room of another shard, which the entry service of this host received with the answer to a
// pulse.
type RoomReport struct {
	Shard int
	Epoch uint64 // of the placer that sent it
	Rooms []msgs.ServiceRoom
}

// roomChooser chooses shards with room for jobs of entry hosts that get no reports of it. The zero value has no reports.
type roomChooser struct {
	reports rooms.Reports
	chosen  map[string]chosenRoom // by job, for those whose end isn't decided yet
}

type chosenRoom struct {
	shard   int
	service string
	tasks   int
}

// learnRoom records a report of another shard.
func (n *PlacingService) learnRoom(m RoomReport, now time.Time) {
	if m.Shard != n.shard && m.Epoch == n.placementOf(m.Shard).Epoch {
		n.room.reports.Learn(m.Shard, m.Rooms, now)
	}
}

// chooseRoom names in a handover the shard that has room for the job if this one can't start it. For a host that gets no
// reports of room it chooses by those that this host gets, as that host would: a shard of the own data centre goes before
// one of another.
func (n *PlacingService) chooseRoom(m msgs.JobHand, now time.Time) msgs.JobHand {
	count := n.placement.Count()
	if !m.ChooseRoom || m.Again || !m.Strict || model.ShardOf(m.Job, count) != n.shard {
		return m
	}
	reported := func(int) bool { return true } // reports expire before their placers count as silent
	shard, ok := n.room.reports.Choose(m.Job, m.Service, m.Tasks, count, reported, now)
	if !ok {
		return m
	}
	if n.room.chosen == nil {
		n.room.chosen = map[string]chosenRoom{}
	}
	n.room.chosen[m.Job] = chosenRoom{shard: shard, service: m.Service, tasks: m.Tasks}
	m.RoomIn, m.RoomDataCentre, m.RoomDelay = 1+shard, "", 0
	return m
}

// countChosen counts a job that was refused for the room of another shard against the room of that one.
func (n *PlacingService) countChosen(job string, roomIn int) {
	if c, ok := n.room.chosen[job]; ok && roomIn == 1+c.shard {
		n.room.reports.Sent(c.shard, c.service, c.tasks)
	}
}
