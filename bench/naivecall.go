package bench

import (
	"context"
	"net"
	"net/http"
	"time"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/stand"
	"dogwoodrock.example/dogwoodrock/wire"
)

// naiveAttempts is the number of calls of a task before its job fails; see awaitAttempt.
const naiveAttempts = 50

// naiveCaller runs the tasks of jobs for one naive host.
type naiveCaller struct {
	self   kernel.Ref
	client *http.Client
	pause  time.Duration // see WithRetryPause
}

func newNaiveCaller(self kernel.Ref, dial func(context.Context, string, string) (net.Conn, error), pause time.Duration) naiveCaller {
	return naiveCaller{self: self, pause: pause, client: &http.Client{
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: idleConnections},
	}}
}

// run calls backend servers until one completes the task. It reports whether one did.
func (c naiveCaller) run(ctx context.Context, task *wire.Task) (string, bool) {
	for attempt := 0; c.awaitAttempt(ctx, attempt); attempt++ {
		p, err := kernel.Ask(ctx, c.self, func(reply func(pick)) any { return pickMsg{Reply: reply} })
		if err != nil || p.Address == "" {
			return "", false
		}
		r, err := c.call(ctx, p, task)
		if err == nil && r.Status == string(stand.StatusDone) {
			return r.Result, true
		}
	}
	return "", false
}

// awaitAttempt waits for the retry pause, if any, and reports whether to make this attempt. With
// a pause, only ctx limits the number of attempts.
func (c naiveCaller) awaitAttempt(ctx context.Context, attempt int) bool {
	if c.pause == 0 {
		return attempt < naiveAttempts
	}
	return attempt == 0 || sleep(ctx, c.pause) == nil
}

func (c naiveCaller) call(ctx context.Context, p pick, task *wire.Task) (*wire.TaskResult, error) {
	msg := &wire.TaskCall{Task: p.Task, Service: task.Service, Body: task.Body}
	_, data, err := body.Send(ctx, c.client, http.MethodPost, "http://"+p.Address+"/v1/tasks", nil, msg)
	if err != nil {
		return nil, err
	}
	var r wire.TaskResult
	return &r, body.Decode(data, &r)
}
