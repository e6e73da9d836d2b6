// Package replog drives a state machine by the log of a replication group: it
// batches commands into entries, applies what was committed and hands each
// effect to whoever asked for the command on this host.
package replog

import (
	"time"

	"dogwoodrock.example/dogwoodrock/quorum"
)

// maxFlights is the number of entries in flight before further commands wait,
// so that they travel together.
const maxInFlight = 4

// Log is the state machine's side of one replica. C is the type of its commands
// and R that of their effects. Its functions run in the owner's task.
type Log[C, R any] struct {
	Replica *quorum.Replica
	Encode  func(commands []C) ([]byte, error)
	Decode  func(data []byte) ([]C, error)
	Stamp   func(c *C, now time.Time) // sets the primary's time before a command is proposed
	Apply   func(c C) R
	Reset   func()                  // empties the state machine
	Install func(data []byte) error // replaces the state machine by a snapshot
	Persist func(p *quorum.Persist) error
	Full    func(err error) bool // tells that Persist may be tried again, nil for never
	Send    func(m quorum.Message)
	Fail    func(err error) // receives what can't be encoded, decoded or persisted
	Batch   int             // commands in one entry

	commands   []C // not proposed yet
	callbacks  []func(R)
	inFlight   map[uint64][]func(R)
	heldOutput quorum.Output // waits for room on the disk
	blockedErr error         // why it waits
	failed     bool          // nothing is carried out any more
}

// Enqueue has a command committed. The effect, which may be nil, is called with
// its result if it was committed as this host proposed it.
func (l *Log[C, R]) Enqueue(c C, done func(R)) {
	l.commands = append(l.commands, c)
	l.callbacks = append(l.callbacks, done)
}

// Drop forgets all effects and the commands that aren't proposed yet. Those who
// asked for them ask the next primary.
func (l *Log[C, R]) DropPending() {
	l.commands = nil
	l.callbacks = nil
	l.inFlight = nil
}

// Settle proposes what waits and carries out what the replica asks for, until
// it asks for nothing more. It does nothing while an output waits for room.
func (l *Log[C, R]) Process(now time.Time) {
	if l.failed || l.blockedErr != nil {
		return
	}
	l.propose(now)
	for l.execute(l.Replica.Drain()) {
		l.propose(now)
	}
}

// Held returns why an output waits for room on the disk, nil when none does.
// While one does, the replica must not be called: it has to stand still.
func (l *Log[C, R]) Blocked() error {
	return l.blockedErr
}

// Retry tries the output that waits again and goes on after it. Its messages are
// dropped, as they are old: the protocol repeats what is lost.
func (l *Log[C, R]) Retry(now time.Time) {
	if l.blockedErr == nil {
		return
	}
	out := l.heldOutput
	out.Messages = nil
	l.heldOutput, l.blockedErr = quorum.Output{}, nil
	l.execute(out)
	l.Process(now)
}

func (l *Log[C, R]) propose(now time.Time) {
	if len(l.commands) == 0 || len(l.inFlight) >= maxInFlight {
		return
	}
	n := min(len(l.commands), l.Batch)
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
		l.DropPending() // this host doesn't lead any more
		return
	}
	if l.inFlight == nil {
		l.inFlight = map[uint64][]func(R){}
	}
	l.inFlight[op] = l.callbacks[:n:n]
	l.commands = l.commands[n:]
	l.callbacks = l.callbacks[n:]
}

// carryOut does what one output asks for, in its order. It reports whether
// entries were committed, after which more may be proposed.
func (l *Log[C, R]) execute(out quorum.Output) bool {
	if out.Persist != nil && l.Persist != nil {
		if err := l.Persist(out.Persist); err != nil {
			l.persistFailed(out, err)
			return false // nothing may be sent that isn't synced
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

// unsaved keeps an output that a full disk didn't take. After any other error
// nothing is carried out any more.
func (l *Log[C, R]) persistFailed(out quorum.Output, err error) {
	if l.Full != nil && l.Full(err) {
		l.heldOutput, l.blockedErr = out, err
		return
	}
	l.failed = true
	l.Fail(err)
}

func (l *Log[C, R]) commit(e quorum.Entry) {
	callbacks := l.inFlight[e.Op]
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
