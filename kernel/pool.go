package kernel

import "sync"

// maxIdleWorkers is the number of goroutines that a task keeps for further calls.
const maxIdleWorkers = 64

// workers runs the calls of one task in goroutines that are kept for further calls: a new
// goroutine starts with a small stack, which a call has to grow several times.
type workers struct {
	children *sync.WaitGroup

	mu     sync.Mutex
	idle   []chan func() // of the goroutines that wait, the last one to do so last
	closed bool
}

// run runs f in a goroutine.
func (w *workers) run(f func()) {
	w.mu.Lock()
	n := len(w.idle)
	if n == 0 {
		w.mu.Unlock()
		w.children.Go(func() { w.work(f) })
		return
	}
	next := w.idle[n-1]
	w.idle = w.idle[:n-1]
	w.mu.Unlock()
	next <- f
}

// work runs f and what the goroutine is given afterwards, until no more is needed.
func (w *workers) work(f func()) {
	next := make(chan func(), 1)
	for {
		f()
		if !w.wait(next) {
			return
		}
		more, ok := <-next
		if !ok {
			return
		}
		f = more
	}
}

// wait adds a goroutine to the idle ones, unless there are enough or the task ends.
func (w *workers) wait(next chan func()) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || len(w.idle) >= maxIdleWorkers {
		return false
	}
	w.idle = append(w.idle, next)
	return true
}

// close ends the goroutines that wait, and lets the others end after their calls.
func (w *workers) close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, next := range w.idle {
		close(next)
	}
	w.idle = nil
}
