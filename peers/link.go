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
	patientDelay   = 40 * time.Millisecond // in which messages that are not urgent gather
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
type wake struct{}

// sent reports how the call of a batch ended.
type sent struct {
	receipt *wire.Receipt
	err     error
}

// Deliver sends one batch to the remote host.
type Deliver func(ctx context.Context, batch *wire.Batch) (*wire.Receipt, error)

// Link is the state of one link to a remote host.
type Link struct {
	Self      model.Host
	Peer      model.Host
	Ephemeral bool
	Depth     int           // requests held before the link refuses
	Timeout   time.Duration // of one call
	GiveUp    time.Duration // unreachable for so long, a reliable link discards what waits
	Dial      func(peer model.Host) Deliver
	Log       events.Logger
	Metrics   *metric.Set
	OnState   func(reachable bool) // hears when the remote host is lost and found
	OnLost    func(body any)       // hears of each message of a reliable link that isn't sent again

	deliver   Deliver
	queue     kernel.Queue[*wire.Envelope]
	batch     []*wire.Envelope // in flight, or to be tried again
	firstSeq  uint64           // of the first message of batch
	flying    bool
	waking    bool      // a wake is on its way
	announced string    // address that the host first gave as its own
	followed  bool      // the link left the address of the settings
	failedAt  time.Time // when the calls began to fail, zero while they succeed
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
		if msgs.Batchable(m.body) {
			l.wakeAfter(t, patientDelay)
			return
		}
		l.fly(t)
	case wake:
		l.waking = false
		l.fly(t)
	case sent:
		l.landed(t, m)
	case moved:
		l.follow(m.address)
	}
}

// wakeAfter has the link look at its queue a while later.
func (l *Link) wakeAfter(t *kernel.Task, d time.Duration) {
	if !l.waking {
		l.waking = true
		t.After(d, wake{})
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
func (l *Link) fly(t *kernel.Task) {
	if l.flying {
		return
	}
	size := l.fill()
	if len(l.batch) == 0 {
		return
	}
	l.flying = true
	l.Metrics.PeerBytes.WithLabelValues(l.lane()).Add(float64(size))
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
		t.Self.Reply(sent{receipt: receipt, err: err})
	})
}

// fill moves what waits into the batch and returns the bytes of the batch.
func (l *Link) fill() int {
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

func (l *Link) lane() string {
	if l.Ephemeral {
		return "Ephemeral"
	}
	return "Reliable"
}

func (l *Link) landed(t *kernel.Task, m sent) {
	l.flying = false
	if m.err != nil {
		l.failed(t, m.err)
		return
	}
	if !l.failedAt.IsZero() {
		l.failedAt = time.Time{}
		l.Log.At(events.PeerReachable).Str("Peer", l.Peer.Name).Send()
		l.OnState(true)
	}
	taken := len(l.batch)
	if !l.Ephemeral {
		taken = min(taken, int(m.receipt.GetTakenSeq()+1-l.firstSeq))
	}
	l.Metrics.PeerMessages.WithLabelValues("Delivered").Add(float64(taken))
	l.advance(taken)
	if len(l.batch) > 0 {
		l.Metrics.Retries.WithLabelValues("PeerFull").Inc()
		l.wakeAfter(t, retryInterval)
		return
	}
	l.fly(t)
}

// failed keeps a reliable batch for the next try, but for messages that may be
// sent only once, and drops an ephemeral one.
func (l *Link) failed(t *kernel.Task, err error) {
	now := t.Env.Now()
	l.wakeAfter(t, retryInterval)
	if l.failedAt.IsZero() {
		l.failedAt = now
		l.Log.At(events.PeerUnreachable).Str("Peer", l.Peer.Name).Err(err).Send()
		l.OnState(false)
	}
	if l.Ephemeral {
		l.Metrics.PeerMessages.WithLabelValues("Lost").Add(float64(len(l.batch)))
		l.advance(len(l.batch))
		return
	}
	l.Metrics.Retries.WithLabelValues("PeerUnreachable").Inc()
	l.blankOnce()
	if now.Sub(l.failedAt) > l.GiveUp {
		l.discard()
	}
}

// blankOnce replaces the messages of the batch that may be sent only once. An
// empty envelope keeps the numbers of the others, and no service takes it.
func (l *Link) blankOnce() {
	for i, e := range l.batch {
		body, err := codec.FromWire(e)
		if err == nil && msgs.AtMostOnce(body) {
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
		l.lose(e)
	}
	l.advance(len(l.batch))
	for {
		e, ok := l.queue.Pop()
		if !ok {
			break
		}
		l.lose(e)
		l.firstSeq++
	}
	l.Metrics.PeerMessages.WithLabelValues("Discarded").Add(float64(n))
	l.Log.At(events.PeerDiscarded).Str("Peer", l.Peer.Name).Int("Messages", n).Send()
}

// lose reports a message that was discarded. One that was blanked was reported
// before.
func (l *Link) lose(e *wire.Envelope) {
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
	idle := !l.flying && len(l.batch) == 0 && l.queue.Len() == 0
	return idle || !l.failedAt.IsZero()
}
