package kernel

import (
	"context"
	"slices"
	"sync"
)

// Kernel holds the services of one process by name.
type Kernel struct {
	Report func(err error) // receives each PanicError; several tasks may call it at the same time

	env    Env
	mu     sync.RWMutex
	tasks  map[string]*Task
	order  []*Task
	failed chan struct{}
	once   sync.Once
	err    error
}

// Option configures a Kernel.
type Option func(*Kernel)

// WithEnv sets the clock, random numbers and sockets that services use.
func WithEnv(env Env) Option {
	return func(k *Kernel) { k.env = env }
}

// WithReport sets the function that receives a PanicError for each panic of a service.
func WithReport(report func(err error)) Option {
	return func(k *Kernel) { k.Report = report }
}

// New returns a kernel without services.
func New(opts ...Option) *Kernel {
	k := &Kernel{
		Report: func(error) {},
		env:    SystemEnv(),
		tasks:  map[string]*Task{},
		failed: make(chan struct{}),
	}
	for _, opt := range opts {
		opt(k)
	}
	return k
}

// Register adds a service for Start to run. It returns a DuplicateError if the
// name is already registered.
func (k *Kernel) Register(s Service) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	t, err := k.add(s)
	if err != nil {
		return err
	}
	k.order = append(k.order, t)
	return nil
}

// add creates the task of a service and registers it by name.
func (k *Kernel) add(s Service) (*Task, error) {
	if _, exists := k.tasks[s.Name]; exists {
		return nil, &DuplicateError{Service: s.Name}
	}
	s.Depth = max(s.Depth, 1)
	t := &Task{
		Env:      k.env,
		Self:     Ref{box: newMailbox(s.Name, s.Depth)},
		kernel:   k,
		service:  s,
		stopping: make(chan struct{}),
		ended:    make(chan struct{}),
	}
	t.pool.children = &t.children
	k.tasks[s.Name] = t
	return t, nil
}

// Find returns a reference to the service of that name, or an UnknownError.
func (k *Kernel) Find(name string) (Ref, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	t, ok := k.tasks[name]
	if !ok {
		return Ref{}, &UnknownError{Service: name}
	}
	return t.Self, nil
}

// Start starts the services in the order of their registration. If one fails to
// start, Start stops those before it and returns its StartError.
func (k *Kernel) Start(ctx context.Context) error {
	tasks := k.registered()
	for i, t := range tasks {
		if err := t.launch(ctx); err != nil {
			for _, started := range slices.Backward(tasks[:i]) {
				started.stop(ctx)
			}
			return err
		}
	}
	return nil
}

// Stop stops the services in reverse order, including those launched meanwhile.
// Each is drained first, until the context ends; the rest stop without draining.
func (k *Kernel) Stop(ctx context.Context) {
	stopped := map[*Task]bool{}
	for {
		remaining := slices.DeleteFunc(k.registered(), func(t *Task) bool { return stopped[t] })
		if len(remaining) == 0 {
			return
		}
		last := remaining[len(remaining)-1]
		stopped[last] = true
		last.stop(ctx)
	}
}

// registered returns the tasks in the order of their registration.
func (k *Kernel) registered() []*Task {
	k.mu.RLock()
	defer k.mu.RUnlock()
	return slices.Clone(k.order)
}

// Failed returns a channel that is closed on the first fatal error, which Err then returns.
func (k *Kernel) Failed() <-chan struct{} {
	return k.failed
}

// Err returns the fatal error passed to Fail, or nil.
func (k *Kernel) Err() error {
	select {
	case <-k.failed:
		return k.err
	default:
		return nil
	}
}

// Fail reports a fatal error, on which the process must end: it closes Failed, and
// Err returns the first such error.
func (k *Kernel) Fail(err error) {
	k.once.Do(func() {
		k.err = err
		close(k.failed)
	})
}

// stop drains the task and waits until it has ended. It skips the draining once the
// context ends.
func (t *Task) stop(ctx context.Context) {
	close(t.stopping)
	select {
	case <-t.ended:
	case <-ctx.Done():
		t.cancel()
		<-t.ended
	}
}
