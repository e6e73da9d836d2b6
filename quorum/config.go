package quorum

import (
	"math/rand/v2"
	"time"
)

// Member is one host of the group. Its index in Config.Members is its slot.
type Member struct {
	Name       string
	DataCentre string // empty if unknown
}

// Config holds the settings that all members of a group share, and the slot of this member.
// Zero durations and limits select defaults.
type Config struct {
	Self            int // slot of this member
	Members         []Member
	Heartbeat       time.Duration // interval between messages of an idle primary
	ElectionTimeout time.Duration // time without a message from the primary before a view change
	Lease           time.Duration // how long an acknowledged heartbeat entitles the primary to decide
	MaxClockDrift   time.Duration // how far two clocks may drift apart during a lease
	SnapshotEvery   uint64        // operations between snapshots
	SnapshotBytes   int           // bytes of commands after which a snapshot is taken earlier, 0 for no limit
	MaxBatch        int           // maximum number of entries in one message
	MaxPending      int           // maximum number of proposed entries that are not committed yet
	Durable         bool          // whether Output.Persist is set
}

// Defaults for settings that are zero.
const (
	defaultHeartbeat       = 50 * time.Millisecond
	defaultElectionTimeout = 500 * time.Millisecond
	defaultLease           = 300 * time.Millisecond
	defaultMaxClockDrift   = 10 * time.Millisecond
	defaultSnapshotEvery   = 10_000
	defaultMaxBatch        = 512
	defaultMaxPending      = 1 << 16
)

// A message must arrive within the time-out of a call, half a second, also on a link of 25 Mbit/s that
// carries other messages.
const (
	chunkBytes   = 256 << 10 // maximum size of the snapshot chunk or of the commands in a reply to GetState
	prepareBytes = 1 << 20   // maximum size of the commands in Prepare; the backups fetch larger ones
)

func (c Config) withDefaults() Config {
	setDefault(&c.Heartbeat, defaultHeartbeat)
	setDefault(&c.ElectionTimeout, defaultElectionTimeout)
	setDefault(&c.Lease, defaultLease)
	setDefault(&c.MaxClockDrift, defaultMaxClockDrift)
	setDefault(&c.SnapshotEvery, defaultSnapshotEvery)
	setDefault(&c.MaxBatch, defaultMaxBatch)
	setDefault(&c.MaxPending, defaultMaxPending)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Option configures a replica in New.
type Option func(*Replica)

// WithRandom sets the source of random numbers for nonces, generations and election jitter.
func WithRandom(random func() uint64) Option {
	return func(r *Replica) { r.random = random }
}

// WithSnapshot sets the function that encodes the caller's state, to which all entries returned by
// Drain so far have been applied. Without WithSnapshot or WithAsyncSnapshot the log is never
// compacted.
func WithSnapshot(encode func() []byte) Option {
	return func(r *Replica) {
		r.startSnapshot = func(op uint64) { r.FinishSnapshot(op, encode()) }
	}
}

// WithAsyncSnapshot sets a function that starts to encode the caller's state, to which all entries
// up to op, those returned by Drain so far, have been applied. The caller passes the result to
// FinishSnapshot when the encoding is complete.
func WithAsyncSnapshot(start func(op uint64)) Option {
	return func(r *Replica) { r.startSnapshot = start }
}

// WithState restarts a replica from its persisted state.
func WithState(s Saved) Option {
	return func(r *Replica) { r.restore(s) }
}

// WithRecovering marks a member that is known to have lost its state. Such a member doesn't take
// part in forming a new generation; without this option a member that has no state may.
func WithRecovering() Option {
	return func(r *Replica) { r.stateLost = true }
}

// WithFormAfter lets a majority of members without state form a new generation once they have been
// recovering for d, even if the other members don't respond or still have an older generation in a
// minority. State that only those other members hold is lost.
func WithFormAfter(d time.Duration) Option {
	return func(r *Replica) { r.formAfter = d }
}

// WithFirstStart marks a member with a disk that has never held an entry, until it holds one. A majority
// of such members forms the first generation once they have been recovering for d. Such a member counts
// itself among the majority that answers when it recovers: otherwise a generation that half of an even
// number of members has joined could neither be joined by the others nor abandoned. An empty disk doesn't
// suffice for this option: the member may have voted and acknowledged entries on the disk before. The caller
// has to know that the member has had no other disk.
func WithFirstStart(d time.Duration) Option {
	return func(r *Replica) { r.firstStart, r.formAfter = true, d }
}

// WithLearner marks a host that is to replace the member in its slot. It follows the primary as a
// non-voting learner until the replacement is committed.
func WithLearner() Option {
	return func(r *Replica) { r.learner = true }
}

func defaultRandom() uint64 {
	return rand.Uint64()
}
