// Package replog drives a replicated state machine by the log of a quorum.Replica. It batches commands
// into entries, applies committed entries and passes the result of each command to the callback of
// its caller on this host.
package replog

import (
	"time"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// maxInFlight is the maximum number of proposed entries that have not committed. Further commands
// wait, so that they are batched into one entry.
const maxInFlight = 4

// Log connects one replica to its state machine. C is the type of the commands and R the type of
// their results. All functions are called in the task that owns the Log.
type Log[C, R any] struct {
	Replica *quorum.Replica
	Encode  func(commands []C) ([]byte, error)
	Decode  func(data []byte) ([]C, error)
	Stamp   func(c *C, now time.Time)     // sets the proposal time, on the primary's clock
	Apply   func(c C) R                   // applies a committed command
	Reset   func()                        // resets the state machine to empty
	Install func(data []byte) error       // replaces the state by a snapshot
	Persist func(p *quorum.Persist) error // writes and syncs, nil to persist nothing
	Full    func(err error) bool          // reports whether a Persist error means a full disk, so that Persist may be retried; nil for never
	Send    func(m quorum.Message)
	Fail    func(err error) // receives errors of Encode, Decode, Install and Persist
	Batch   int             // maximum number of commands in one entry

	// Size returns the approximate size of a command in bytes. With Size, the commands of one entry and
	// all that are proposed and not committed are bounded by BatchBytes; a larger command is proposed
	// alone. Nil for no such bound.
	Size       func(c C) int
	BatchBytes int

	// Compact writes a snapshot of the applied state to a full disk, in order to remove the log that it
	// covers. It sets Data itself. Nil if a full disk has to be cleared by others.
	Compact func(s quorum.Snapshot) error

	commands      []C // queued, not proposed yet
	callbacks     []func(R)
	inFlight      map[uint64]proposal[R]
	inFlightBytes int
	blockedOutput quorum.Output // blocked until the disk has space
	blockedErr    error         // why blockedOutput is blocked, nil if nothing is
	skipCompact   bool          // the last Compact failed, so the next Retry skips it
	failed        bool          // after a permanent Persist error, no output is executed any more
}

// proposal is an entry that this host proposed and that has not committed.
type proposal[R any] struct {
	view      uint64 // another view may commit another entry of the same number
	callbacks []func(R)
	bytes     int
}

// Enqueue queues a command to be proposed. The callback done, which may be nil, receives the result
// if the command commits in the entry that this host proposed.
func (l *Log[C, R]) Enqueue(c C, done func(R)) {
	l.commands = append(l.commands, c)
	l.callbacks = append(l.callbacks, done)
}

// DropPending discards the queued commands and all callbacks. The callers retry at the next primary.
func (l *Log[C, R]) DropPending() {
	l.commands = nil
	l.callbacks = nil
	l.inFlight, l.inFlightBytes = nil, 0
}

// Process proposes queued commands and executes the replica's output until no more entries commit. It
// does nothing while an output is blocked on a full disk.
func (l *Log[C, R]) Process(now time.Time) {
	if l.failed || l.blockedErr != nil {
		return
	}
	l.propose(now)
	for l.execute(l.Replica.Drain()) {
		l.propose(now)
	}
}

// Blocked returns the error that blocks an output on a full disk, nil if none is blocked. While an
// output is blocked, the caller must not call the replica.
func (l *Log[C, R]) Blocked() error {
	return l.blockedErr
}

// Retry frees disk space if it can, retries a blocked output and then calls Process. The messages of the output are dropped,
// because they are outdated and the protocol retransmits lost messages.
func (l *Log[C, R]) Retry(now time.Time) {
	if l.blockedErr == nil {
		return
	}
	out := l.blockedOutput
	out.Messages = nil
	if !l.freeSpace(out) {
		return
	}
	l.blockedOutput, l.blockedErr = quorum.Output{}, nil
	l.execute(out)
	l.Process(now)
}

func (l *Log[C, R]) propose(now time.Time) {
	if len(l.commands) == 0 || len(l.inFlight) >= maxInFlight {
		return
	}
	n, size := l.nextBatch()
	if n == 0 {
		return
	}
	for i := range n {
		l.Stamp(&l.commands[i], now)
	}
	data, err := l.Encode(l.commands[:n])
	if err != nil {
		l.Fail(err)
		l.DropPending()
		return
	}
	op, err := l.Replica.Propose(data, now)
	if err != nil {
		l.DropPending() // this host may not decide, or too many entries are uncommitted
		return
	}
	if l.inFlight == nil {
		l.inFlight = map[uint64]proposal[R]{}
	}
	l.inFlight[op] = proposal[R]{view: l.Replica.Status(now).View, callbacks: l.callbacks[:n:n], bytes: size}
	l.inFlightBytes += size
	l.commands = l.commands[n:]
	l.callbacks = l.callbacks[n:]
}

// nextBatch returns the number of queued commands to propose in one entry, and their size. It is 0
// while too many bytes are proposed and not committed.
func (l *Log[C, R]) nextBatch() (n, size int) {
	limit := min(len(l.commands), l.Batch)
	if l.Size == nil {
		return limit, 0
	}
	for ; n < limit; n++ {
		next := l.Size(l.commands[n])
		if total := l.inFlightBytes + size + next; total > l.BatchBytes && total > next {
			break
		}
		size += next
	}
	return n, size
}

// freeSpace replaces the log on a full disk by a snapshot of the applied state. It reports whether to
// retry the output; otherwise the snapshot didn't fit, and the next Retry tries the output alone, which
// may be smaller.
func (l *Log[C, R]) freeSpace(out quorum.Output) bool {
	s, ok := l.Replica.SnapshotBefore(out)
	if l.Compact == nil || !ok || l.skipCompact {
		l.skipCompact = false
		return true
	}
	err := l.Compact(s)
	if err != nil && !l.Full(err) {
		l.failed = true
		l.Fail(err)
	}
	l.skipCompact = err != nil
	return err == nil
}

// execute carries out one output, in the order of its fields. It reports whether entries were
// committed, after which more may be proposed.
func (l *Log[C, R]) execute(out quorum.Output) bool {
	if out.Persist != nil && l.Persist != nil {
		if err := l.Persist(out.Persist); err != nil {
			l.persistFailed(out, err)
			return false // messages must not be sent before the state is synced
		}
	}
	for _, m := range out.Messages {
		l.Send(m)
	}
	if out.Reset {
		l.Reset()
	}
	if out.Install != nil {
		if err := l.Install(out.Install); err != nil {
			l.Fail(err)
		}
	}
	for _, e := range out.Committed {
		l.commit(e)
	}
	return len(out.Committed) > 0
}

// persistFailed keeps the output for Retry if the disk is full. After any other error no output is
// executed any more.
func (l *Log[C, R]) persistFailed(out quorum.Output, err error) {
	if l.Full != nil && l.Full(err) {
		l.blockedOutput, l.blockedErr = out, err
		return
	}
	l.failed = true
	l.Fail(err)
}

// commit applies the commands of a committed entry and calls their callbacks.
func (l *Log[C, R]) commit(e quorum.Entry) {
	var callbacks []func(R)
	if l.inFlight[e.Op].view == e.View {
		callbacks = l.inFlight[e.Op].callbacks
	}
	l.inFlightBytes -= l.inFlight[e.Op].bytes
	delete(l.inFlight, e.Op)
	if len(e.Command) == 0 {
		return
	}
	commands, err := l.Decode(e.Command)
	if err != nil {
		l.Fail(err)
		return
	}
	for i, c := range commands {
		result := l.Apply(c)
		if i < len(callbacks) && callbacks[i] != nil {
			callbacks[i](result)
		}
	}
}
