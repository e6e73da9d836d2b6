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

// dialTimeout limits connecting to a backend server. A call that times out here was not started.
const dialTimeout = 500 * time.Millisecond

// jsonOverheadBytes is the maximum size of the JSON around a result.
const jsonOverheadBytes = 4 << 10

// maxJSONExpansion is the factor by which JSON escaping may lengthen a result: \u0000 is 6 bytes.
const maxJSONExpansion = 6

// client is the HTTP client of one backend server.
type client struct {
	httpClient     *http.Client
	baseURL        string
	now            func() time.Time
	maxAnswerBytes int64 // a longer response is truncated
	lastUsed       time.Time
}

// StatusError reports a response with an HTTP status other than 200.
type StatusError struct {
	Status int
}

// Error returns a message for logs and callers.
func (e *StatusError) Error() string {
	return fmt.Sprintf("the backend server answered with HTTP status %d", e.Status)
}

// LeaseError reports a call that was not sent because the host's lease had expired.
type LeaseError struct {
	Task string
}

// Error returns a message for logs and callers.
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
		DialContext:         peers.DialWithTimeout(env.Dial, dialTimeout),
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

// send makes one call. It checks the lease when the body is sent, since the call may have waited
// for a connection. A backend server starts no task without the complete body, so a call that the
// check stops has not started.
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

// gatedBody is a request body that calls check before its first read and fails with the check's
// error.
type gatedBody struct {
	data    *bytes.Reader
	check   func() error
	started atomic.Bool
}

// Read reads from the body, or returns the error of check.
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
	r.GetBody = nil // prevents net/http from retrying: a call must not be sent twice
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
