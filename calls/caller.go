package calls

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	statusDone       = "Done"
	statusNotStarted = "NotStarted"

	// Time to wait for a result that may arrive on another connection, and for a revocation.
	mismatchGrace = 2 * time.Second
	// Unused connections to a backend server are closed after this time.
	clientIdleTimeout = 2 * time.Minute
	sweepInterval     = 500 * time.Millisecond
)

// Caller owns the connections of this host to the backend servers and sends task calls on them.
type Caller struct {
	Timeout     time.Duration // of one call, connecting included
	ResultBytes int           // maximum size of a task's result

	clients map[string]*client // by address
	calls   map[string]*call   // outstanding, by task
	byGrant map[uint64]*call
	jobs    kernel.Ref
}

// call is an outstanding task call.
type call struct {
	jobs.Call
	digest       uint64
	sentAt       time.Time
	mismatchedAt time.Time // when its connection returned another task's response
	cancel       context.CancelFunc
}

// response is the outcome of one HTTP request for a task call.
type response struct {
	task   string
	sent   bool // the request body was sent, so the task may have started
	result *wire.TaskResult
	err    error
}

// revokeResponse is the outcome of one revocation request. The status is empty if it failed.
type revokeResponse struct {
	task   string
	status string
}

// Service returns the caller as a service.
func (c *Caller) Service(depth int) kernel.Service {
	return kernel.Service{
		Name:   msgs.ServiceCalls,
		Depth:  depth,
		Every:  sweepInterval,
		Start:  c.start,
		Handle: c.handle,
		Tick:   c.tick,
		Drain:  func(*kernel.Task) bool { return len(c.calls) == 0 },
		Stop:   func(*kernel.Task) { c.closeAll() },
	}
}

func (c *Caller) start(t *kernel.Task) error {
	c.clients = map[string]*client{}
	c.calls = map[string]*call{}
	c.byGrant = map[uint64]*call{}
	var err error
	c.jobs, err = t.Find(msgs.ServiceJobs)
	return err
}

func (c *Caller) handle(t *kernel.Task, msg any) {
	switch m := msg.(type) {
	case jobs.Call:
		c.startCall(t, m)
	case jobs.Revoke:
		c.revoke(t, m)
	case response:
		c.handleResponse(t, m)
	case revokeResponse:
		c.handleRevokeResponse(t, m)
	}
}

// startCall sends a call unless the host's lease has expired.
func (c *Caller) startCall(t *kernel.Task, m jobs.Call) {
	now := t.Env.Now()
	k := &call{Call: m, sentAt: now, digest: xxhash.Sum64(m.Body)}
	if !now.Before(m.LeaseExpires) {
		c.endCall(t, k, msgs.ResultNotStarted, nil, "the lease of this entry host has ended")
		return
	}
	c.calls[m.Task] = k
	c.byGrant[m.Grant.ID] = k
	// The job's deadline doesn't cancel the call: the slot stays in use until the backend server
	// reports the task's result.
	ctx, cancel := context.WithTimeout(t.Context(), c.Timeout)
	k.cancel = cancel
	request := newTaskCall(k, now)
	cl := c.clientFor(t, m.Grant)
	t.Call(func(context.Context) any {
		defer cancel()
		return cl.send(ctx, m, request)
	}, func(err error) any { return response{task: m.Task, sent: true, err: err} })
}

func newTaskCall(k *call, now time.Time) *wire.TaskCall {
	body := &wire.TaskCall{
		Task:    k.Task,
		Service: k.Grant.Service,
		Body:    string(k.Body),
		Fence:   k.Grant.Fence,
		Digest:  k.digest,
	}
	if !k.Deadline.IsZero() {
		body.DeadlineMs = uint32(max(k.Deadline.Sub(now).Milliseconds(), 1))
	}
	return body
}

// handleResponse processes the response of one request. A result belongs to the task that it
// names, whichever connection it arrived on.
func (c *Caller) handleResponse(t *kernel.Task, m response) {
	if m.err != nil {
		c.handleFailure(t, m)
		return
	}
	if k, ok := c.calls[m.task]; ok && m.result.GetTask() != m.task {
		k.mismatchedAt = t.Env.Now() // its result may arrive on another connection
	}
	k, ok := c.calls[m.result.GetTask()]
	if !ok {
		return
	}
	if m.result.GetDigest() != k.digest {
		c.endCall(t, k, msgs.ResultUnknown, nil, "the answer is not to this task")
		return
	}
	c.handleResult(t, k, m.result)
}

func (c *Caller) handleResult(t *kernel.Task, k *call, result *wire.TaskResult) {
	switch result.GetStatus() {
	case statusDone:
		if len(result.GetResult()) > c.ResultBytes {
			c.endCall(t, k, msgs.ResultFailed, nil, "the result is too long")
			return
		}
		c.endCall(t, k, msgs.ResultSucceeded, []byte(result.GetResult()), "")
	case statusNotStarted:
		c.endCall(t, k, msgs.ResultNotStarted, nil, result.GetReason())
	default:
		c.endCall(t, k, msgs.ResultFailed, nil, result.GetReason())
	}
}

// handleFailure ends a call whose request failed. The result is unknown if the request was sent.
func (c *Caller) handleFailure(t *kernel.Task, m response) {
	k, ok := c.calls[m.task]
	if !ok {
		return
	}
	result := msgs.ResultUnknown
	if !m.sent {
		result = msgs.ResultNotStarted
	}
	c.endCall(t, k, result, nil, m.err.Error())
}

func (c *Caller) endCall(t *kernel.Task, k *call, result msgs.Result, output []byte, reason string) {
	delete(c.calls, k.Task)
	delete(c.byGrant, k.Grant.ID)
	c.jobs.Reply(jobs.CallEnded{
		Grant:  k.Grant.ID,
		Result: result,
		Output: output,
		Reason: reason,
		Ran:    t.Env.Now().Sub(k.sentAt),
	})
}

// revoke asks the backend server to stop a task. The call stays outstanding until its response
// arrives, or until the response to the revocation shows that the task was not started.
func (c *Caller) revoke(t *kernel.Task, m jobs.Revoke) {
	k, ok := c.byGrant[m.Grant]
	if !ok {
		return
	}
	cl := c.clientFor(t, k.Grant)
	task := k.Task
	t.Go(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, mismatchGrace)
		defer cancel()
		t.Self.Reply(revokeResponse{task: task, status: cl.revoke(ctx, task)})
	})
}

func (c *Caller) handleRevokeResponse(t *kernel.Task, m revokeResponse) {
	k, ok := c.calls[m.task]
	if ok && m.status == statusNotStarted {
		k.cancel()
		c.endCall(t, k, msgs.ResultNotStarted, nil, "revoked before it started")
	}
}

func (c *Caller) tick(t *kernel.Task) {
	now := t.Env.Now()
	for _, k := range c.calls {
		if !k.mismatchedAt.IsZero() && now.Sub(k.mismatchedAt) > mismatchGrace {
			c.endCall(t, k, msgs.ResultUnknown, nil, "the backend server answered with another task")
		}
	}
	c.closeIdle(now)
}
