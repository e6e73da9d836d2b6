package calls

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/peers"
	"dogwoodrock.example/dogwoodrock/wire"
)

// dialTimeout is how long a connect to a backend server may take before its call
// counts as not started.
const dialTimeout = 500 * time.Millisecond

// overhead is what the JSON around a result may take, in bytes.
const jsonOverheadBytes = 4 << 10

// escapes is how much longer a result may be as JSON.
const maxJSONExpansion = 6

// client holds the connections to one backend server.
type client struct {
	httpClient     *http.Client
	baseURL        string
	now            func() time.Time
	maxAnswerBytes int64 // of an answer, bytes
	lastUsed       time.Time
}

// StatusError reports an answer that is no task result.
type StatusError struct {
	Status int
}

// Error returns the sentence for logs and callers.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the backend server answered with HTTP status %d", e.Status)
}

// LeaseError reports a call that was not sent because the lease had ended.
type LeaseError struct {
	Task string
}

// Error returns the sentence for logs and callers.
func (e *LeaseError) Error() string {
	return "the lease of this entry host ended before the call was sent"
}

func (c *Caller) clientFor(t *kernel.Task, g msgs.Grant) *client {
	cl, ok := c.clients[g.Address]
	if !ok {
		cl = newClient(t.Env, g.Address, g.Connections, int64(c.ResultBytes*maxJSONExpansion+jsonOverheadBytes))
		c.clients[g.Address] = cl
	}
	cl.lastUsed = t.Env.Now()
	return cl
}

func newClient(env kernel.Env, address string, connections int, limit int64) *client {
	connections = max(connections, 1)
	transport := &http.Transport{
		DialContext:         peers.DialWithin(env.Dial, dialTimeout),
		MaxConnsPerHost:     connections,
		MaxIdleConnsPerHost: connections,
		IdleConnTimeout:     clientIdleTimeout,
	}
	return &client{
		httpClient:     &http.Client{Transport: transport, CheckRedirect: noRedirect},
		baseURL:        "http://" + address,
		now:            env.Now,
		maxAnswerBytes: limit,
	}
}

func noRedirect(*http.Request, []*http.Request) error {
	return http.ErrUseLastResponse
}

func (c *Caller) closeIdle(now time.Time) {
	for address, cl := range c.clients {
		if now.Sub(cl.lastUsed) > clientIdleTimeout {
			cl.httpClient.CloseIdleConnections()
			delete(c.clients, address)
		}
	}
}

func (c *Caller) closeAll() {
	for _, cl := range c.clients {
		cl.httpClient.CloseIdleConnections()
	}
}

// send makes one call. The lease is looked at when the body goes out, since the
// call may have waited for a connection. Without its whole body a call is not
// complete, so one that was stopped there has not started.
func (cl *client) send(ctx context.Context, m jobs.Call, body *wire.TaskCall) response {
	reqBody := &gatedBody{data: bytes.NewReader(codec.JSON(body)), check: func() error {
		if cl.now().Before(m.LeaseExpires) {
			return nil
		}
		return &LeaseError{Task: m.Task}
	}}
	result := &wire.TaskResult{}
	err := cl.post(ctx, "/v1/tasks", reqBody, reqBody.data.Size(), result)
	return response{task: m.Task, sent: reqBody.started.Load(), result: result, err: err}
}

// gatedBody is a request body that passes only while its check does.
type gatedBody struct {
	data    *bytes.Reader
	check   func() error
	started atomic.Bool
}

// Read returns bytes of the body, or the error of the check.
func (g *gatedBody) Read(p []byte) (int, error) {
	if !g.started.Load() {
		if err := g.check(); err != nil {
			return 0, err
		}
		g.started.Store(true)
	}
	return g.data.Read(p)
}

func (cl *client) revoke(ctx context.Context, task string) string {
	answer := &wire.Revoked{}
	body := codec.JSON(&wire.Revoke{Task: task})
	if err := cl.post(ctx, "/v1/revoke", bytes.NewReader(body), int64(len(body)), answer); err != nil {
		return ""
	}
	return answer.GetStatus()
}

func (cl *client) post(ctx context.Context, path string, body io.Reader, size int64, out proto.Message) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, cl.baseURL+path, body)
	if err != nil {
		return err
	}
	r.ContentLength = size
	r.GetBody = nil // a call is never sent twice
	r.Header.Set("Content-Type", "application/json")
	w, err := cl.httpClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(w.Body, cl.maxAnswerBytes))
	if err != nil {
		return err
	}
	if w.StatusCode != http.StatusOK {
		return &StatusError{Status: w.StatusCode}
	}
	return codec.FromJSON(data, out)
}
