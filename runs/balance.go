package runs

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// reasonNoServer is why a shard refuses a job for whose service it has no backend server.
	reasonNoServer = "no backend server of this shard can get its tasks now"

	reasonUnplaceable = "no backend server is large enough or has the label"

	// reasonRoomElsewhere is why a shard refuses a job that another one can start now.
	reasonRoomElsewhere = "another shard can start all of its tasks now"

	// reasonRoomAway is why a shard refuses a job that another data centre can start now.
	reasonRoomAway = "another data centre can start all of its tasks now"

	reasonMayBeElsewhere = "another entry host may have handed it to another data centre"

	typicalGain = 0.1 // weight of a job in the usual size of a service's tasks: about the last ten jobs count

	// waitShare is the part of the time that a job may wait, and still meet its objective, for which it waits in
	// its shard rather than go to another one. A move costs two messages, and a server is free soon: in the
	// simulation of a peak an eighth loses no more than 0, with a third of the moves; a half loses twice as much.
	waitShare = 0.125

	// maxRooms bounds the services in a report of room; jobs of the others wait in their shard.
	maxRooms = 16
)

// typicalTask is the running mean of the tasks of a service, of which room is counted.
type typicalTask struct {
	cpu, memory, accelerators float64
	slack                     float64 // objective as a multiple of the declared run time
}

// roomRef refers to the shard to which a job is sent because that one has room. The zero value refers to none.
type roomRef struct {
	dataCentre string // empty for the placer's own
	shard      int    // 1 + its number
}

// SetBalanced states that jobs may go to other data centres that have room.
func (p *Placer) SetBalanced() {
	p.balanced = true
}

// Room is how many usual tasks of a service could start now.
type Room struct {
	Service string
	Tasks   int
}

// noteTypical includes a job in the usual size of its service's tasks.
func (p *Placer) noteTypical(j *job) {
	if !p.partial && !p.balanced || j.Demand.Expected <= 0 {
		return
	}
	t, ok := p.typical[j.Service]
	gain := typicalGain
	if !ok {
		if p.typical == nil {
			p.typical = map[string]*typicalTask{}
		}
		t, gain = &typicalTask{}, 1
		p.typical[j.Service] = t
	}
	t.cpu += gain * (float64(j.Demand.CPU) - t.cpu)
	t.memory += gain * (float64(j.Demand.MemoryMB) - t.memory)
	t.accelerators += gain * (float64(j.Demand.Accelerators) - t.accelerators)
	t.slack += gain * (j.Objective.Seconds()/j.Demand.Expected.Seconds() - t.slack)
}

// Rooms returns how many usual tasks of each service could start now and meet their objective, besides those
// that wait. It is empty for the only shard of a data centre, unless jobs may go to other data centres.
func (p *Placer) Rooms(now time.Time) []Room {
	if len(p.typical) == 0 {
		return nil
	}
	services := slices.Sorted(maps.Keys(p.typical))
	var list []Room
	for _, service := range services[:min(len(services), maxRooms)] {
		t := p.typical[service]
		d := model.Demand{CPU: int64(t.cpu), MemoryMB: int64(t.memory), Accelerators: int64(t.accelerators)}
		room := int64(0)
		for _, s := range p.order {
			if s.Service == service && s.usable(now) && p.speeds.factorOf(s) <= t.slack {
				room += s.free(d)
			}
		}
		for _, other := range p.waiting {
			if other.Service == service {
				room -= int64(other.pending)
			}
		}
		list = append(list, Room{Service: service, Tasks: int(max(room, 0))})
	}
	return list
}

// free returns how many such tasks the server could get now.
func (s *server) free(d model.Demand) int64 {
	n := s.slots(d)
	if d.CPU > 0 {
		n = min(n, (s.CPU-s.used.CPU)/d.CPU)
	}
	if d.MemoryMB > 0 {
		n = min(n, (s.MemoryMB-s.used.MemoryMB)/d.MemoryMB)
	}
	if d.Accelerators > 0 {
		n = min(n, (s.Accelerators-s.used.Accelerators)/d.Accelerators)
	}
	return max(n, 0)
}

