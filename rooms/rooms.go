// Package rooms decides to which other shard of its data centre, or to which other data centre, an entry host would
// hand a job that its own shard can't start at once.
//
// It handles the variation of the load between the shards of a data centre: a job waits in its own shard and
// misses its objective while servers of another shard are free. The placers report how many tasks they could
// start, and the decision is made before anything of the job has started.
package rooms

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// MaxAge is the age from which a report isn't used. A placer answers a pulse every 200 ms, so one lost
// answer doesn't make the report of its shard unusable.
const MaxAge = 500 * time.Millisecond

// Reports holds the latest report of each shard of a data centre. The zero value has none.
type Reports struct {
	shards [model.MaxShards]report
}

// report is what a shard could start, less what this host has sent there since.
type report struct {
	at    time.Time
	rooms []msgs.ServiceRoom
}

// Learn replaces the report of a shard. A report without services is none: the sender computes no room.
func (r *Reports) Learn(shard int, rooms []msgs.ServiceRoom, now time.Time) {
	if len(rooms) > 0 && shard >= 0 && shard < len(r.shards) {
		r.shards[shard] = report{at: now, rooms: slices.Clone(rooms)} // other messages may share them
	}
}

// Forget removes the report of a shard whose placer has changed.
func (r *Reports) Forget(shard int) {
	if shard >= 0 && shard < len(r.shards) {
		r.shards[shard] = report{}
	}
}

// Sent counts tasks against the room of the shard that they were handed to. All jobs for which this host has
// the same report would go there otherwise.
func (r *Reports) Sent(shard int, service string, tasks int) {
	for i := range r.shards[shard].rooms {
		if room := &r.shards[shard].rooms[i]; room.Service == service {
			room.Tasks -= tasks
		}
	}
}

// Choose returns the shard other than its own that a job goes to if its own can't start it at once, and false if
// none has room for all of its tasks. The job's id chooses among several, in proportion to their room.
func (r *Reports) Choose(job, service string, tasks, shards int, available func(shard int) bool, now time.Time) (int, bool) {
	if shards <= 1 {
		return 0, false
	}
	own := model.ShardOf(job, shards)
	weights := make([]int, min(shards, len(r.shards)))
	for shard := range weights {
		if room := r.shards[shard].room(service, now); shard != own && room >= tasks && available(shard) {
			weights[shard] = room
		}
	}
	return model.WeightedShard(job, weights)
}

// room returns the room for tasks of a service, 0 if the report is too old.
func (r report) room(service string, now time.Time) int {
	if now.Sub(r.at) > MaxAge {
		return 0
	}
	for _, room := range r.rooms {
		if room.Service == service {
			return room.Tasks
		}
	}
	return 0
}
