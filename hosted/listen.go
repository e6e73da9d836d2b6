package hosted

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

const (
	headerTimeout  = 3 * time.Second  // to read the head of a request
	bodyTimeout    = 30 * time.Second // to read a whole request
	idleTimeout    = 2 * time.Minute  // of a kept connection
	maxHeaderBytes = 16 << 10
	noticeTime     = 2300 * time.Millisecond // in which a balancer that asks each second notices twice that a host isn't ready
	answerReserve  = 900 * time.Millisecond  // of the grace, to write the last answers and end the process
	stopReserve    = 400 * time.Millisecond  // of the grace, to end the process
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
	var open atomic.Int64
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
			server = newServer(counting(handler, &open))
			t.Go(func(context.Context) { _ = server.Serve(listener) })
			return nil
		},
		Handle: func(*kernel.Task, any) {},
		Drain: func(t *kernel.Task) bool {
			return !l.Callers || h.drained(t.Env.Now(), open.Load())
		},
		Stop: func(t *kernel.Task) { shutDown(t, server) },
	})
}

// drained tells whether a listener for callers may close: no balancer sends new
// connections any more and no request is open.
func (h *Host) drained(now time.Time, open int64) bool {
	return open == 0 && now.Sub(time.Unix(0, h.stopAt.Load())) >= noticeTime
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

func counting(next http.Handler, open *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		open.Add(1)
		defer open.Add(-1)
		next.ServeHTTP(w, r)
	})
}

// shutDown lets answers that are being written go out.
func shutDown(t *kernel.Task, server *http.Server) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(t.Context()), stopReserve/2)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}
