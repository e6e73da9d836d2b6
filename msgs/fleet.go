package msgs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// HostRenew is the heartbeat of an entry host to the core.
type HostRenew struct {
	Host        string
	Incarnation uint64
	DataCentre  string
	Capacity    int64          // processor time in thousandths of a core
	Routes      uint64         // version of the routes applied on the host
	Epoch       uint64         // epoch of the server table that the host has for its data centre, 0 for none
	Leaving     bool           // a planned stop has begun
	Suspect     string         // placer that the host can't reach, empty for none
	Servers     uint64         // version of the server table
	Tables      []TableVersion // tables of the shards from 1 on; Epoch and Servers are those of shard 0
	Suspects    []string       // further placers that the host can't reach
	Balance     bool           // requests the rooms of other data centres
	Room        *RoomReport    // of the shard that the host places, nil for none
	Number      uint64         // with Balance, number of this renewal, increases with each one of a process
	Stamp       uint64         // with Balance, latest Stamp received from StampOf
	StampOf     string
	StampAge    time.Duration // since the host read Stamp, when the renewal was sent
	Placed      uint64        // latest epoch of a placement that the host knows, if it knows more than fleet.SmallPlacers

	MessageBytes int64 // size of the largest message that the host receives
}

// RoomReport is how many tasks a shard could start.
type RoomReport struct {
	DataCentre string
	Shard      int
	Epoch      uint64        // of the placer that counted them
	Age        time.Duration // since then at most, when the message that carries the report was sent
	Delay      time.Duration // that the placer's host takes to handle a message
	Rooms      []ServiceRoom
}

// TableVersion is the version of the server table that a host has of a shard.
type TableVersion struct {
	Shard   int
	Epoch   uint64
	Servers uint64
}

// TableOf returns the epoch and version of the server table that the host has of a shard.
func (m HostRenew) TableOf(shard int) TableVersion {
	if shard == 0 {
		return TableVersion{Epoch: m.Epoch, Servers: m.Servers}
	}
	for _, t := range m.Tables {
		if t.Shard == shard {
			return t
		}
	}
	return TableVersion{Shard: shard}
}

// SetTable sets the epoch and version of the server table of a shard.
func (m *HostRenew) SetTable(t TableVersion) {
	if t.Shard == 0 {
		m.Epoch, m.Servers = t.Epoch, t.Servers
		return
	}
	m.Tables = append(m.Tables, t)
}

// AddSuspect adds a placer that the host can't reach.
func (m *HostRenew) AddSuspect(host string) {
	if m.Suspect == "" {
		m.Suspect = host
		return
	}
	m.Suspects = append(m.Suspects, host)
}

// HostRenewed answers a HostRenew. Its contents are committed, but may be older than what the host
// already knows.
type HostRenewed struct {
	Host       string // the host that answers
	Leader     string // empty if unknown
	Members    []string
	Placements []model.Placement  // none if the host has these by its Placed
	Routes     *model.RoutesText  // nil if the host has this version or a newer one
	Table      *model.ServerTable // of the shard that the host places, if the host lacks the table
	Keep       bool               // requests the table of the placer on the host

	Evacuated         []string // evacuated data centres, sorted
	EvacuationVersion uint64   // of Evacuated, increases with each change
	MemberEpoch       uint64   // of Members: a higher epoch supersedes them

	Rooms   []RoomReport // of other data centres, if the host requests them
	Answers uint64       // number of the latest renewal that the leader received, if that requests rooms
	Stamp   uint64       // time of the leader, which the next renewal returns, if the host requests rooms
	Large   bool         // the host's data centre has more than fleet.SmallDataCentre entry hosts; only the leader knows
}

// JobHand hands a job over to the placer of a shard.
type JobHand struct {
	Job          string
	Host         string // entry host that waits for the outcome
	Incarnation  uint64 // of the entry host
	Epoch        uint64 // epoch of the placer that it is sent to
	Again        bool   // an earlier placer may have started tasks of the job
	Route        string
	Service      string
	Spec         string
	Tasks        int
	CPU          int64 // per task, in thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Expected     time.Duration // declared run time of each task
	Priority     int
	Attempts     int           // maximum number of failed runs of a task
	Age          time.Duration // since the job arrived
	Objective    time.Duration // since the job arrived, target time for its completion
	Expires      time.Duration // since the job arrived, time after which no caller waits for it
	Label        string
	PerServer    int
	Strict       bool          // refuse the job unless it can meet its objective
	Hand         uint64        // number of this handover, increases on the entry host
	Former       uint64        // epoch of the previous placer of the job, 0 for none
	Held         time.Duration // since the previous placer received the job that another placer had before it, 0 if it was the first
	Shard        int           // that the placer it is sent to places, under Epoch
	RoomIn       int           // 1 + the shard that can start the job now, if this one can't; 0 for none

	RoomDataCentre string        // of the shard RoomIn, empty for that of the placer
	RoomDelay      time.Duration // that a move to RoomDataCentre takes
	ChooseRoom     bool          // the placer may set RoomIn, as the entry host gets no reports of room
}

// JobWithdraw withdraws the handovers of a job with numbers up to Hand: no caller waits for their
// outcome any longer.
type JobWithdraw struct {
	Job         string
	Host        string
	Incarnation uint64 // of the host's process
	Hand        uint64
}

