package model

import (
	"maps"
	"slices"
	"time"
)

// Placement is the assignment of the placer of a data centre's shard to a host. Epoch increases with
// each placement of any shard, so it serves as the fencing token of all orders.
type Placement struct {
	DataCentre  string
	Host        string
	Incarnation uint64 // of the host's process
	Epoch       uint64
	Former      uint64 // epoch of the previous placement of this shard, 0 for none
	Shard       int
	Shards      int // number of shards of the data centre, 0 for one
}

// Key returns the shard that is placed.
func (p Placement) Key() ShardKey {
	return ShardKey{DataCentre: p.DataCentre, Shard: p.Shard}
}

// Count returns the number of shards of the data centre.
func (p Placement) Count() int {
	return max(p.Shards, 1)
}

// SortPlacements returns the placements of a map by shard, sorted by data centre and shard.
func SortPlacements(all map[ShardKey]Placement) []Placement {
	return slices.SortedFunc(maps.Values(all), func(p, q Placement) int { return p.Key().Compare(q.Key()) })
}

// RoutesText is a version of the routes document as it was uploaded.
type RoutesText struct {
	Version uint64
	Source  []byte
}

// ServerTable holds the backend servers of a shard as known to the placer of an epoch.
type ServerTable struct {
	DataCentre string
	Epoch      uint64
	Version    uint64 // increases with each change within an epoch
	Servers    []Server
	Shard      int
}

// Key returns the shard of the servers.
func (t ServerTable) Key() ShardKey {
	return ShardKey{DataCentre: t.DataCentre, Shard: t.Shard}
}

// Newer reports whether the table is newer than the other one.
func (t ServerTable) Newer(other ServerTable) bool {
	return t.Epoch > other.Epoch || (t.Epoch == other.Epoch && t.Version > other.Version)
}

// JobEnd is the outcome of a job that was handed over to a placer.
type JobEnd int

// The outcomes of a job.
const (
	JobEndComplete  JobEnd = iota + 1
	JobEndFailed           // a task has used up its attempts
	JobEndRefused          // no task was started or will be started
	JobEndUnknown          // tasks may have run
	JobEndCancelled        // cancelled by its caller; its tasks don't start any more
)

// String returns the name used in counters and logs.
func (e JobEnd) String() string {
	switch e {
	case JobEndComplete:
		return "Complete"
	case JobEndFailed:
		return "Failed"
	case JobEndRefused:
		return "Refused"
	case JobEndCancelled:
		return "Cancelled"
	default:
		return "Unknown"
	}
}

// Demand holds the resources that one task needs on a backend server.
type Demand struct {
	CPU          int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Expected     time.Duration // declared run time
	Label        string        // label that the server must have, empty for any server
	PerServer    int           // maximum number of tasks of the job on one server, 0 for no limit
}

// MinRetryAfter is the minimum time after which the caller of a refused job is asked to retry.
const MinRetryAfter = 100 * time.Millisecond
