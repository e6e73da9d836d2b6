package quorum

import "time"

// Output is what the caller has to carry out after a call, in the order of the fields: persist and
// sync, send, reset, install, apply. The caller must complete all of it before its next call.
type Output struct {
	Persist   *Persist // nil if there is nothing to persist
	Messages  []Message
	Reset     bool    // the applied state belongs to an abandoned generation: start from an empty state
	Install   []byte  // snapshot that replaces the applied state, nil if none
	Committed []Entry // in log order, each once in the lifetime of the replica
}

// Persist is what has to be synced to disk before any message of the same output is sent. Entries
// replaces all persisted entries after Keep.
type Persist struct {
	Vote     *Vote     // nil if unchanged
	Snapshot *Snapshot // nil if unchanged; entries up to its Op are no longer needed
	Keep     uint64    // op
	Entries  []Entry
}

// Vote is the protocol state, apart from the log, that a replica must never lose.
type Vote struct {
	Generation   uint64
	View         uint64
	Normal       uint64   // last view in which the replica had normal status
	Commit       uint64   // lower bound of the commit number
	Incarnations []uint64 // by slot, see Replica
	Epoch        uint64   // of the latest membership known to be committed
	Members      []Member // of that epoch
	FirstStart   bool     `json:",omitempty"` // see WithFirstStart
}

// Snapshot is the state after applying the entries up to Op, and the members at that op.
type Snapshot struct {
	Op      uint64
	Epoch   uint64 // op of the latest replacement up to Op
	Members []Member
	Data    []byte
}

// Saved is the persisted state from which a replica restarts.
type Saved struct {
	Vote     Vote
	Snapshot Snapshot
	Entries  []Entry // those after the snapshot
}

// Status is the state of a replica at one time.
type Status struct {
	Generation uint64 // 0 while recovering; a changed value means that the group lost its state
	Epoch      uint64 // op of the latest member replacement
	View       uint64
	Op         uint64 // op of the last entry in the log
	Commit     uint64 // op of the last committed entry
	Primary    int    // slot of the primary of the view
	Leading    bool   // primary that may decide: holds the lease, has committed earlier views
	Lapsed     bool   // primary that has committed earlier views and can commit entries, but holds no lease
	Recovering bool
	Voting     bool // whether the replica is a member that votes
	Current    int  // members that acknowledged within a lease duration, counted by the primary
	LeaseUntil time.Time
	Members    []Member // never modified in place
}
