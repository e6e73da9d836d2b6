package quorum

import (
	"math/rand/v2"
	"time"
)

// Member is one host of the group. Its position in Config.Members is its slot.
type Member struct {
	Name string
}

// Config holds what all members of a group agree on, and the own slot.
type Config struct {
	Self            int
	Members         []Member
	Heartbeat       time.Duration // interval between messages of an idle primary
	ElectionTimeout time.Duration // silence of the primary before a view change
	Lease           time.Duration // how long an acknowledged heartbeat lets the primary decide
	MaxClockDrift   time.Duration // how far two clocks may drift apart during a lease
	SnapshotEvery   uint64        // operations between snapshots
	MaxBatch        int           // entries in one message
	MaxPending      int           // proposed entries that are not committed yet
	Durable         bool          // whether Output.Persist is filled in
}

// Defaults of the settings that are zero.
const (
	defaultHeartbeat       = 50 * time.Millisecond
	defaultElectionTimeout = 500 * time.Millisecond
	defaultLease           = 300 * time.Millisecond
	defaultMaxClockDrift   = 10 * time.Millisecond
	defaultSnapshotEvery   = 10_000
	defaultMaxBatch        = 512
	defaultMaxPending      = 1 << 16
)

// snapshotPart is the size of the parts in which a snapshot is sent, in bytes.
const snapshotChunkBytes = 256 << 10

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

// Option changes a replica under construction.
type Option func(*Replica)

// WithRandom sets the source of random numbers.
func WithRandom(random func() uint64) Option {
	return func(r *Replica) { r.random = random }
}

// WithSnapshot sets the function that encodes the state to which the caller has
// applied all entries handed out so far. Without it the log is never truncated.
func WithSnapshot(encode func() []byte) Option {
	return func(r *Replica) {
		r.startSnapshot = func(op uint64) { r.FinishSnapshot(op, encode()) }
	}
}

// WithLateSnapshot sets a function that begins to encode the state to which the
// caller has applied all entries handed out so far, those up to op. The caller
// hands the result to Snapshotted when it is there.
func WithAsyncSnapshot(start func(op uint64)) Option {
	return func(r *Replica) { r.startSnapshot = start }
}

// WithState restarts a replica from the state that it persisted.
func WithState(s Saved) Option {
	return func(r *Replica) { r.restore(s) }
}

// WithRecovering marks a member that is known to have lost its memory. It takes
// no part in starting a new generation; without this option a member that has
// no state may.
func WithRecovering() Option {
	return func(r *Replica) { r.memoryLost = true }
}

// WithFormAfter lets a majority of members without memory start a new
// generation once they have been recovering for d, though other members are
// silent or are left in a minority. What only those members remember is lost.
func WithFormAfter(d time.Duration) Option {
	return func(r *Replica) { r.formAfter = d }
}

// WithLearner marks a host that is to replace the member in its slot. It
// follows the primary without a vote until the replacement is committed.
func WithLearner() Option {
	return func(r *Replica) { r.learner = true }
}

func defaultRandom() uint64 {
	return rand.Uint64()
}
