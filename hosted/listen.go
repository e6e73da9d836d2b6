package hosted

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/kernel"
)

const (
	headerTimeout      = 3 * time.Second         // to read the header of a request
	bodyTimeout        = 30 * time.Second        // to read a whole request
	idleTimeout        = 2 * time.Minute         // of a keep-alive connection
	gateDepth          = 1024                    // requests of connections for room, see package intake
	balancerNoticeTime = 2300 * time.Millisecond // in which a balancer that polls each second sees twice that a host isn't ready
	answerReserve      = 900 * time.Millisecond  // part of the grace, to write the last responses and end the process
	stopReserve        = 400 * time.Millisecond  // part of the grace, to end the process
)

// MaxHeaderBytes bounds the header of a request.
const MaxHeaderBytes = 16 << 10

// Listener is an address on which a host accepts HTTP requests.
type Listener struct {
	Name    string // of its service
	Address string
	Handle  Handle
	Callers bool // it is drained before the host stops
}

// Listen registers the service of a listener. Listeners stop before the services that they use.
func (h *Host) Listen(l Listener) error {
	var server *http.Server
	var closer listenerCloser
	var open, conns atomic.Int64
	gate := intake.New(h.Settings.intakeLimits(l.Name), h.clientsClosed(l.Name))
	return h.Kernel.Register(kernel.Service{
		Name:  l.Name,
		Depth: gateDepth,
		Every: intake.SweepInterval,
		Start: func(t *kernel.Task) error {
			handler, err := l.Handle(t.Find)
			if err != nil {
				return err
			}
			listener, err := t.Env.Listen(t.Context(), "tcp", l.Address)
			if err != nil {
				return err
			}
			closer = listenerCloser{listener: listener, onError: func(err error) { h.Log.At(events.ListenerCloses).Str("Address", l.Address).Err(err).Send() }}
			server = newServer(gate.Handler(countOpen(handler, &open)))
			server.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
				return gate.ConnContext(withConn(ctx, c), c)
			}
			server.ConnState = func(c net.Conn, state http.ConnState) {
				countConn(&conns, state)
				gate.ConnState(c, state)
			}
			bounded, err := gate.Listener(listener, t.Self)
			if err != nil {
				return err
			}
			t.Go(func(context.Context) { _ = server.Serve(bounded) })
			return nil
		},
		Handle: func(t *kernel.Task, msg any) { gate.Handle(msg, t.Env.Now()) },
		Tick:   func(t *kernel.Task) { gate.Sweep(t.Env.Now()) },
		Drain: func(t *kernel.Task) bool {
			now := t.Env.Now()
			return !l.Callers || (h.drain(now, &closer, open.Load, conns.Load()) && closer.drainConns(now, server, conns.Load()))
		},
		Stop: func(t *kernel.Task) { shutDownServer(t, server) },
	})
}

// drain closes a listener for callers, and reports whether it is closed and its connections may be
// closed: balancers send no new ones, no request is open, and no caller keeps a connection on which it
// may be sending a request. Each response asks the caller to close its connection; for idle connections
// the host waits as long as the grace permits. Once drain returns true, requests are refused.
func (h *Host) drain(now time.Time, closer *listenerCloser, open func() int64, conns int64) bool {
	stopping := now.Sub(time.Unix(0, h.stopBeganAt.Load()))
	if stopping < balancerNoticeTime {
		return false
	}
	awaitConns := conns > 0 && stopping < h.Settings.Grace-answerReserve-stopReserve
	busy := awaitConns || open() > 0
	if (busy && !closer.closing()) || !closer.close(now) || busy {
		return false
	}
	h.closing.Store(true)
	if open() > 0 {
		h.closing.Store(false) // a request arrived in between
		return false
	}
	return true
}

func countConn(conns *atomic.Int64, state http.ConnState) {
	switch state {
	case http.StateNew:
		conns.Add(1)
	case http.StateClosed, http.StateHijacked:
		conns.Add(-1)
	}
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    MaxHeaderBytes,
	}
}

func countOpen(next http.Handler, open *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// shutDownServer stops a server after the responses that are being written.
func shutDownServer(t *kernel.Task, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), stopReserve/2)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}
