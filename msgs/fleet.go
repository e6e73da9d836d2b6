package msgs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// HostRenew tells the core that an entry host lives.
type HostRenew struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	Capacity    int64  // processor time, thousandths of a core
	Routes      uint64 // version of the routes in force on the host
	Epoch       uint64 // of the placer of its data centre whose table of backend servers it has, 0 for none
	Leaving     bool   // a planned stop has begun
	Suspect     string // placer that the host can't reach, empty for none
	Servers     uint64 // version of that table
}

// HostRenewed answers a HostRenew. What it tells is committed, though it may be
// older than what the host knows.
type HostRenewed struct {
	Host       string // that answers
	Leader     string // empty when unknown
	Members    []string
	Placements []model.Placement
	Routes     *model.RoutesText  // nil when the host has this version or a newer one
	Table      *model.ServerTable // of the backend servers of the host's data centre, when it places and lacks it
	Keep       bool               // asks the placer on the host for its table
}

// JobHand hands a job to the placer of a data centre.
type JobHand struct {
	Job          string
	Host         string // entry host that waits for the end
	Incarnation  uint64 // of the entry host
	Epoch        uint64 // of the placer that it is meant for
	Again        bool   // an earlier placer may have started tasks of it
	Route        string
	Service      string
	Spec         string
	Tasks        int
	CPU          int64 // of each task, thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Expected     time.Duration // declared run time of each task
	Priority     int
	Attempts     int           // runs of a task that may fail
	Age          time.Duration // since the job came
	Objective    time.Duration // since the job came, in which its end is worth most
	Expires      time.Duration // since the job came, after which nobody waits for it
	Label        string
	PerServer    int
	Strict       bool          // to be refused unless it can meet its objective
	Hand         uint64        // number of this hand-over, rises on the entry host
	Former       uint64        // epoch of the placer that had it before, 0 for none
	Held         time.Duration // since that one got it from another one, 0 if it had it first
}

// JobWithdraw tells the placer that nobody waits for the job any more, as far as
// it was handed over up to Hand.
type JobWithdraw struct {
	Job         string
	Host        string
	Incarnation uint64 // of the host's process
	Hand        uint64
}

// JobEnded tells the entry host how a job ended that it has handed over.
type JobEnded struct {
	Job         string
	Host        string // placer
	Epoch       uint64
	State       model.JobEnd
	Reason      string
	RetryAfter  time.Duration // for a refused job
	Incarnation uint64        // of the entry host's process that handed it over
	Hand        uint64        // number of the hand-over
}

// Pulse tells a placer that an entry host lives and waits for the jobs that it
// hasn't withdrawn, and asks whether the placer lives.
type Pulse struct {
	Host        string
	DataCentre  string // of the host
	Incarnation uint64
	Epoch       uint64
	Servers     uint64        // version of the table of backend servers that the host has
	Placing     uint64        // epoch of the placer that told Stamp, 0 for none
	Stamp       time.Duration // latest that it told
	Withdrawn   []JobWithdraw // jobs withdrawn from this placer lately
	Number      uint64        // of this pulse, rises with each one of a process
	Oldest      uint64        // number of the earliest hand-over to this placer that the host waits for; all before are withdrawn
}

// Pulsed answers a Pulse.
type Pulsed struct {
	Host        string
	Incarnation uint64         // of the process
	Epoch       uint64         // 0 when the host places for no data centre
	Idle        uint64         // placement up to which this host doesn't place, when Epoch is 0
	Servers     uint64         // version of the table of backend servers, 0 for a host that keeps none
	Since       uint64         // version that Table begins from, 0 for a whole table
	Table       []model.Server // that changed after Since
	Stamp       time.Duration  // of the placer's steady clock, since its process began
	Ask         bool           // the placer needs a pulse now
	Answers     uint64         // number of the last pulse that the placer had, 0 for none
}

// ServerSeen passes a backend server's report on to its placer.
type ServerSeen struct {
	Server  model.Server
	From    string
	Request uint64
}

// ServerNoted answers a ServerSeen.
type ServerNoted struct {
	Request uint64
	Taken   bool // false when the host doesn't place for the server's data centre
}

// CoreJoin asks the core for its members and to become one, if one is lost.
type CoreJoin struct {
	Host     string // that keeps no state of the core
	Founding bool   // the whole system starts for the first time
}

// CoreFound names the members of a core that begins.
type CoreFound struct {
	Members []string
}

// CoreJoined answers a CoreJoin.
type CoreJoined struct {
	Host       string // that answers
	Leader     string // empty when unknown
	Members    []string
	Slot       int // of the member that the host is to replace, -1 for none
	Placements []model.Placement
}
