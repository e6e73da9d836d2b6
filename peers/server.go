package peers

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	inboxDepth      = 1024             // batches that wait to be passed on
	maxRequestBytes = 64 << 20         // of one batch on the wire
	headerTimeout   = 5 * time.Second  // to read the head of a call
	readTimeout     = 30 * time.Second // to read a whole call
	idleTimeout     = 2 * time.Minute
	dialTimeout     = 250 * time.Millisecond // a hundred round trips of a region; the system itself goes on for minutes
)

// Endpoint is the generated twirp server's view of the inbox.
type Endpoint struct {
	inbox   kernel.Ref
	timeout time.Duration
}

// Deliver takes one batch from another host.
func (e *Endpoint) Deliver(ctx context.Context, batch *wire.Batch) (*wire.Receipt, error) {
	ctx, cancel := context.WithTimeout(ctx, e.timeout)
	defer cancel()
	receipt, err := kernel.Ask(ctx, e.inbox, func(reply func(*wire.Receipt)) any {
		return incoming{batch: batch, reply: reply}
	})
	if err != nil {
		return nil, twirp.NewError(twirp.Unavailable, err.Error())
	}
	return receipt, nil
}

// Service returns the inbox as a service that owns the listener for other hosts.
func (b *Inbox) Service(address string, timeout time.Duration) kernel.Service {
	var server *http.Server
	return kernel.Service{
		Name:  msgs.ServicePeers,
		Depth: inboxDepth,
		Start: func(t *kernel.Task) error {
			b.Find = t.Find
			b.senders = map[string][]*sender{}
			l, err := t.Env.Listen(t.Context(), "tcp", address)
			if err != nil {
				return err
			}
			server = newServer(&Endpoint{inbox: t.Self, timeout: timeout})
			t.Go(func(context.Context) { _ = server.Serve(countedListener{Listener: l, sent: b.OnSent}) })
			return nil
		},
		Handle: func(_ *kernel.Task, msg any) { b.handle(msg.(incoming)) },
		Stop:   func(*kernel.Task) { _ = server.Close() },
	}
}

func newServer(e *Endpoint) *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(trimHeaders(wire.NewPeerServer(e)), maxRequestBytes),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// bareHead leaves out the date and the content type, which no host reads.
func trimHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(trimmedWriter{w}, r)
	})
}

// bareWriter leaves the content type out of an answer.
type trimmedWriter struct{ http.ResponseWriter }

// WriteHeader sends the head of the answer.
func (w trimmedWriter) WriteHeader(status int) {
	w.Header()["Content-Type"] = nil // which also keeps net/http from adding one
	w.ResponseWriter.WriteHeader(status)
}

// Dialer returns the Deliver of a link over twirp, with connections of its own.
func DialTwirp(env kernel.Env, peer model.Host) DeliverFunc {
	client := &http.Client{Transport: &http.Transport{
		DialContext:         DialWithTimeout(env.Dial, dialTimeout),
		MaxConnsPerHost:     1,
		MaxIdleConnsPerHost: 1,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
	deliver := wire.NewPeerProtobufClient("http://"+peer.Address, trimmedClient{client}).Deliver
	return func(ctx context.Context, batch *wire.Batch) (*wire.Receipt, error) {
		ctx, err := twirp.WithHTTPRequestHeaders(ctx, http.Header{"User-Agent": {""}})
		if err != nil {
			return nil, err
		}
		return deliver(ctx, batch)
	}
}

// bareClient leaves out what no host reads in the head of a call.
type trimmedClient struct{ *http.Client }

// Do sends a call.
func (c trimmedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	return c.Client.Do(r)
}

func envelopeSize(e *wire.Envelope) int {
	return proto.Size(e)
}
