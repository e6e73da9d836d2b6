package kernel

import (
	"context"
	"slices"
	"sync"
)

// Kernel holds the services of one process by name.
type Kernel struct {
	Report func(err error) // receives each panic of a service

	env    Env
	mu     sync.RWMutex
	tasks  map[string]*Task
	order  []*Task
	failed chan struct{}
	once   sync.Once
	err    error
}

// Option changes a kernel under construction.
type Option func(*Kernel)

// WithEnv sets the clock, random numbers and sockets that services see.
func WithEnv(env Env) Option {
	return func(k *Kernel) { k.env = env }
}

// WithReport sets the function that receives each panic of a service.
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

// Register adds a service, which Start will run. It returns a DuplicateError
// when the name is taken.
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

// add makes the task of a service known by its name.
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
	k.tasks[s.Name] = t
	return t, nil
}

// Find returns the service of that name, or an UnknownError.
func (k *Kernel) Find(name string) (Ref, error) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	t, ok := k.tasks[name]
	if !ok {
		return Ref{}, &UnknownError{Service: name}
	}
	return t.Self, nil
}

// Start runs the services in the order of their registration. When one does
// not start, those before it are stopped and its StartError is returned.
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

// Stop ends the services in reverse order, each after it has drained, with those
// that are launched meanwhile. Once the context ends, the rest stop without
// draining.
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

// Failed is closed when a service has failed for good; Err then tells why.
func (k *Kernel) Failed() <-chan struct{} {
	return k.failed
}

// Err returns why the kernel failed, or nil.
func (k *Kernel) Err() error {
	select {
	case <-k.failed:
		return k.err
	default:
		return nil
	}
}

// Fail takes the process down with this error: Failed is closed and Err returns
// the first error.
func (k *Kernel) Fail(err error) {
	k.once.Do(func() {
		k.err = err
		close(k.failed)
	})
}

func (t *Task) stop(ctx context.Context) {
	close(t.stopping)
	select {
	case <-t.ended:
	case <-ctx.Done():
		t.cancel()
		<-t.ended
	}
}
