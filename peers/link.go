package peers

import (
	"context"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	maxBatch       = 256                   // messages in one call
	maxBatchBytes  = 1 << 20               // bytes in one call, unless one message alone is larger
	batchDelay     = 40 * time.Millisecond // in which messages that are not urgent gather
	retryInterval  = 20 * time.Millisecond // between tries of a batch
	ephemeralDepth = 512                   // messages that an ephemeral link holds
)

// EphemeralTimeout is the longest call of an ephemeral link.
const EphemeralTimeout = 500 * time.Millisecond

// outgoing is a message on its way to a link.
type outgoing struct {
	service string
	body    any
}

// wake is a link's message to itself that it is time to look at its queue.
type sendDue struct{}

// sent reports how the call of a batch ended.
type sendResult struct {
	receipt *wire.Receipt
	err     error
}

// Deliver sends one batch to the remote host.
type DeliverFunc func(ctx context.Context, batch *wire.Batch) (*wire.Receipt, error)

// Link is the state of one link to a remote host.
type Link struct {
	Self         model.Host
	Peer         model.Host
	Ephemeral    bool
	Depth        int           // requests held before the link refuses
	Timeout      time.Duration // of one call
	DiscardAfter time.Duration // unreachable for so long, a reliable link discards what waits
	Dial         func(peer model.Host) DeliverFunc
	Log          events.Logger
	Metrics      *metric.Set
	OnReachable  func(reachable bool) // hears when the remote host is lost and found
	OnLost       func(body any)       // hears of each message of a reliable link that isn't sent again

	deliver       DeliverFunc
	queue         kernel.Queue[*wire.Envelope]
	batch         []*wire.Envelope // in flight, or to be tried again
	firstSeq      uint64           // of the first message of batch
	inFlight      bool
	sendScheduled bool      // a wake is on its way
	advertised    string    // address that the host first gave as its own
	redirected    bool      // the link left the address of the settings
	failingSince  time.Time // when the calls began to fail, zero while they succeed
}

// Service returns the link as a service.
func (l *Link) Service() kernel.Service {
	return kernel.Service{
		Name:   linkName(l.Peer.Name, l.Ephemeral),
		Depth:  l.Depth,
		Start:  l.start,
		Handle: l.handle,
		Drain:  l.drained,
	}
}

func (l *Link) start(*kernel.Task) error {
	l.firstSeq = 1
	l.deliver = l.Dial(l.Peer)
	return nil
}

func (l *Link) handle(t *kernel.Task, msg any) {
	switch m := msg.(type) {
	case outgoing:
		l.enqueue(m)
		if msgs.Patient(m.body) {
			l.scheduleSend(t, batchDelay)
			return
		}
		l.sendBatch(t)
	case sendDue:
		l.sendScheduled = false
		l.sendBatch(t)
	case sendResult:
		l.handleResult(t, m)
	case addressUpdate:
		l.updateAddress(m.address)
	}
}

// wakeAfter has the link look at its queue a while later.
func (l *Link) scheduleSend(t *kernel.Task, d time.Duration) {
	if !l.sendScheduled {
		l.sendScheduled = true
		t.After(d, sendDue{})
	}
}

func (l *Link) enqueue(m outgoing) {
	e, err := codec.ToWire(m.service, m.body)
	if err != nil {
		l.Log.At(events.PeerUnreachable).Str("Peer", l.Peer.Name).Err(err).Send()
		return
	}
	l.queue.Push(e)
	if l.Ephemeral && l.queue.Len() > ephemeralDepth {
		l.queue.Pop()
		l.Metrics.PeerMessages.WithLabelValues("Shed").Inc()
	}
}

// fly starts the call of the next batch unless one is in flight.
func (l *Link) sendBatch(t *kernel.Task) {
	if l.inFlight {
		return
	}
	size := l.fillBatch()
	if len(l.batch) == 0 {
		return
	}
	l.inFlight = true
	l.Metrics.PeerBytes.WithLabelValues(l.laneLabel()).Add(float64(size))
	b := &wire.Batch{
		From:        l.Self.Name,
		Incarnation: l.Self.Incarnation,
		Reliable:    !l.Ephemeral,
		FirstSeq:    l.firstSeq,
		Envelopes:   l.batch,
	}
	deliver := l.deliver
	t.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		receipt, err := deliver(ctx, b)
		t.Self.Reply(sendResult{receipt: receipt, err: err})
	})
}