// JobCancel cancels a job in the shard of a placer, whichever entry hosts wait for it.
type JobCancel struct {
	Job     string
	Host    string // entry host that the caller asked
	Request uint64 // number of the cancel on the entry host, 0 if the placer that had the job has cancelled it; it needs no answer
	Shard   int    // that the placer it is sent to is known to place
}

// JobCancelled answers a JobCancel: the job's tasks don't start any more in the shard.
type JobCancelled struct {
	Request    uint64
	DataCentre string
	Shard      int
	Known      bool // a placer had the job open when it was cancelled
	Ended      bool // the job had ended there
}

// JobBar tells other placers that a start of a job that its placer gave up may still be carried out.
type JobBar struct {
	Job        string
	Remaining  time.Duration // for which copies of the job must not start, 0 if the start can't be carried out any more
	DataCentre string        // of the placer that ordered the start
	Shard      int           // of that placer
	To         int           // shard that the placer it is sent to is known to place
}

// JobEnded reports the outcome of a job to the entry host that handed it over.
type JobEnded struct {
	Job         string
	Host        string // placer
	Epoch       uint64
	State       model.JobEnd
	Reason      string
	RetryAfter  time.Duration // for a refused job
	Incarnation uint64        // of the entry host's process that handed the job over
	Hand        uint64        // number of the handover
	Evacuated   bool          // refused because the placer's data centre is evacuated
	RoomIn      int           // 1 + the shard that a refused job goes to because that one has room, 0 for none
	Rooms       []ServiceRoom // of the shard; none if the data centre has one shard
	Unplaceable bool          // refused because no server that the placer of a shard knows could ever run it

	RoomDataCentre string // of the shard RoomIn, empty for that of the placer
}

// ServiceRoom is how many tasks of usual size of a service a shard could start now, when the message
// that carries it was sent.
type ServiceRoom struct {
	Service string
	Tasks   int
}

// Pulse is the heartbeat of an entry host to a placer. It confirms that the host still waits for the
// jobs that it has not withdrawn, and requests a Pulsed.
type Pulse struct {
	Host        string
	DataCentre  string // of the host
	Incarnation uint64
	Epoch       uint64
	Servers     uint64        // version of the server table that the host has
	Placing     uint64        // epoch of the placer that sent Stamp, 0 for none
	Stamp       time.Duration // latest Stamp received from the placer
	Withdrawn   []JobWithdraw // jobs recently withdrawn from this placer
	Number      uint64        // number of this pulse, increases with each pulse of a process
	Oldest      uint64        // number of the earliest handover to this placer that the host waits for; all earlier ones are withdrawn
	Shard       int           // that the placer it is sent to is known to place; Epoch and Servers are of its table
}

// Pulsed answers a Pulse.
type Pulsed struct {
	Host        string
	Incarnation uint64         // of the placer's process
	Epoch       uint64         // 0 if the host is not a placer
	Idle        uint64         // epoch up to which this host is not a placer, if Epoch is 0
	Servers     uint64         // version of the server table, 0 if the host has none
	Since       uint64         // version that Table is relative to, 0 for a complete table
	Table       []model.Server // servers that changed after Since
	Stamp       time.Duration  // since the start of the placer's process, by its monotonic clock
	Ask         bool           // the placer needs a pulse now
	Answers     uint64         // number of the last pulse that the placer received, 0 for none
	Rooms       []ServiceRoom  // of the shard; none if the data centre has one shard

	Every time.Duration // between the pulses of a host that keeps no table of the shard and has no job here, 0 for the usual interval
}

// ServerSeen forwards a backend server's report to its placer.
type ServerSeen struct {
	Server  model.Server
	From    string
	Request uint64
}

// ServerNoted answers a ServerSeen.
type ServerNoted struct {
	Request uint64
	Taken   bool // false if the host is not the placer of the server's shard
}

// CoreJoin requests the members of the core, and to replace a member if one is lost.
type CoreJoin struct {
	Host       string // a host without core state, or one that knows no living member
	Founding   bool   // the system starts for the first time
	DataCentre string // of the host, empty if unknown
	Entry      bool   // the host is an entry host
	Disk       uint64 // identifies the host's disk during the first start
}

// CoreVote is a request of a seed that proposes the first members of the core, or the reply to it.
type CoreVote struct {
	Host     string
	Ballot   uint64
	Reply    bool
	Accepted uint64   // in a reply, the ballot of Members, 0 for none
	Members  []string // proposed ones; in a reply, those accepted last. A request without them asks for a promise.
	Disks    []uint64 // of the members, 0 for one that wasn't seen
}

// CoreFound carries the members of a new core.
type CoreFound struct {
	Members     []string
	DataCentres []string // of the members; empty ones are unknown
	Disks       []uint64 // of the members; 0 for one that wasn't seen when they were chosen
}

// CoreJoined answers a CoreJoin.
type CoreJoined struct {
	Host       string // the host that answers
	Leader     string // empty if unknown
	Members    []string
	Slot       int // index of the member that the host is to replace, -1 for none
	Placements []model.Placement

	Evacuated         []string // evacuated data centres, sorted
	EvacuationVersion uint64

	Generation uint64 // of the replicated state that Members belong to, 0 if unknown
	Epoch      uint64 // of Members: a higher epoch supersedes them

	DataCentres []string // of Members; empty ones are unknown
}
