package peers

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/kernel/memnet"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const messages = 300

var errLost = errors.New("lost in the fake network")

// receiver is one process of the remote host: an inbox and a service that handles
// each message with a delay.
type receiver struct {
	kernel   *kernel.Kernel
	inbox    *Endpoint
	received []uint64
	relays   []string // keys of the submissions
}

func startReceiver(t *testing.T, incarnation uint64, delay time.Duration) *receiver {
	t.Helper()
	r := &receiver{}
	r.kernel = kernel.New(kernel.WithEnv(memnet.New().Env("h2", incarnation)))
	inbox := &Inbox{Incarnation: incarnation, Log: events.Nop(), OnSent: func(int) {}}
	for _, s := range []kernel.Service{inbox.Service("", time.Second), {
		Name:  msgs.ServiceJobs,
		Depth: 4,
		Handle: func(_ *kernel.Task, msg any) {
			time.Sleep(delay)
			switch m := msg.(type) {
			case msgs.Fetch:
				r.received = append(r.received, m.Request)
			case msgs.Relay:
				r.relays = append(r.relays, m.Submission.Key)
			}
		},
	}} {
		if err := r.kernel.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := r.kernel.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	ref, _ := r.kernel.Find(msgs.ServicePeers)
	r.inbox = &Endpoint{inbox: ref, timeout: time.Second}
	return r
}

// filler is the request number of messages that don't come from the link.
const filler = 1 << 32

// fillMailbox fills the mailbox of the service.
func (r *receiver) fillMailbox(t *testing.T) {
	t.Helper()
	ref, err := r.kernel.Find(msgs.ServiceJobs)
	if err != nil {
		t.Fatal(err)
	}
	for range 2 { // the service removes the first message from its mailbox
		for ref.Offer(msgs.Fetch{Request: filler}) == nil {
			continue
		}
		synctest.Wait()
	}
}

// startLink starts a link with the given transport.
func startLink(t *testing.T, deliver DeliverFunc, ephemeral bool) *kernel.Kernel {
	t.Helper()
	return startLinkWith(t, func(model.Host) DeliverFunc { return deliver }, ephemeral)
}

func startLinkWith(t *testing.T, dial func(model.Host) DeliverFunc, ephemeral bool) *kernel.Kernel {
	t.Helper()
	return startKernel(t, newLink(dial, ephemeral))
}

func newLink(dial func(model.Host) DeliverFunc, ephemeral bool) *Link {
	return &Link{
		Self: model.Host{Name: "h1", Incarnation: 7}, Peer: model.Host{Name: "h2", Address: "old"}, Ephemeral: ephemeral, Depth: messages,
		Timeout: time.Second, DiscardAfter: 4 * time.Second, Dial: dial,
		Log: events.Nop(), Metrics: metric.New(), OnReachable: func(bool) {}, OnLost: func(any) {},
	}
}

func startKernel(t *testing.T, l *Link) *kernel.Kernel {
	t.Helper()
	k := kernel.New()
	if err := k.Register(l.Service()); err != nil {
		t.Fatal(err)
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	return k
}

func stop(k *kernel.Kernel) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	k.Stop(ended)
}

// send sends n messages over the link, numbered from first.
func send(t *testing.T, k *kernel.Kernel, first, n uint64) {
	t.Helper()
	mailer := NewMailer("h1", k.Find)
	for i := range n {
		if err := mailer.Send("h2", msgs.ServiceJobs, msgs.Fetch{Request: first + i}); err != nil {
			t.Fatal(err)
		}
		if i%8 == 0 {
			time.Sleep(time.Millisecond)
		}
	}
}

// faultyDeliver delivers to the current receiver with random losses and duplicate calls.
func faultyDeliver(current *atomic.Pointer[receiver], requestLoss, responseLoss, duplication float64) DeliverFunc {
	rng := rand.New(rand.NewPCG(1, 1))
	return func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
		inbox := current.Load().inbox
		if rng.Float64() < requestLoss {
			return nil, errLost
		}
		if rng.Float64() < duplication {
			_, _ = inbox.Deliver(ctx, b)
		}
		receipt, err := inbox.Deliver(ctx, b)
		if rng.Float64() < responseLoss {
			return nil, errLost
		}
		return receipt, err
	}
}

