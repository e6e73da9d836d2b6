package peers

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/weight"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	inboxDepth     = 1024             // batches that wait to be dispatched
	headerTimeout  = 5 * time.Second  // to read the headers of a call
	readTimeout    = 30 * time.Second // to read a whole call
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 16 << 10

	contentProtobuf = "application/protobuf"

	dialTimeout = 250 * time.Millisecond // a hundred round trips within a region; the system itself tries for minutes
)

// Endpoint implements the Twirp service on top of the inbox.
type Endpoint struct {
	inbox   kernel.Ref
	timeout time.Duration
}

// Deliver passes one batch from another host to the inbox and returns its receipt. It returns the
// Twirp code Unavailable when the inbox is full, has stopped or doesn't answer within the timeout.
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

// Service returns the service that runs the inbox and owns the listener for other hosts.
func (b *Inbox) Service(address string, timeout time.Duration) kernel.Service {
	var server *http.Server
	gate := intake.New(b.Limits, b.OnClosed)
	return kernel.Service{
		Name:  msgs.ServicePeers,
		Depth: inboxDepth,
		Every: intake.SweepInterval,
		Start: func(t *kernel.Task) error {
			b.Find = t.Find
			b.hosts = map[string]*remote{}
			l, err := t.Env.Listen(t.Context(), "tcp", address)
			if err != nil {
				return err
			}
			bounded, err := gate.Listener(countedListener{Listener: l, sent: b.OnSent}, t.Self)
			if err != nil {
				return err
			}
			server = newServer(&Endpoint{inbox: t.Self, timeout: timeout})
			server.Handler = gate.Handler(server.Handler)
			server.ConnContext, server.ConnState = gate.ConnContext, gate.ConnState
			t.Go(func(context.Context) { _ = server.Serve(bounded) })
			return nil
		},
		Handle: func(t *kernel.Task, msg any) {
			if !gate.Handle(msg, t.Env.Now()) {
				b.handle(msg.(incoming), t.Env.Now())
			}
		},
		Tick: func(t *kernel.Task) { gate.Sweep(t.Env.Now()) },
		Stop: func(*kernel.Task) { _ = server.Close() },
	}
}

// batchSchema is the schema of the messages that hosts send.
var batchSchema = weight.SchemaOf(&wire.Batch{})

var weighBatch = intake.WithWeight(func() func(p []byte) int64 { return weight.Message(batchSchema) })

// protobufOnly refuses messages as JSON, which Twirp takes as well and no host sends.
func protobufOnly(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if t := r.Header.Get("Content-Type"); t != contentProtobuf {
			http.Error(w, fmt.Sprintf("messages between hosts have the content type %s, not %.100q", contentProtobuf, t), http.StatusUnsupportedMediaType)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func newServer(e *Endpoint) *http.Server {
	return &http.Server{
		Handler:           intake.Wrap(protobufOnly(trimHeaders(wire.NewPeerServer(e))), weighBatch),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// trimHeaders omits the Date and Content-Type headers of responses, which no host reads.
func trimHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header()["Date"] = nil
		next.ServeHTTP(trimmedWriter{w}, r)
	})
}

// trimmedWriter omits the Content-Type header of a response.
type trimmedWriter struct{ http.ResponseWriter }

// WriteHeader sends the headers of the response.
func (w trimmedWriter) WriteHeader(status int) {
	w.Header()["Content-Type"] = nil // nil prevents net/http from adding the header
	w.ResponseWriter.WriteHeader(status)
}

// DialTwirp returns a DeliverFunc over Twirp that has its own connection to the peer.
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

// trimmedClient omits the request headers that no host reads.
type trimmedClient struct{ *http.Client }

// Do sends a request without its Accept and Twirp-Version headers.
func (c trimmedClient) Do(r *http.Request) (*http.Response, error) {
	r.Header.Del("Accept")
	r.Header.Del("Twirp-Version")
	return c.Client.Do(r)
}

func envelopeSize(e *wire.Envelope) int {
	return proto.Size(e)
}
