package daemon

import (
	"dogwoodrock.example/dogwoodrock/calls"
	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/front"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// Host is one entry host: its settings and the services built from them.
type Host struct {
	Settings config.Settings
	Kernel   *kernel.Kernel
	Log      events.Logger
	Metrics  *metric.Set

	env        kernel.Env
	self       model.Host
	hosts      []model.Host // all entry hosts, including this one
	usedBefore bool         // the data folder held the mark file or a state of the lists group when the process started
}

// Option configures a Host in New.
type Option func(*Host)

// WithEnv sets the clock, the random source and the network of the services.
func WithEnv(env kernel.Env) Option {
	return func(h *Host) { h.env = env }
}

// WithLog sets the logger of the events. The default discards them.
func WithLog(log events.Logger) Option {
	return func(h *Host) { h.Log = log }
}

// New builds the services of a host and registers them with its Kernel, which the
// caller starts. It fails if the data folder can't be opened or read.
func New(s config.Settings, opts ...Option) (*Host, error) {
	h := &Host{Settings: s, Log: events.Nop(), Metrics: metric.New(), env: kernel.SystemEnv()}
	for _, opt := range opts {
		opt(h)
	}
	h.Kernel = kernel.New(kernel.WithEnv(h.env), kernel.WithReport(h.logPanic))
	h.addHosts()
	services, err := h.services()
	if err != nil {
		return nil, err
	}
	for _, svc := range services {
		if err := h.Kernel.Register(svc); err != nil {
			return nil, err
		}
	}
	return h, nil
}

func (h *Host) addHosts() {
	for _, a := range h.Settings.Hosts {
		host := model.Host{Name: a.Name, DataCentre: a.DataCentre, Address: a.Address}
		if a.Name == h.Settings.Host.Name {
			host.Incarnation = h.env.Random()
			h.self = host
		}
		h.hosts = append(h.hosts, host)
	}
}

// services returns the services in start order. They stop in reverse order, so the
// front finishes its requests before the services behind it stop.
func (h *Host) services() ([]kernel.Service, error) {
	depth := h.Settings.Limits.MailboxMessages
	services := []kernel.Service{h.inbox()}
	services = append(services, h.links()...)
	keeper, err := h.keeper()
	if err != nil {
		return nil, err
	}
	caller := &calls.Caller{Timeout: h.Settings.Timing.TaskTimeout, ResultBytes: h.Settings.Limits.ResultBytes}
	return append(services,
		keeper.Service(depth),
		h.group().Service(depth),
		caller.Service(depth),
		h.runner().Service(depth),
		h.front().Service(depth),
	), nil
}

// members returns the entry hosts of this data centre.
func (h *Host) members() []model.Host {
	var members []model.Host
	for _, host := range h.hosts {
		if host.DataCentre == h.self.DataCentre {
			members = append(members, host)
		}
	}
	return members
}

func (h *Host) dataCentres() []string {
	var names []string
	seen := map[string]bool{}
	for _, host := range h.hosts {
		if !seen[host.DataCentre] {
			names = append(names, host.DataCentre)
		}
		seen[host.DataCentre] = true
	}
	return names
}

func (h *Host) runner() *jobs.Runner {
	t, l := h.Settings.Timing, h.Settings.Limits
	return &jobs.Runner{
		Config: jobs.Config{
			Self:           h.self,
			Hosts:          h.hosts,
			DataCentres:    h.dataCentres(),
			Heartbeat:      t.Heartbeat,
			RequestTimeout: t.CallTimeout,
			MaxJobs:        l.Jobs,
			MaxTasks:       l.JobTasks,
			MaxBody:        l.TaskBodyBytes,
			AloneTimes:     h.aloneTimes(),
		},
		Hooks: h.jobsHooks(),
	}
}

func (h *Host) front() *front.Front {
	return &front.Front{
		Self:        h.self,
		Hosts:       h.hosts,
		Address:     h.Settings.Host.Listen,
		Limits:      h.Settings.Limits,
		MaxLease:    h.Settings.Timing.BackendLease,
		StopTimeout: h.Settings.Timing.ShutdownTimeout,
		Metrics:     h.Metrics,
		Intake:      h.intakeLimits(unreadOfClients),
		OnClosed:    h.clientsClosed(msgs.ServiceFront),
	}
}

// Bytes that the system receives for a connection before the process reads them. Within a round trip of
// 6 ms, 32 KB are 43 Mbit/s. There are many clients and few other hosts.
const (
	unreadOfClients = 32 << 10
	unreadOfHosts   = 128 << 10
)

// intakeLimits returns the limits for the clients of a listener.
func (h *Host) intakeLimits(unread int) intake.Limits {
	l := h.Settings.Limits
	all := int64(l.BodyBytes) * int64(l.Bodies)
	return intake.Limits{Conns: l.Connections, BodyBytes: int64(l.BodyBytes), AllBodies: all, Contents: all, Unread: unread}
}

// clientsClosed returns the function that counts and logs the connections that a listener has closed.
func (h *Host) clientsClosed(listener string) func(intake.Closed) {
	return func(c intake.Closed) {
		h.Metrics.ClientsClosed.WithLabelValues(listener, c.Reason.String()).Add(float64(c.Count))
		h.Log.At(events.ClientsClosed).Str("Listener", listener).Stringer("Reason", c.Reason).Int64("Count", c.Count).
			Int("Connections", c.Conns).Int64("Bytes", c.Bytes).Send()
	}
}