func sequence(first, n uint64) []uint64 {
	var all []uint64
	for i := range n {
		all = append(all, first+i)
	}
	return all
}

// TestLink checks that each message sent over a faulty network is accepted once, in order.
func TestLink(t *testing.T) {
	tests := map[string]struct {
		requestLoss, responseLoss, duplication float64 // probabilities of faults
		delay                                  time.Duration
	}{
		"no faults":        {},
		"requests lost":    {requestLoss: 0.5},
		"responses lost":   {responseLoss: 0.5},
		"calls duplicated": {duplication: 0.5},
		"receiver full":    {delay: 5 * time.Millisecond},
		"all faults":       {requestLoss: 0.3, responseLoss: 0.3, duplication: 0.3, delay: 5 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startReceiver(t, 1, tt.delay)
				var current atomic.Pointer[receiver]
				current.Store(r)
				k := startLink(t, faultyDeliver(&current, tt.requestLoss, tt.responseLoss, tt.duplication), false)
				send(t, k, 0, messages)
				time.Sleep(time.Minute)
				stop(k)
				stop(r.kernel)
				if !slices.Equal(r.received, sequence(0, messages)) {
					t.Errorf("accepted %v", r.received)
				}
			})
		})
	}
}

// TestReceiverRestart stops the receiver while responses are being lost. The next
// process must accept what was not acknowledged, in order and without a gap.
func TestReceiverRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first := startReceiver(t, 1, time.Millisecond)
		var current atomic.Pointer[receiver]
		current.Store(first)
		k := startLink(t, faultyDeliver(&current, 0.2, 0.5, 0), false)
		send(t, k, 0, messages/2)
		time.Sleep(100 * time.Millisecond)
		stop(first.kernel)
		time.Sleep(time.Second)
		r := startReceiver(t, 2, 200*time.Millisecond)
		r.fillMailbox(t)
		current.Store(r)
		send(t, k, messages/2, messages/2)
		time.Sleep(2 * time.Minute)
		stop(k)
		stop(r.kernel)
		r.received = slices.DeleteFunc(r.received, func(n uint64) bool { return n == filler })
		accepted := uint64(len(first.received))
		if !slices.Equal(first.received, sequence(0, accepted)) {
			t.Errorf("the first process accepted %v", first.received)
		}
		if len(r.received) == 0 || r.received[0] > accepted || !slices.Equal(r.received, sequence(r.received[0], messages-r.received[0])) {
			t.Errorf("the second process accepted %v after %d", r.received, accepted)
		}
	})
}

// TestRelayOnce stops the receiver after it accepted a submission but before the
// link receives its response. The link may send the submission to the next process
// only if its key identifies it as a duplicate; nothing else would recognize it there.
func TestRelayOnce(t *testing.T) {
	tests := map[string]struct {
		key  string
		want []string // accepted by the second process
	}{
		"without a key": {},
		"with a key":    {key: "k", want: []string{"k"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				first, second := startReceiver(t, 1, 0), startReceiver(t, 2, 0)
				delivered := false
				k := startLink(t, func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
					if delivered {
						return second.inbox.Deliver(ctx, b)
					}
					delivered = true
					_, _ = first.inbox.Deliver(ctx, b)
					return nil, errLost
				}, false)
				relay := msgs.Relay{Submission: model.Submission{Customer: "halny", Key: tt.key}}
				if err := NewMailer("h1", k.Find).Send("h2", msgs.ServiceJobs, relay); err != nil {
					t.Fatal(err)
				}
				send(t, k, 0, 3)
				time.Sleep(time.Second)
				for _, stopped := range []*kernel.Kernel{k, first.kernel, second.kernel} {
					stop(stopped)
				}
				if !slices.Equal(first.relays, []string{tt.key}) || !slices.Equal(second.relays, tt.want) {
					t.Errorf("the first process accepted %q, the second %q, want %q", first.relays, second.relays, tt.want)
				}
				if !slices.Equal(second.received, sequence(0, 3)) {
					t.Errorf("the second process accepted %v of the others", second.received)
				}
			})
		})
	}
}