// refusedTo returns the shard that a job refused for a reason goes to, none if its entry host chooses. A copy of
// a job follows it to the shard that the job was sent to.
func (p *Placer) refusedTo(j *job, reason string) roomRef {
	switch reason {
	case reasonRoomElsewhere, reasonRoomAway:
		return roomRef{dataCentre: j.RoomDataCentre, shard: j.RoomIn}
	case reasonMayBeElsewhere:
		return p.refused[j.ID].to
	}
	return roomRef{}
}

// roomReason returns why a job goes to the shard that its entry host names, "" if it doesn't.
func (p *Placer) roomReason(j *job, now time.Time) string {
	switch {
	case !p.startsElsewhere(j, now):
		return ""
	case j.RoomDataCentre != "":
		return reasonRoomAway
	}
	return reasonRoomElsewhere
}

// startsElsewhere reports whether a job should go to the shard that has room for it by its entry host's word:
// not all of its tasks can start here now on servers on which it meets its objective, and waiting for the others
// would take more than waitShare of the time that is left to wait. Nothing of the job may have been started
// before. A label or a limit per server isn't part of a report of room.
//
// A job goes to another data centre only if it would wait for longer than the move takes.
//
// It handles a shard or a data centre with more load than the others for a moment: callers would wait for it while
// servers of another one are free.
func (p *Placer) startsElsewhere(j *job, now time.Time) bool {
	away := j.RoomDataCentre != ""
	if !p.mayMove(j, away) {
		return false
	}
	remaining := j.Objective - now.Sub(j.Arrived)
	free, rate := p.onTime(j, remaining, now)
	if away && rate == 0 && !p.settled {
		return false // there is no estimate of a wait yet: this placer learns of its servers soon
	}
	tasks, work, due := int64(0), time.Duration(0), j.latestStart()
	for _, other := range p.waiting {
		if other.Service == j.Service && !other.due.After(due) && !other.late(now) {
			tasks, work = tasks+int64(other.pending), work+other.work()
		}
	}
	if tasks+int64(j.Tasks) <= free {
		return false
	}
	work += time.Duration(max(int64(j.Tasks)-free, 0)) * j.Demand.Expected
	limit := waitShare * float64(remaining-j.Demand.Expected)
	if away {
		limit = max(limit, float64(j.RoomDelay))
	}
	return float64(work) > rate*limit
}

// mayMove reports whether a job may go to another shard or, if away is true, to another data centre that has room.
func (p *Placer) mayMove(j *job, away bool) bool {
	if away && !p.balanced || !away && !p.partial {
		return false
	}
	return j.RoomIn != 0 && j.Strict && j.Demand.Label == "" && j.Demand.PerServer == 0
}

// onTime returns how many tasks of a job could start now on servers on which they take no longer than remaining,
// and how much declared run time these servers complete per unit of time.
func (p *Placer) onTime(j *job, remaining time.Duration, now time.Time) (free int64, rate float64) {
	for _, s := range p.order {
		if s.Service == j.Service && s.usable(now) && fits(j.Demand, s) && p.speeds.expected(j.Demand.Expected, s) <= remaining {
			free += s.free(j.Demand)
			rate += float64(s.slots(j.Demand)) / p.speeds.factorOf(s)
		}
	}
	return free, rate
}

// lacksServers reports whether no server of this shard can get a task of the job, now that the servers are
// known, while the placer of another shard may have one. Without servers there is no estimate of a wait.
func (p *Placer) lacksServers(j *job, now time.Time) bool {
	if !p.partial || !p.settled || !j.Strict {
		return false
	}
	rate, _ := p.rate(j, now)
	return rate == 0
}
