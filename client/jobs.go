package client

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"dogwoodrock.example/dogwoodrock/wire"
)

// OpenSession opens a session, which determines the home data centre of the keys used in it. An
// unused session is harmless, so the request may be retried on every host.
func (c *Client) OpenSession(ctx context.Context, customer string) (*wire.Session, error) {
	answer := new(wire.Session)
	open := call{
		method: http.MethodPost, path: "/v1/sessions", body: &wire.OpenSession{Customer: customer},
		retry: retryAlways, timeout: c.Timeout,
	}
	return answer, c.run(ctx, open, answer)
}

// Submit submits a job and waits for its answer unless NoWait is set. With a session and key it may
// be retried on every host; otherwise only after hosts that certainly received nothing, or refused it
// as unavailable without running it.
func (c *Client) Submit(ctx context.Context, s *wire.Submission) (*wire.Answer, error) {
	return c.submit(ctx, "", s)
}

// SubmitKeyed submits a job with a bare key, an idempotency key without a session, in place of
// Session and Key.
func (c *Client) SubmitKeyed(ctx context.Context, key string, s *wire.Submission) (*wire.Answer, error) {
	return c.submit(ctx, key, s)
}

func (c *Client) submit(ctx context.Context, key string, s *wire.Submission) (*wire.Answer, error) {
	answer := new(wire.Answer)
	submit := call{method: http.MethodPost, path: "/v1/jobs", key: key, body: s, isSubmission: true}
	if key != "" || s.Key != "" {
		submit.retry = retryAlways
	}
	switch {
	case s.NoWait:
		submit.timeout = c.Timeout
	case s.DeadlineMs > 0:
		submit.timeout = c.Timeout + time.Duration(s.DeadlineMs)*time.Millisecond
	}
	return answer, c.run(ctx, submit, answer)
}

// Fetch returns the answer to a job. If the job is still running, it waits up to the given time.
func (c *Client) Fetch(ctx context.Context, job string, wait time.Duration) (*wire.Answer, error) {
	answer := new(wire.Answer)
	path := fmt.Sprintf("/v1/jobs/%s?WaitMs=%d", url.PathEscape(job), wait.Milliseconds())
	return answer, c.get(ctx, path, wait, answer)
}

// Cancel cancels jobs by session and key, by bare key or by group. Cancelling is idempotent, so it
// may be retried on every host.
func (c *Client) Cancel(ctx context.Context, cancel *wire.Cancel) (*wire.Cancelled, error) {
	answer := new(wire.Cancelled)
	return answer, c.run(ctx, call{
		method: http.MethodPost, path: "/v1/cancel", body: cancel, retry: retryAlways, timeout: c.Timeout,
	}, answer)
}
