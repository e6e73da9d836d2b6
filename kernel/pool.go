package kernel

import "sync"

// maxIdle is the number of goroutines that a task keeps for further calls.
const maxIdle = 64

// pool runs the calls of one task in goroutines that are kept for further calls: a new
// goroutine starts with a small stack, which a call has to grow several times.
type pool struct {
	children *sync.WaitGroup

	mu     sync.Mutex
	idle   []chan func() // of the goroutines that wait, the last one to do so last
	closed bool
}

// run runs f in a goroutine.
func (p *pool) run(f func()) {
	p.mu.Lock()
	n := len(p.idle)
	if n == 0 {
		p.mu.Unlock()
		p.children.Go(func() { p.work(f) })
		return
	}
	next := p.idle[n-1]
	p.idle = p.idle[:n-1]
	p.mu.Unlock()
	next <- f
}

// work runs f and what the goroutine is given afterwards, until no more is needed.
func (p *pool) work(f func()) {
	next := make(chan func(), 1)
	for {
		f()
		if !p.wait(next) {
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
func (p *pool) wait(next chan func()) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdle {
		return false
	}
	p.idle = append(p.idle, next)
	return true
}

// close ends the goroutines that wait, and lets the others end after their calls.
func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, next := range p.idle {
		close(next)
	}
	p.idle = nil
}
