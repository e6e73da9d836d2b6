package stand

import (
	"context"
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Group runs several stand-in servers in one process.
type Group struct {
	kernel *kernel.Kernel
	names  []string
}

// Option configures a stand-in server before it starts.
type Option func(*server)

// WithMisbehaviour applies the given changes to the behaviour of the server.
func WithMisbehaviour(changes ...Misbehaviour) Option {
	return func(s *server) {
		for _, change := range changes {
			change(&s.behaviour)
		}
	}
}

// WithCrashHook sets a function to call before a crashing server drops its connections.
func WithCrashHook(hook func()) Option {
	return func(s *server) { s.onCrash = hook }
}

// WithObserver sets a function to call at each start (runs is true) and end of a task. It is
// called before the task runs and again before the call is answered.
func WithObserver(observe func(c Call, runs bool)) Option {
	return func(s *server) { s.observe = observe }
}

// NewGroup returns an empty group.
func NewGroup(opts ...kernel.Option) *Group {
	return &Group{kernel: kernel.New(opts...)}
}

// Add adds a server to a group that has not started.
func (g *Group) Add(cfg Config, opts ...Option) error {
	cfg = cfg.withDefaults()
	s := &server{
		cfg:          cfg,
		onCrash:      func() {},
		observe:      func(Call, bool) {},
		registry:     NewTaskRegistry(cfg.Services, cfg.Slots),
		waitingCalls: map[string][]callMsg{},
		deadlines:    map[string]time.Time{},
		abandoned:    map[string]bool{},
	}
	for _, opt := range opts {
		opt(s)
	}
	if err := g.kernel.Register(s.service()); err != nil {
		return err
	}
	g.names = append(g.names, cfg.Name)
	return nil
}

// AddMany adds n servers named NAME-1 to NAME-n, where NAME is cfg.Name.
func (g *Group) AddMany(cfg Config, n int, opts ...Option) error {
	name := cfg.Name
	for i := range n {
		cfg.Name = fmt.Sprintf("%s-%d", name, i+1)
		if err := g.Add(cfg, opts...); err != nil {
			return err
		}
	}
	return nil
}

// Start opens the sockets and announces the servers.
func (g *Group) Start(ctx context.Context) error {
	return g.kernel.Start(ctx)
}

// Stop releases the leases, waits for running tasks and closes the sockets. Once ctx ends, it
// stops without waiting for the remaining tasks.
func (g *Group) Stop(ctx context.Context) {
	for _, name := range g.names {
		if ref, err := g.kernel.Find(serviceName(name)); err == nil {
			ref.Reply(leaveMsg{})
		}
	}
	g.kernel.Stop(ctx)
}

// Kill crashes one server: it drops all its connections, as if its process had ended.
func (g *Group) Kill(name string) error {
	ref, err := g.kernel.Find(serviceName(name))
	if err == nil {
		ref.Reply(crashMsg{})
	}
	return err
}

// StopAnnouncing stops the announcements of one server. It continues to serve calls.
func (g *Group) StopAnnouncing(name string) error {
	ref, err := g.kernel.Find(serviceName(name))
	if err == nil {
		ref.Reply(stopAnnouncingMsg{})
	}
	return err
}

// Names returns the names of the servers in the order in which they were added.
func (g *Group) Names() []string {
	return g.names
}

// Address returns the IP and port of a server.
func (g *Group) Address(ctx context.Context, name string) (string, error) {
	return askByName(ctx, g.kernel, name, func(reply func(string)) any {
		return addressMsg{Reply: reply}
	})
}

// Counts returns the summed counts of all servers of the group; see Sum.
func (g *Group) Counts(ctx context.Context) (Counts, error) {
	sum := Sum()
	for _, name := range g.names {
		one, err := g.CountsOf(ctx, name)
		if err != nil {
			return Counts{}, err
		}
		sum = Sum(sum, one)
	}
	return sum, nil
}

// CountsOf returns the counts of one server.
func (g *Group) CountsOf(ctx context.Context, name string) (Counts, error) {
	return askByName(ctx, g.kernel, name, func(reply func(Counts)) any {
		return countsMsg{Reply: reply}
	})
}
