package peers

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// incoming is a batch on its way from the server to the inbox.
type incoming struct {
	batch *wire.Batch
	reply func(*wire.Receipt)
}

// maxSenders is the maximum number of processes tracked per remote host. A host
// that restarts every second takes several times the lifetime of a batch to
// exceed it.
const maxSenders = 16

const (
	// maxHosts is the maximum number of remote hosts tracked. A system of 300 hosts has a quarter of it.
	maxHosts = 1200

	// forgetAfter is the time after which a remote host may be forgotten that has sent nothing. Batches that are
	// repeated come within seconds.
	forgetAfter = time.Minute
)

// Reasons for which a batch or a message isn't accepted.
const (
	refusedName  = "Name"  // the name of the host isn't valid
	refusedHosts = "Hosts" // more hosts send messages than are tracked
	refusedText  = "Text"  // a message holds too long a string
)

// remote is what is known of a remote host.
type remote struct {
	senders []*sender // the most recently active process last
	active  time.Time // when the last batch arrived
}

// sender is the state of the reliable link from one process of a remote host.
// Incarnations aren't ordered, so an unknown process may be newer or older than
// the known ones.
type sender struct {
	incarnation uint64
	lastSeq     uint64 // of the last message accepted
}

// Inbox dispatches the messages from other hosts to the services of this host.
type Inbox struct {
	Incarnation uint64
	Log         events.Logger
	Find        func(name string) (kernel.Ref, error)
	OnSent      func(bytes int)     // called with the bytes sent in responses, by several tasks
	Limits      intake.Limits       // of the listener
	OnClosed    func(intake.Closed) // called about connections that the listener closed, nil for none
	OnRefused   func(reason string) // called about each batch or message that isn't accepted, nil for none

	hosts map[string]*remote
}

func (b *Inbox) handle(m incoming, now time.Time) {
	acceptedSeq := uint64(0)
	if m.batch.GetReliable() {
		acceptedSeq = b.acceptReliable(m.batch, now)
	} else {
		for _, e := range m.batch.GetEnvelopes() {
			_ = b.dispatch(e)
		}
	}
	m.reply(&wire.Receipt{Incarnation: b.Incarnation, TakenSeq: acceptedSeq})
}

// acceptReliable dispatches the messages not yet accepted, in order, and stops at
// the first whose service is full. It returns the sequence number of the last
// message accepted. It accepts none from a host that can't be tracked.
func (b *Inbox) acceptReliable(batch *wire.Batch, now time.Time) uint64 {
	host := b.remoteOf(batch.GetFrom(), now)
	if host == nil {
		return batch.GetFirstSeq() - 1
	}
	s := host.senderOf(batch)
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

// remoteOf returns what is known of a remote host, and adds an unknown one. It returns nil for an invalid name and if
// maxHosts have been active lately: forgetting one of those could deliver its messages twice.
func (b *Inbox) remoteOf(name string, now time.Time) *remote {
	host := b.hosts[name]
	switch {
	case host != nil:
	case !model.ValidName(name):
		b.refuse("", refusedName)
		return nil
	case len(b.hosts) >= maxHosts && !b.forget(now):
		b.refuse(name, refusedHosts)
		return nil
	default:
		host = &remote{}
		b.hosts[name] = host
	}
	host.active = now
	return host
}

// refuse counts and logs a batch that isn't accepted.
func (b *Inbox) refuse(host, reason string) {
	b.Log.At(events.PeerUntracked).Str("Peer", host).Str("Reason", reason).Int("Hosts", len(b.hosts)).Send()
	if b.OnRefused != nil {
		b.OnRefused(reason)
	}
}

// refuseMessage counts and logs a message that isn't passed on as it holds too long a string.
func (b *Inbox) refuseMessage(e *wire.Envelope, err error) {
	var long *codec.TextError
	if !errors.As(err, &long) {
		return
	}
	b.Log.At(events.PeerMessageRefused).Str("Service", fmt.Sprintf("%.100s", e.GetService())).Err(err).Send()
	if b.OnRefused != nil {
		b.OnRefused(refusedText)
	}
}

// forget removes the hosts that haven't been active for forgetAfter, and reports whether there are any.
func (b *Inbox) forget(now time.Time) bool {
	before := len(b.hosts)
	maps.DeleteFunc(b.hosts, func(_ string, h *remote) bool { return now.Sub(h.active) >= forgetAfter })
	return len(b.hosts) < before
}

// senderOf returns the state of the process that sent the batch. It adds an unknown
// process and evicts the least recently active one above maxSenders.
func (h *remote) senderOf(batch *wire.Batch) *sender {
	s := &sender{incarnation: batch.GetIncarnation()}
	if i := slices.IndexFunc(h.senders, func(known *sender) bool { return known.incarnation == s.incarnation }); i >= 0 {
		s = h.senders[i]
		h.senders = slices.Delete(h.senders, i, i+1)
	} else if len(h.senders) == maxSenders {
		h.senders = slices.Delete(h.senders, 0, 1)
	}
	h.senders = append(h.senders, s)
	// The sender never repeats messages before FirstSeq: a previous process of this
	// host accepted them, or the sender discarded them.
	s.lastSeq = max(s.lastSeq, batch.GetFirstSeq()-1)
	return s
}

func (b *Inbox) dispatch(e *wire.Envelope) error {
	body, err := codec.FromWire(e)
	if err != nil {
		b.refuseMessage(e, err)
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
