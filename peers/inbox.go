package peers

import (
	"errors"
	"slices"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// incoming is a batch on its way from the server to the inbox.
type incoming struct {
	batch *wire.Batch
	reply func(*wire.Receipt)
}

// maxLanes is the number of processes of a remote host that are remembered: one
// that restarts each second draws as many in several times the life of a batch.
const maxLanes = 16

// lane is what the inbox remembers of one reliable link towards it, of one process
// of the remote host. Incarnations aren't ordered, so a process that is heard of
// for the first time may be the next one or one before.
type lane struct {
	incarnation uint64
	taken       uint64
}

// Inbox passes the messages of other hosts to the services of this one.
type Inbox struct {
	Incarnation uint64
	Log         events.Logger
	Find        func(name string) (kernel.Ref, error)
	Sent        func(bytes int) // hears of the bytes sent in answers

	lanes map[string][]*lane // by host, the process heard of last comes last
}

func (b *Inbox) handle(m incoming) {
	taken := uint64(0)
	if m.batch.GetReliable() {
		taken = b.takeReliable(m.batch)
	} else {
		for _, e := range m.batch.GetEnvelopes() {
			_ = b.pass(e)
		}
	}
	m.reply(&wire.Receipt{Incarnation: b.Incarnation, TakenSeq: taken})
}

// takeReliable passes the messages that were not passed before, in order, and
// stops at the first that its service has no room for.
func (b *Inbox) takeReliable(batch *wire.Batch) uint64 {
	l := b.laneOf(batch)
	for i, e := range batch.GetEnvelopes() {
		seq := batch.GetFirstSeq() + uint64(i)
		if seq <= l.taken {
			continue
		}
		var full *kernel.FullError
		if errors.As(b.pass(e), &full) {
			break
		}
		l.taken = seq
	}
	return l.taken
}

func (b *Inbox) laneOf(batch *wire.Batch) *lane {
	lanes := b.lanes[batch.GetFrom()]
	l := &lane{incarnation: batch.GetIncarnation()}
	if i := slices.IndexFunc(lanes, func(known *lane) bool { return known.incarnation == l.incarnation }); i >= 0 {
		l = lanes[i]
		lanes = slices.Delete(lanes, i, i+1)
	} else if len(lanes) == maxLanes {
		lanes = slices.Delete(lanes, 0, 1)
	}
	b.lanes[batch.GetFrom()] = append(lanes, l)
	// The sender never returns to messages before FirstSeq: they were taken by
	// an earlier process of this host, or given up.
	l.taken = max(l.taken, batch.GetFirstSeq()-1)
	return l
}

func (b *Inbox) pass(e *wire.Envelope) error {
	body, err := codec.FromWire(e)
	if err != nil {
		return err
	}
	ref, err := b.Find(e.GetService())
	if err != nil {
		return err
	}
	if msgs.StartsExchange(body) {
		return ref.Offer(body)
	}
	ref.Reply(body)
	return nil
}
