package rooms

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	// MaxAgeElsewhere is the age from which a report of another data centre isn't used. It takes one hop more than
	// a report of a shard, by the leader of the core, which passes it on with the next renewal, up to 200 ms later.
	MaxAgeElsewhere = MaxAge + 200*time.Millisecond

	// reserve is how many times the tasks of a job the other data centre must have room. Several entry hosts have
	// the same report, and what they send until the next one must not fill that data centre.
	reserve = 4

	// sentStep is the time within which tasks that were sent to a shard are counted together. It bounds their number.
	sentStep = 50 * time.Millisecond
)

// Elsewhere holds the latest reports of the shards of other data centres. The zero value has none.
//
// It handles load that differs between data centres: a job waits in its own one and misses its objective while
// servers of another one are free. A report is several hundred milliseconds old, so what this host has sent since
// it was made is subtracted, and only a part of the reported room is used.
type Elsewhere struct {
	shards map[model.ShardKey]*remote
}

// remote is what a shard of another data centre could start.
type remote struct {
	epoch      uint64    // of the placer that reported
	measuredAt time.Time // latest possible time, as the report was longer on its way than its age says
	delay      time.Duration
	rooms      []msgs.ServiceRoom
	sent       []sentTasks // recent ones, by time
}

// sentTasks are tasks of a service that this host has sent to a shard.
type sentTasks struct {
	at      time.Time // of the first; the others follow within sentStep
	service string
	tasks   int
}

// Target is a shard of another data centre that a job may go to, with the report that says so.
type Target struct {
	Key   model.ShardKey
	Room  int           // less what was sent since
	Age   time.Duration // of the report
	Delay time.Duration // that the placer's host takes to handle a message
}

// Learn records a report of a shard, unless a later one is known.
func (r *Elsewhere) Learn(m msgs.RoomReport, now time.Time) {
	if m.Age < 0 || m.Age > MaxAgeElsewhere {
		return
	}
	s := r.shard(model.ShardKey{DataCentre: m.DataCentre, Shard: m.Shard})
	measuredAt := now.Add(-m.Age)
	if m.Epoch < s.epoch || m.Epoch == s.epoch && !measuredAt.After(s.measuredAt) {
		return
	}
	s.epoch, s.measuredAt, s.delay, s.rooms = m.Epoch, measuredAt, m.Delay, slices.Clone(m.Rooms)
	s.evictSent(now)
}

func (r *Elsewhere) shard(key model.ShardKey) *remote {
	s, ok := r.shards[key]
	if !ok {
		if r.shards == nil {
			r.shards = map[model.ShardKey]*remote{}
		}
		s = &remote{}
		r.shards[key] = s
	}
	return s
}

// Sent counts tasks against the room of the shard that they were handed to, until a report includes them.
func (r *Elsewhere) Sent(key model.ShardKey, service string, tasks int, now time.Time) {
	s := r.shard(key)
	s.evictSent(now)
	for i := range s.sent {
		if sent := &s.sent[i]; sent.service == service && now.Sub(sent.at) < sentStep {
			sent.tasks += tasks
			return
		}
	}
	s.sent = append(s.sent, sentTasks{at: now, service: service, tasks: tasks})
}

// evictSent removes the tasks that each usable report includes.
func (s *remote) evictSent(now time.Time) {
	s.sent = slices.DeleteFunc(s.sent, func(t sentTasks) bool { return now.Sub(t.at) > MaxAgeElsewhere+sentStep })
}

// Choose returns the shard of another data centre that a job goes to if its own data centre can't start it at
// once, and false if none has room for all of its tasks with the reserve. The job's id chooses among several, in
// proportion to their room. Usable tells whether a shard may get jobs under the epoch of the report.
func (r *Elsewhere) Choose(job, service string, tasks int, usable func(key model.ShardKey, epoch uint64) bool, now time.Time) (Target, bool) {
	keys := slices.SortedFunc(maps.Keys(r.shards), func(a, b model.ShardKey) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Shard, b.Shard))
	})
	weights := make([]int, len(keys))
	for i, key := range keys {
		s := r.shards[key]
		if room := s.room(service, now); room >= reserve*tasks && usable(key, s.epoch) {
			weights[i] = room
		}
	}
	i, ok := model.WeightedShard(job, weights)
	if !ok {
		return Target{}, false
	}
	s := r.shards[keys[i]]
	return Target{Key: keys[i], Room: weights[i], Age: now.Sub(s.measuredAt), Delay: s.delay}, true
}

// room returns the room for tasks of a service, 0 if the report is too old.
func (s *remote) room(service string, now time.Time) int {
	if now.Sub(s.measuredAt) > MaxAgeElsewhere {
		return 0
	}
	n := 0
	for _, room := range s.rooms {
		if room.Service == service {
			n = room.Tasks
		}
	}
	for _, t := range s.sent {
		if t.service == service && t.at.Add(sentStep).After(s.measuredAt) {
			n -= t.tasks
		}
	}
	return max(n, 0)
}