// TestOnLost interrupts the connection of a link. OnLost must report each message that
// the link won't send again.
func TestOnLost(t *testing.T) {
	atMostOnce := func(request uint64) msgs.Relay { return msgs.Relay{Request: request} }
	repeatable := msgs.Relay{Request: 9, Submission: model.Submission{Key: "k"}}
	tests := map[string]struct {
		bodies []any
		outage time.Duration
		want   []uint64 // requests reported as lost
	}{
		"no outage":                     {bodies: []any{atMostOnce(1), repeatable}},
		"a short outage":                {bodies: []any{atMostOnce(1)}, outage: 10 * time.Millisecond, want: []uint64{1}},
		"each message at most once":     {bodies: []any{atMostOnce(1), atMostOnce(2)}, outage: time.Second, want: []uint64{1, 2}},
		"repeatable messages":           {bodies: []any{repeatable, msgs.Fetch{Request: 8}}, outage: time.Second},
		"messages discarded in the end": {bodies: []any{repeatable, msgs.Fetch{Request: 8}}, outage: time.Minute, want: []uint64{9}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startReceiver(t, 1, 0)
				restoredAt := time.Now().Add(tt.outage)
				l := newLink(func(model.Host) DeliverFunc {
					return func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
						if time.Now().Before(restoredAt) {
							return nil, errLost
						}
						return r.inbox.Deliver(ctx, b)
					}
				}, false)
				var lost []uint64
				l.OnLost = func(body any) {
					if m, ok := body.(msgs.Relay); ok {
						lost = append(lost, m.Request)
					}
				}
				k := startKernel(t, l)
				mailer := NewMailer("h1", k.Find)
				for _, body := range tt.bodies {
					if err := mailer.Send("h2", msgs.ServiceJobs, body); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(2 * time.Minute)
				stop(k)
				stop(r.kernel)
				slices.Sort(lost)
				if !slices.Equal(lost, tt.want) {
					t.Errorf("the requests %v were lost, want %v", lost, tt.want)
				}
			})
		})
	}
}

// TestDiscardAfter keeps the receiver unreachable. Waiting messages are discarded after
// DiscardAfter, and later messages are accepted in order.
func TestDiscardAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startReceiver(t, 1, 0)
		down := true
		k := startLink(t, func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
			if down {
				return nil, errLost
			}
			return r.inbox.Deliver(ctx, b)
		}, false)
		send(t, k, 0, 10)
		time.Sleep(10 * time.Second)
		synctest.Wait()
		down = false
		send(t, k, 10, 10)
		time.Sleep(time.Second)
		stop(k)
		stop(r.kernel)
		if !slices.Equal(r.received, sequence(10, 10)) {
			t.Errorf("accepted %v, want 10 to 19", r.received)
		}
	})
}

// TestUpdateAddress restarts the receiver at another address. The link must switch to it only if
// the advertised address changed and the old address is unreachable.
func TestUpdateAddress(t *testing.T) {
	tests := map[string]struct {
		advertised string // address that the receiver advertised at first
		oldDown    bool
		want       []uint64 // accepted by the new process
	}{
		"the old one is down":         {advertised: "old", oldDown: true, want: sequence(10, 10)},
		"behind a relay, and moved":   {advertised: "behind", oldDown: true, want: sequence(10, 10)},
		"behind a relay that is down": {advertised: "new", oldDown: true},
		"the old one is up":           {advertised: "old"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				receivers := map[string]*receiver{"old": startReceiver(t, 1, 0), "new": startReceiver(t, 2, 0)}
				var oldDown atomic.Bool
				k := startLinkWith(t, func(peer model.Host) DeliverFunc {
					return func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
						if oldDown.Load() && peer.Address == "old" {
							return nil, errLost
						}
						return receivers[peer.Address].inbox.Deliver(ctx, b)
					}
				}, false)
				send(t, k, 0, 10)
				UpdateAddress(k.Find, "h2", tt.advertised)
				time.Sleep(time.Second)
				oldDown.Store(tt.oldDown)
				send(t, k, 10, 10)
				UpdateAddress(k.Find, "h2", "new")
				time.Sleep(time.Second)
				stop(k)
				for _, r := range receivers {
					stop(r.kernel)
				}
				if got := receivers["new"].received; !slices.Equal(got, tt.want) {
					t.Errorf("the new process accepted %v, want %v", got, tt.want)
				}
			})
		})
	}
}
