package kernel

import (
	"context"
	"sync"
	"time"
)

// Service describes one task. All functions run in the goroutine of the task, so
// the state they share needs no lock. Only Handle is required.
type Service struct {
	Name     string
	Depth    int           // maximum of queued requests, at least 1
	Every    time.Duration // initial interval between calls of Tick, 0 for none
	Restarts int           // maximum number of restarts after a panic

	Start  func(t *Task) error    // initializes state and sockets, also after a panic
	Handle func(t *Task, msg any) // handles one message
	Tick   func(t *Task)          // called at each interval
	Pace   func() time.Duration   // current interval of Tick, above 0; called after messages were handled
	Drain  func(t *Task) bool     // polled during a graceful stop, returns true when the service may stop
	Stop   func(t *Task)          // releases sockets
}

// Task is a running service, passed to the functions of its Service.
type Task struct {
	Env  Env
	Self Ref

	kernel   *Kernel
	service  Service
	ctx      context.Context
	cancel   context.CancelFunc
	children sync.WaitGroup
	pool     pool // of the goroutines that run the calls
	stopping chan struct{}
	ended    chan struct{}
	panics   int
}

// Find returns a reference to the service of that name, or an UnknownError.
func (t *Task) Find(name string) (Ref, error) {
	return t.kernel.Find(name)
}

// Context returns a context that is cancelled when the task ends.
func (t *Task) Context() context.Context {
	return t.ctx
}

// Stopping reports whether a graceful stop has begun.
func (t *Task) Stopping() bool {
	select {
	case <-t.stopping:
		return true
	default:
		return false
	}
}

// After sends a message to this service after the duration, unless it has stopped
// by then.
func (t *Task) After(d time.Duration, msg any) {
	time.AfterFunc(d, func() { t.Self.Reply(msg) })
}

// Fail reports a fatal error, on which the whole process must end.
func (t *Task) Fail(err error) {
	t.kernel.Fail(err)
}

// Go runs child in a goroutine, where it may block on a socket. The child sends its
// results as messages and must return soon after its context ends, since the task
// waits for it. A panic of the child is reported and fatal.
func (t *Task) Go(child func(ctx context.Context)) {
	t.children.Go(func() {
		defer func() {
			if v := recover(); v != nil {
				t.Fail(t.reportPanic(v))
			}
		}()
		child(t.ctx)
	})
}

// Call runs call in a child, where it may block on a socket and must return soon after its
// context ends, and sends its result to this service. If call panics, the panic is reported
// and the service gets the result of failed instead: an answer that nothing foresaw doesn't
// end the process, and the service doesn't wait for ever.
func (t *Task) Call(call func(ctx context.Context) any, failed func(err error) any) {
	t.pool.run(func() { t.Self.Reply(t.protect(t.ctx, call, failed)) })
}

func (t *Task) protect(ctx context.Context, call func(ctx context.Context) any, failed func(err error) any) (result any) {
	defer func() {
		if v := recover(); v != nil {
			result = failed(t.reportPanic(v))
		}
	}()
	return call(ctx)
}
