package stand

import (
	"context"
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

// Group runs several stand-ins in one process.
type Group struct {
	kernel *kernel.Kernel
	names  []string
}

// Option changes a stand-in under construction.
type Option func(*server)

// WithMisbehaviour makes the stand-in misbehave.
func WithMisbehaviour(changes ...Misbehaviour) Option {
	return func(s *server) {
		for _, change := range changes {
			change(&s.behaviour)
		}
	}
}

// WithDie sets what is called before a dying stand-in drops its connections.
func WithCrashHook(die func()) Option {
	return func(s *server) { s.onCrash = die }
}

// WithObserver sets what hears of each start and end of a task. A start is told
// before the task runs and an end before it is answered.
func WithObserver(observe func(c Call, runs bool)) Option {
	return func(s *server) { s.observe = observe }
}

// NewGroup returns a group without stand-ins.
func NewGroup(opts ...kernel.Option) *Group {
	return &Group{kernel: kernel.New(opts...)}
}

// Add puts a stand-in into a group that hasn't started.
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

// AddMany puts n stand-ins named NAME-1 to NAME-n into the group.
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

// Start opens the sockets and announces the stand-ins.
func (g *Group) Start(ctx context.Context) error {
	return g.kernel.Start(ctx)
}

// Stop leaves, finishes what runs and closes the sockets. Once the context
// ends, the rest stops without finishing.
func (g *Group) Stop(ctx context.Context) {
	for _, name := range g.names {
		if ref, err := g.kernel.Find(serviceName(name)); err == nil {
			ref.Reply(leaveMsg{})
		}
	}
	g.kernel.Stop(ctx)
}

// Kill drops the connections of one stand-in as the end of its process would.
func (g *Group) Kill(name string) error {
	ref, err := g.kernel.Find(serviceName(name))
	if err == nil {
		ref.Reply(crashMsg{})
	}
	return err
}

// Silence has one stand-in announce itself no more; it goes on serving calls.
func (g *Group) StopAnnouncing(name string) error {
	ref, err := g.kernel.Find(serviceName(name))
	if err == nil {
		ref.Reply(stopAnnouncingMsg{})
	}
	return err
}

// Names returns the names of the stand-ins in the order of their addition.
func (g *Group) Names() []string {
	return g.names
}

// Address returns the IP and port of a stand-in.
func (g *Group) Address(ctx context.Context, name string) (string, error) {
	return askByName(ctx, g.kernel, name, func(reply func(string)) any {
		return addressMsg{Reply: reply}
	})
}

// Counts returns what all stand-ins of the group have seen together.
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

// CountsOf returns what one stand-in has seen.
func (g *Group) CountsOf(ctx context.Context, name string) (Counts, error) {
	return askByName(ctx, g.kernel, name, func(reply func(Counts)) any {
		return countsMsg{Reply: reply}
	})
}
