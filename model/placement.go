package model

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Placement tells which host places the runs of a data centre. Epoch rises with
// each placement of any data centre, so it serves as the fence of all orders.
type Placement struct {
	DataCentre  string
	Host        string
	Incarnation uint64 // of the host's process
	Epoch       uint64
	Former      uint64 // epoch of the placement before in this data centre, 0 for none
}

// SortPlacements returns placements that are kept by data centre, sorted by it.
func SortPlacements(all map[string]Placement) []Placement {
	return slices.SortedFunc(maps.Values(all), func(p, q Placement) int { return cmp.Compare(p.DataCentre, q.DataCentre) })
}

// RoutesText is one version of the routes document as it was put.
type RoutesText struct {
	Version uint64
	Source  []byte
}

// Server is what a backend server that runs tasks under a lease reports of
// itself.
type Server struct {
	Name         string
	Address      string // IP and port on which it takes orders
	DataCentre   string
	Service      string
	Born         int64  // start of its process, Unix milliseconds; 0 when it doesn't say
	Seq          uint64 // rises with each report of one process
	CPU          int64  // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Labels       []string // the first names its kind
	Draining     bool
	Left         bool
}

// ServerTable is what the placer of an epoch knew of the backend servers of its
// data centre.
type ServerTable struct {
	DataCentre string
	Epoch      uint64
	Version    uint64 // rises with each change under one epoch
	Servers    []Server
}

// Newer reports whether the table follows the other one.
func (t ServerTable) Newer(other ServerTable) bool {
	return t.Epoch > other.Epoch || (t.Epoch == other.Epoch && t.Version > other.Version)
}

// Kind returns the label by which servers of the same make are pooled.
func (s Server) Kind() string {
	if len(s.Labels) == 0 {
		return ""
	}
	return s.Labels[0]
}

// Newer reports whether the report follows the other one of the same server.
func (s Server) Newer(other Server) bool {
	if s.Born != other.Born {
		return s.Born > other.Born
	}
	return s.Seq > other.Seq
}

// JobEnd tells how a job that was handed to a placer ended.
type JobEnd int

// The ends of a job.
const (
	JobEndComplete JobEnd = iota + 1
	JobEndFailed          // a task failed as often as it may
	JobEndRefused         // no task of it was started, nor will be
	JobEndUnknown         // tasks of it may have run
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
	default:
		return "Unknown"
	}
}

// Demand is what one task needs of a backend server.
type Demand struct {
	CPU          int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Expected     time.Duration // declared run time
	Label        string        // that the server must have, empty for any
	PerServer    int           // tasks of the job on one server, 0 for any number
}

// LeastRetryAfter is the shortest time after which a refused job is asked to
// come back.
const MinRetryAfter = 100 * time.Millisecond
