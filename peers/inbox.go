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
const maxSenders = 16

// lane is what the inbox remembers of one reliable link towards it, of one process
// of the remote host. Incarnations aren't ordered, so a process that is heard of
// for the first time may be the next one or one before.
type sender struct {
	incarnation uint64
	lastSeq     uint64
}

// Inbox passes the messages of other hosts to the services of this one.
type Inbox struct {
	Incarnation uint64
	Log         events.Logger
	Find        func(name string) (kernel.Ref, error)
	OnSent      func(bytes int) // hears of the bytes sent in answers

	senders map[string][]*sender // by host, the process heard of last comes last
}

func (b *Inbox) handle(m incoming) {
	acceptedSeq := uint64(0)
	if m.batch.GetReliable() {
		acceptedSeq = b.acceptReliable(m.batch)
	} else {
		for _, e := range m.batch.GetEnvelopes() {
			_ = b.dispatch(e)
		}
	}
	m.reply(&wire.Receipt{Incarnation: b.Incarnation, TakenSeq: acceptedSeq})
}

// takeReliable passes the messages that were not passed before, in order, and
// stops at the first that its service has no room for.
func (b *Inbox) acceptReliable(batch *wire.Batch) uint64 {
	s := b.senderOf(batch)
	for i, e := range batch.GetEnvelopes() {
		seq := batch.GetFirstSeq() + uint64(i)
		if seq <= s.lastSeq {
			continue
		}
		var full *kernel.FullError
		if errors.As(b.dispatch(e), &full) {
			break
		}
		s.lastSeq = seq
	}
	return s.lastSeq
}

func (b *Inbox) senderOf(batch *wire.Batch) *sender {
	list := b.senders[batch.GetFrom()]
	s := &sender{incarnation: batch.GetIncarnation()}
	if i := slices.IndexFunc(list, func(known *sender) bool { return known.incarnation == s.incarnation }); i >= 0 {
		s = list[i]
		list = slices.Delete(list, i, i+1)
	} else if len(list) == maxSenders {
		list = slices.Delete(list, 0, 1)
	}
	b.senders[batch.GetFrom()] = append(list, s)
	// The sender never returns to messages before FirstSeq: they were taken by
	// an earlier process of this host, or given up.
	s.lastSeq = max(s.lastSeq, batch.GetFirstSeq()-1)
	return s
}

func (b *Inbox) dispatch(e *wire.Envelope) error {
	body, err := codec.FromWire(e)
	if err != nil {
		return err
	}
	ref, err := b.Find(e.GetService())
	if err != nil {
		return err
	}
	if msgs.Request(body) {
		return ref.Offer(body)
	}
	ref.Reply(body)
	return nil
}
