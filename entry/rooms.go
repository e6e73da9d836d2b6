package entry

import (
	"cmp"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
)

// MoveReason is why a job goes from one placer to another one before anything of it has started.
type MoveReason string

// The reasons for which jobs move.
const (
	MoveRoom     MoveReason = "Room"     // its shard can't start it at once, another one can
	MoveAway     MoveReason = "Away"     // its data centre can't start it at once, another one can
	MoveReturned MoveReason = "Returned" // the shard or data centre that had room refused it, and it returns to its own
	MoveLoad     MoveReason = "Load"     // the placer that had it refused it because of its load
)

// learnRooms records the room of a shard of the own data centre as its placer reports it.
func (n *JobService) learnRooms(host string, epoch uint64, list []msgs.ServiceRoom, now time.Time) {
	if s := n.placers[host]; s != nil && s.epoch == epoch && s.key.DataCentre == n.DataCentre {
		n.rooms.Learn(s.key.Shard, list, now)
	}
}

// mayMove reports whether a job may go to another shard that has room: it is in its own shard, has not moved, was not
// refused before, and can't have been started.
func (n *JobService) mayMove(j *openJob) bool {
	return !j.moved && len(j.refusedBy) == 0 && !j.handover.Again && j.handover.Strict && j.placement.Key() == n.ownKey(j.handover.Job)
}

// nameRoom names in a handover the shard that can start a job if its own can't, first of the own data centre, then of
// another one. It names none if none can or the job mustn't move.
func (n *JobService) nameRoom(j *openJob, now time.Time) {
	j.handover.RoomIn, j.handover.RoomDataCentre, j.handover.RoomDelay, j.away = 0, "", 0, Away{}
	if !n.mayMove(j) {
		return
	}
	available := func(shard int) bool {
		return n.available(n.placements[model.ShardKey{DataCentre: n.DataCentre, Shard: shard}])
	}
	shard, ok := n.rooms.Choose(j.handover.Job, j.handover.Service, j.handover.Tasks, n.shardCount(n.DataCentre), available, now)
	if !ok {
		n.nameElsewhere(j, now)
		return
	}
	j.handover.RoomIn = 1 + shard
}

// countRoom counts a job against the room of the shard that it is handed to.
func (n *JobService) countRoom(j *openJob, now time.Time) {
	switch {
	case j.placement.DataCentre == n.DataCentre:
		n.rooms.Sent(j.placement.Shard, j.handover.Service, j.handover.Tasks)
	case n.balances():
		n.elsewhere.Sent(j.placement.Key(), j.handover.Service, j.handover.Tasks, now)
	}
}

// handToRoom hands a job that its shard refused because another one has room to that one, once, and back to its
// own if that one refuses it. The time since the job arrived doesn't matter: its shard would have kept it. It
// returns false if the refusal has another reason, or no placer of the two is available. A job that follows an
// earlier copy goes also to a data centre that is evacuated, as its placer may run that copy; it refuses others.
func (n *JobService) handToRoom(j *openJob, m msgs.JobEnded, now time.Time) bool {
	own := n.placements[n.ownKey(j.handover.Job)]
	switch {
	case j.handover.Again || !j.handover.Strict || j.returned:
		return false
	case m.RoomIn > 0 && !j.moved:
		j.moved = true
		p := n.placements[model.ShardKey{DataCentre: cmp.Or(m.RoomDataCentre, n.DataCentre), Shard: m.RoomIn - 1}]
		if p.Key() != own.Key() && n.available(p) {
			n.moveToRoom(j, p, now)
			return true
		}
	case j.moved && j.placement.Key() != own.Key():
		j.refusedBy[n.refuser(j.placement)] = true
	default:
		return false
	}
	j.returned = true
	if !n.available(own) {
		return false
	}
	n.move(j, own, MoveReturned, now)
	return true
}

// moveToRoom hands a job to the placer that has room for it.
func (n *JobService) moveToRoom(j *openJob, p model.Placement, now time.Time) {
	if p.DataCentre == n.DataCentre {
		n.move(j, p, MoveRoom, now)
		return
	}
	away := j.away
	if away.Target.Key != p.Key() {
		away = Away{Job: j.handover.Job, Tasks: j.handover.Tasks, Target: rooms.Target{Key: p.Key()}, Delay: n.moveDelay(p)}
	}
	n.Hooks.JobAway(away)
	n.move(j, p, MoveAway, now)
}

func (n *JobService) move(j *openJob, p model.Placement, reason MoveReason, now time.Time) {
	n.Hooks.JobMoved(reason)
	n.handOver(j, p, false, now)
}