// fill moves what waits into the batch and returns the bytes of the batch.
func (l *Link) fillBatch() int {
	size := 0
	for _, e := range l.batch {
		size += envelopeSize(e)
	}
	for len(l.batch) < maxBatch && size < maxBatchBytes {
		e, ok := l.queue.Pop()
		if !ok {
			return size
		}
		l.batch = append(l.batch, e)
		size += envelopeSize(e)
	}
	return size
}

func (l *Link) laneLabel() string {
	if l.Ephemeral {
		return "Ephemeral"
	}
	return "Reliable"
}

func (l *Link) handleResult(t *kernel.Task, m sendResult) {
	l.inFlight = false
	if m.err != nil {
		l.handleFailure(t, m.err)
		return
	}
	if !l.failingSince.IsZero() {
		l.failingSince = time.Time{}
		l.Log.At(events.PeerReachable).Str("Peer", l.Peer.Name).Send()
		l.OnReachable(true)
	}
	accepted := len(l.batch)
	if !l.Ephemeral {
		accepted = min(accepted, int(m.receipt.GetTakenSeq()+1-l.firstSeq))
	}
	l.Metrics.PeerMessages.WithLabelValues("Delivered").Add(float64(accepted))
	l.advance(accepted)
	if len(l.batch) > 0 {
		l.Metrics.Retries.WithLabelValues("PeerFull").Inc()
		l.scheduleSend(t, retryInterval)
		return
	}
	l.sendBatch(t)
}

// failed keeps a reliable batch for the next try, but for messages that may be
// sent only once, and drops an ephemeral one.
func (l *Link) handleFailure(t *kernel.Task, err error) {
	now := t.Env.Now()
	l.scheduleSend(t, retryInterval)
	if l.failingSince.IsZero() {
		l.failingSince = now
		l.Log.At(events.PeerUnreachable).Str("Peer", l.Peer.Name).Err(err).Send()
		l.OnReachable(false)
	}
	if l.Ephemeral {
		l.Metrics.PeerMessages.WithLabelValues("Lost").Add(float64(len(l.batch)))
		l.advance(len(l.batch))
		return
	}
	l.Metrics.Retries.WithLabelValues("PeerUnreachable").Inc()
	l.blankAtMostOnce()
	if now.Sub(l.failingSince) > l.DiscardAfter {
		l.discard()
	}
}

// blankOnce replaces the messages of the batch that may be sent only once. An
// empty envelope keeps the numbers of the others, and no service takes it.
func (l *Link) blankAtMostOnce() {
	for i, e := range l.batch {
		body, err := codec.FromWire(e)
		if err == nil && msgs.Once(body) {
			l.batch[i] = &wire.Envelope{}
			l.OnLost(body)
		}
	}
}

// discard gives up everything that waits: the remote host's lease has ended, so
// both sides have settled what these messages were about.
func (l *Link) discard() {
	n := len(l.batch) + l.queue.Len()
	for _, e := range l.batch {
		l.reportLost(e)
	}
	l.advance(len(l.batch))
	for {
		e, ok := l.queue.Pop()
		if !ok {
			break
		}
		l.reportLost(e)
		l.firstSeq++
	}
	l.Metrics.PeerMessages.WithLabelValues("Discarded").Add(float64(n))
	l.Log.At(events.PeerDiscarded).Str("Peer", l.Peer.Name).Int("Messages", n).Send()
}

// lose reports a message that was discarded. One that was blanked was reported
// before.
func (l *Link) reportLost(e *wire.Envelope) {
	if body, err := codec.FromWire(e); err == nil {
		l.OnLost(body)
	}
}

func (l *Link) advance(n int) {
	l.firstSeq += uint64(n)
	l.batch = append([]*wire.Envelope(nil), l.batch[n:]...)
}

// drained lets a stop go on once all is sent, or while the host is unreachable.
func (l *Link) drained(*kernel.Task) bool {
	idle := !l.inFlight && len(l.batch) == 0 && l.queue.Len() == 0
	return idle || !l.failingSince.IsZero()
}
