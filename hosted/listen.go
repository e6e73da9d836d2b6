package hosted

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/kernel"
)

const (
	headerTimeout      = 3 * time.Second  // to read the head of a request
	bodyTimeout        = 30 * time.Second // to read a whole request
	idleTimeout        = 2 * time.Minute  // of a kept connection
	maxHeaderBytes     = 16 << 10
	balancerNoticeTime = 2300 * time.Millisecond // in which a balancer that asks each second notices twice that a host isn't ready
	answerReserve      = 900 * time.Millisecond  // of the grace, to write the last answers and end the process
	stopReserve        = 400 * time.Millisecond  // of the grace, to end the process
)

// Listener is one address on which a host takes requests.
type Listener struct {
	Name    string // of its service
	Address string
	Handle  Handle
	Callers bool // it drains before the host stops
}

// Listen registers a listener. Listeners stop before the services that they use.
func (h *Host) Listen(l Listener) error {
	var server *http.Server
	var front listenerCloser
	var open, conns atomic.Int64
	return h.Kernel.Register(kernel.Service{
		Name:  l.Name,
		Depth: 1,
		Start: func(t *kernel.Task) error {
			handler, err := l.Handle(t.Find)
			if err != nil {
				return err
			}
			listener, err := t.Env.Listen(t.Context(), "tcp", l.Address)
			if err != nil {
				return err
			}
			front = listenerCloser{listener: listener, onError: func(err error) { h.Log.At(events.ListenerCloses).Str("Address", l.Address).Err(err).Send() }}
			server = newServer(countOpen(handler, &open))
			server.ConnContext = withConn
			server.ConnState = func(_ net.Conn, state http.ConnState) { countConn(&conns, state) }
			t.Go(func(context.Context) { _ = server.Serve(listener) })
			return nil
		},
		Handle: func(*kernel.Task, any) {},
		Drain: func(t *kernel.Task) bool {
			now := t.Env.Now()
			return !l.Callers || (h.drained(now, &front, open.Load, conns.Load()) && front.drainConns(now, server, conns.Load()))
		},
		Stop: func(t *kernel.Task) { shutDownServer(t, server) },
	})
}

// drained tells whether a listener for callers is closed and their connections
// may be: no balancer sends new ones any more, no request is open, and no caller
// keeps a connection on which it could send one at this moment. Callers are told
// to close theirs with each answer; for one that isn't used the host waits as long
// as it may. From then on requests are refused.
func (h *Host) drained(now time.Time, front *listenerCloser, open func() int64, conns int64) bool {
	stopping := now.Sub(time.Unix(0, h.stopBeganAt.Load()))
	if stopping < balancerNoticeTime {
		return false
	}
	kept := conns > 0 && stopping < h.Settings.Grace-answerReserve-stopReserve
	busy := kept || open() > 0
	if (busy && !front.closing()) || !front.close(now) || busy {
		return false
	}
	h.closing.Store(true)
	if open() > 0 {
		h.closing.Store(false) // a request came in between
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
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func countOpen(next http.Handler, open *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// shutDown lets answers that are being written go out.
func shutDownServer(t *kernel.Task, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), stopReserve/2)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}
