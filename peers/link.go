package peers

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

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
	batchDelay     = 40 * time.Millisecond // for which messages that aren't urgent are batched
	retryInterval  = 20 * time.Millisecond // between attempts to send a batch
	ephemeralDepth = 512                   // maximum number of messages queued on an ephemeral link
)

// EphemeralTimeout is the timeout of a call on an ephemeral link.
const EphemeralTimeout = 500 * time.Millisecond

// outgoing is a message for a link to send to a service of its remote host.
type outgoing struct {
	service string
	body    any
}

// sendDue is the message of a link's timer that a batch is due.
type sendDue struct{}

// sendResult is the outcome of the call that sent a batch.
type sendResult struct {
	receipt *wire.Receipt
	err     error
}

// DeliverFunc sends one batch to the remote host and returns the receipt.
type DeliverFunc func(ctx context.Context, batch *wire.Batch) (*wire.Receipt, error)

// Link is one link to a remote host.
type Link struct {
	Self         model.Host
	Peer         model.Host
	Ephemeral    bool
	Depth        int           // maximum number of queued requests
	Timeout      time.Duration // of one call
	DiscardAfter time.Duration // a reliable link discards its messages when unreachable for longer
	Dial         func(peer model.Host) DeliverFunc
	Log          events.Logger
	Metrics      *metric.Set
	OnReachable  func(reachable bool) // called when the peer becomes unreachable or reachable
	OnLost       func(body any)       // called for each message that a reliable link won't send again

	deliver       DeliverFunc
	queue         kernel.Queue[*wire.Envelope]
	batch         []*wire.Envelope // in flight or to be retried
	encodable     int              // leading messages of batch that are known to be encodable
	firstSeq      uint64           // of the first message of batch
	inFlight      bool
	sendScheduled bool      // the timer for sendDue is running
	advertised    string    // first address that the host advertised
	redirected    bool      // the link no longer uses the configured address
	failingSince  time.Time // time of the first failed call, zero while calls succeed
}

// Service returns the service that runs the link.
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
		if msgs.Batchable(m.body) {
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

// scheduleSend sends a batch after a delay unless one is already scheduled.
func (l *Link) scheduleSend(t *kernel.Task, d time.Duration) {
	if !l.sendScheduled {
		l.sendScheduled = true
		t.After(d, sendDue{})
	}
}

// enqueue queues a message. A full ephemeral link drops its oldest message.
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

// sendBatch starts the call that sends the next batch unless one is in flight.
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
	t.Call(func(ctx context.Context) any {
		ctx, cancel := context.WithTimeout(ctx, l.Timeout)
		defer cancel()
		receipt, err := deliver(ctx, b)
		return sendResult{receipt: receipt, err: err}
	}, func(err error) any { return sendResult{err: err} })
}

// fillBatch moves queued messages into the batch and returns its size in bytes.
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

// laneLabel returns the value of the metric label Lane.
func (l *Link) laneLabel() string {
	if l.Ephemeral {
		return "Ephemeral"
	}
	return "Reliable"
}

// handleResult removes the acknowledged messages from the batch and sends the next
// batch, or schedules a retry if the remote host's services were full.
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

// handleFailure keeps a reliable batch for a retry, except for messages that may be
// sent at most once, and drops an ephemeral batch.
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
	l.blankUnencodable()
	l.blankAtMostOnce()
	if now.Sub(l.failingSince) > l.DiscardAfter {
		l.discard()
	}
}

// blankUnencodable replaces the messages of the batch that can't be encoded by empty
// envelopes. One of them, for example with a string that isn't UTF-8, fails the whole batch
// at each attempt.
func (l *Link) blankUnencodable() {
	for i, e := range l.batch[l.encodable:] {
		if _, err := proto.Marshal(e); err != nil {
			l.Log.At(events.PeerMessageInvalid).Str("Peer", l.Peer.Name).Str("Service", e.GetService()).Err(err).Send()
			l.Metrics.PeerMessages.WithLabelValues("Invalid").Inc()
			l.reportLost(e)
			l.batch[l.encodable+i] = &wire.Envelope{}
		}
	}
	l.encodable = len(l.batch)
}

// blankAtMostOnce replaces the messages of the batch that may be sent at most once
// by empty envelopes, which no service accepts. This preserves the sequence numbers
// of the other messages.
func (l *Link) blankAtMostOnce() {
	for i, e := range l.batch {
		body, err := codec.FromWire(e)
		if err == nil && msgs.AtMostOnce(body) {
			l.batch[i] = &wire.Envelope{}
			l.OnLost(body)
		}
	}
}

// discard drops all waiting messages. The remote host's lease has expired by then, so
// both sides have already resolved what these messages were about.
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

// reportLost reports a discarded message. Messages replaced by blankAtMostOnce were
// already reported.
func (l *Link) reportLost(e *wire.Envelope) {
	if body, err := codec.FromWire(e); err == nil {
		l.OnLost(body)
	}
}

// advance removes the first n messages from the batch.
func (l *Link) advance(n int) {
	l.firstSeq += uint64(n)
	l.encodable = max(0, l.encodable-n)
	l.batch = append([]*wire.Envelope(nil), l.batch[n:]...)
}

// drained allows a graceful stop once all messages are sent or while the remote host is unreachable.
func (l *Link) drained(*kernel.Task) bool {
	idle := !l.inFlight && len(l.batch) == 0 && l.queue.Len() == 0
	return idle || !l.failingSince.IsZero()
}
