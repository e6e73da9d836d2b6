package front

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
)

const (
	headerTimeout  = 5 * time.Second  // to read the header of a request
	bodyTimeout    = 30 * time.Second // to read a complete request
	writeTimeout   = 30 * time.Second // to write an answer once it is available
	idleTimeout    = 2 * time.Minute  // of a keep-alive connection
	maxHeaderBytes = 16 << 10
	maxWait        = 15 * time.Minute // for the answer to a request
	drainDelay     = time.Second      // for the load balancer to detect that the host is not ready
)

// Front is the HTTP server of one host.
type Front struct {
	Self        model.Host
	Hosts       []model.Host // all entry hosts
	Address     string
	Limits      config.Limits
	MaxLease    time.Duration // maximum lease of a backend server
	StopTimeout time.Duration // for requests in flight at shutdown
	Metrics     *metric.Set
	Intake      intake.Limits       // of the listener
	OnClosed    func(intake.Closed) // called about connections that the listener closed, nil for none

	jobs   kernel.Ref
	group  kernel.Ref
	lists  kernel.Ref
	self   kernel.Ref
	mailer *peers.Mailer
	server *http.Server
	gate   *intake.Gate

	ready         atomic.Bool
	notReadySince time.Time
}

// Service returns the front as a service with a mailbox for depth messages. It owns the
// listener and broadcasts messages about backend servers.
func (f *Front) Service(depth int) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServiceFront,
		Depth: depth,
		Every: intake.SweepInterval,
		Start: f.start,
		Handle: func(t *kernel.Task, msg any) {
			if !f.gate.Handle(msg, t.Env.Now()) {
				f.forward(msg.(broadcast))
			}
		},
		Tick:  func(t *kernel.Task) { f.gate.Sweep(t.Env.Now()) },
		Drain: f.drain,
		Stop:  func(*kernel.Task) { f.close() },
	}
}

// drain makes the host not ready. It returns true once the load balancer has had drainDelay to
// detect that.
func (f *Front) drain(t *kernel.Task) bool {
	now := t.Env.Now()
	if f.ready.Swap(false) {
		f.notReadySince = now
	}
	return now.Sub(f.notReadySince) >= drainDelay
}

func (f *Front) start(t *kernel.Task) error {
	if err := f.connect(t); err != nil {
		return err
	}
	l, err := t.Env.Listen(t.Context(), "tcp", f.Address)
	if err != nil {
		return err
	}
	f.gate = intake.New(f.Intake, f.OnClosed)
	bounded, err := f.gate.Listener(l, t.Self)
	if err != nil {
		return err
	}
	f.server = f.newServer()
	f.server.Handler = f.gate.Handler(f.server.Handler)
	f.server.ConnContext, f.server.ConnState = f.gate.ConnContext, f.gate.ConnState
	f.ready.Store(true)
	t.Go(func(context.Context) { _ = f.server.Serve(bounded) })
	return nil
}

func (f *Front) connect(t *kernel.Task) error {
	var err error
	f.self = t.Self
	f.mailer = peers.NewMailer(f.Self.Name, t.Find)
	for name, ref := range map[string]*kernel.Ref{
		msgs.ServiceJobs:  &f.jobs,
		msgs.ServiceGroup: &f.group,
		msgs.ServiceLists: &f.lists,
	} {
		if *ref, err = t.Find(name); err != nil {
			return err
		}
	}
	return nil
}

func (f *Front) newServer() *http.Server {
	return &http.Server{
		Handler:           http.MaxBytesHandler(f.routes(), int64(f.Limits.BodyBytes)),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (f *Front) close() {
	ctx, cancel := context.WithTimeout(context.Background(), f.StopTimeout)
	defer cancel()
	_ = f.server.Shutdown(ctx)
	_ = f.server.Close()
}

func (f *Front) routes() *echo.Echo {
	e := echo.New()
	e.HideBanner = true
	e.HTTPErrorHandler = f.routeError
	e.POST("/v1/sessions", f.openSession)
	e.POST("/v1/jobs", f.submit)
	e.GET("/v1/jobs/:job", f.fetch)
	e.POST("/v1/cancel", f.cancel)
	e.POST("/v1/backends/announce", f.announce)
	e.POST("/v1/backends/leave", f.leave)
	e.GET("/v1/lists/history", f.history)
	e.GET("/v1/lists/:list", f.getList)
	e.PUT("/v1/lists/:list", f.putList)
	e.GET("/v1/status", f.status)
	e.GET("/v1/customers/:customer/explain", f.explain)
	e.GET("/healthz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	e.GET("/readyz", f.readyz)
	e.GET("/metrics", echo.WrapHandler(f.Metrics.Handler()))
	return e
}
