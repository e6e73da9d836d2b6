package kernel

import (
	"fmt"
	"runtime/debug"
	"time"
)

// drainPollInterval is how often a draining task without messages polls Drain.
const drainPollInterval = 20 * time.Millisecond

// run starts the service, sends the result to started and then handles messages
// until the service has drained, has panicked too often or has failed to restart.
func (t *Task) run(started chan<- error) {
	defer close(t.ended)
	err := t.start()
	started <- err
	if err != nil {
		return
	}
	for !t.serve() {
		t.panics++
		if t.panics > t.service.Restarts {
			break
		}
		if err := t.start(); err != nil {
			t.Fail(err)
			break
		}
	}
	t.release()
}

func (t *Task) start() error {
	if t.service.Start == nil {
		return nil
	}
	if err := t.service.Start(t); err != nil {
		return &StartError{Service: t.service.Name, Cause: err}
	}
	return nil
}

// serve handles messages. It returns true after a stop and false after a panic.
func (t *Task) serve() (stopped bool) {
	defer t.recover(&stopped)
	ticks := t.newTicks()
	defer ticks.stop()
	for {
		t.handleAll()
		if t.Stopping() && t.drained() {
			return true
		}
		if t.service.Pace != nil && ticks.setInterval(t.service.Pace()) {
			t.tick(ticks)
			continue
		}
		t.await(ticks)
	}
}

// recover reports a panic of the service. The panic is fatal if no restarts are left.
func (t *Task) recover(stopped *bool) {
	v := recover()
	if v == nil {
		return
	}
	*stopped = false
	err := t.reportPanic(v)
	if t.panics >= t.service.Restarts {
		t.Fail(err)
	}
}

// reportPanic reports the value of a panic of the service or of one of its children.
func (t *Task) reportPanic(v any) error {
	err := &PanicError{Service: t.service.Name, Value: fmt.Sprint(v), Stack: string(debug.Stack())}
	t.kernel.Report(err)
	return err
}

// ticks schedules Tick. It uses a ticker because resetting a timer for each
// interval would wake another thread.
type ticks struct {
	ticker   *time.Ticker // nil without ticks
	interval time.Duration
	last     time.Time
}

func (t *Task) newTicks() *ticks {
	every := t.service.Every
	if t.service.Tick == nil || every <= 0 {
		return &ticks{}
	}
	return &ticks{ticker: time.NewTicker(every), interval: every, last: time.Now()}
}

// setInterval changes the interval and reports whether Tick is already due by the new one.
func (k *ticks) setInterval(interval time.Duration) bool {
	if k.ticker == nil || interval == k.interval {
		return false
	}
	k.interval = interval
	k.ticker.Reset(interval)
	return time.Since(k.last) >= interval
}

func (k *ticks) due() <-chan time.Time {
	if k.ticker == nil {
		return nil
	}
	return k.ticker.C
}

func (k *ticks) stop() {
	if k.ticker != nil {
		k.ticker.Stop()
	}
}

func (t *Task) tick(k *ticks) {
	k.last = time.Now()
	t.service.Tick(t)
}

// handleAll handles the queued messages, at most Depth of them, so that ticks aren't
// delayed under load.
func (t *Task) handleAll() {
	for range t.service.Depth {
		msg, ok := t.Self.box.take()
		if !ok {
			return
		}
		t.service.Handle(t, msg)
	}
	signal(t.Self.box.ready)
}

// await blocks until there is a message, a tick or a stop.
func (t *Task) await(ticks *ticks) {
	if t.Stopping() {
		t.awaitDrain(ticks)
		return
	}
	select {
	case <-t.Self.box.ready:
	case <-ticks.due():
		t.tick(ticks)
	case <-t.stopping:
	case <-t.ctx.Done():
	}
}

func (t *Task) awaitDrain(ticks *ticks) {
	timer := time.NewTimer(drainPollInterval)
	defer timer.Stop()
	select {
	case <-t.Self.box.ready:
	case <-ticks.due():
		t.tick(ticks)
	case <-timer.C:
	case <-t.ctx.Done():
	}
}

// drained reports whether the task may end, and closes its mailbox if so. Drain is
// skipped once the context has ended.
func (t *Task) drained() bool {
	ended := t.ctx.Err() != nil
	if !ended && t.service.Drain != nil && !t.service.Drain(t) {
		return false
	}
	return t.Self.box.closeIfEmpty()
}

// release stops the service and waits for its children.
func (t *Task) release() {
	if t.service.Stop != nil {
		t.service.Stop(t)
	}
	t.cancel()
	t.pool.close()
	t.children.Wait()
}
