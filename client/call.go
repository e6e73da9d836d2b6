package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/model"
)

// keyHeader is the header for an idempotency key without a session.
const keyHeader = "Idempotency-Key"

// retryPolicy specifies when a request may be sent to another host after a failed attempt.
type retryPolicy int

const (
	retryUnsent retryPolicy = iota // only if the host certainly received nothing, or was unavailable and ran nothing
	retryAlways                    // always: the request only reads, or the system deduplicates it by its ID
)

// call is a request independent of the host that it is sent to.
type call struct {
	method       string
	path         string
	key          string // value of keyHeader, empty for none
	body         proto.Message
	retry        retryPolicy
	timeout      time.Duration // for each attempt, 0 for none besides that of the context
	isSubmission bool          // the request may run tasks
}

// run tries the hosts in turn, beginning with the preferred one, until an outcome is final.
func (c *Client) run(ctx context.Context, req call, answer proto.Message) error {
	body, err := encode(req.body)
	if err != nil {
		return err
	}
	a := attempts{call: req}
	first := int(c.preferred.Load())
	for i := range c.Hosts {
		n := (first + i) % len(c.Hosts)
		err := c.attempt(ctx, c.Hosts[n], req, body, answer)
		if a.record(err) {
			c.preferred.Store(int64(n))
			return a.finalResult(err)
		}
		if ctx.Err() != nil || !a.canRetry() {
			break
		}
	}
	return a.failure()
}

// attempts collects the outcomes of the hosts tried so far.
type attempts struct {
	call    call
	failed  []*AttemptError
	refusal *model.RefusalError // of the last host that was unavailable
	sent    bool
}

// record adds the outcome of an attempt and reports whether it is final.
func (a *attempts) record(err error) bool {
	var attempt *AttemptError
	if errors.As(err, &attempt) {
		a.failed = append(a.failed, attempt)
		a.sent = a.sent || attempt.Sent
		return false
	}
	var refusal *model.RefusalError
	if errors.As(err, &refusal) && refusal.NotRun && isHostSpecific(refusal.Code) {
		a.refusal = refusal
		return false
	}
	return true
}

func (a *attempts) canRetry() bool {
	return !a.sent || a.call.retry == retryAlways
}

// finalResult returns the outcome of the call. If an earlier host may have received the request, a
// refusal by the last host doesn't prove that the request was not run, so NotRun is cleared. An edit
// refused with a code for which isDecided holds keeps it: the earlier attempt gets the same refusal.
func (a *attempts) finalResult(err error) error {
	var refusal *model.RefusalError
	if errors.As(err, &refusal) && a.sent && (a.call.isSubmission || !isDecided(refusal.Code)) {
		unknown := *refusal
		unknown.NotRun = false
		return &unknown
	}
	return err
}

func (a *attempts) failure() error {
	if a.refusal != nil && !a.sent {
		return a.refusal
	}
	return &UnreachableError{Tried: a.failed, Sent: a.sent}
}

// isHostSpecific reports whether another entry host may serve a request refused with this code.
func isHostSpecific(code model.Code) bool {
	return code == model.CodeUnavailable || code == model.CodeStopping
}

// isDecided reports whether every retry of an edit gets this refusal, whichever host receives it.
func isDecided(code model.Code) bool {
	switch code {
	case model.CodeConflict, model.CodeBadRequest, model.CodeKeyReused, model.CodeNotFound, model.CodeTooLarge:
		return true
	}
	return false
}

// attempt sends the call to one host. Its error is an AttemptError or a model.RefusalError.
func (c *Client) attempt(ctx context.Context, host string, req call, body []byte, answer proto.Message) error {
	if req.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, req.timeout)
		defer cancel()
	}
	r, err := newRequest(ctx, host, req, body)
	if err != nil {
		return &AttemptError{Host: host, Cause: err}
	}
	response, err := c.Do(r)
	if err != nil {
		return &AttemptError{Host: host, Sent: !isDialError(err), Cause: err}
	}
	defer response.Body.Close() //nolint:errcheck // the body has been read
	if err := c.readAnswer(response, answer); err != nil {
		return toAttemptError(host, err)
	}
	return nil
}

// toAttemptError returns refusals unchanged. Any other error after a response means that the host
// received the request.
func toAttemptError(host string, err error) error {
	var refusal *model.RefusalError
	if errors.As(err, &refusal) {
		return refusal
	}
	return &AttemptError{Host: host, Sent: true, Cause: err}
}

// isDialError reports whether the connection could not be established, so that certainly nothing
// was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

func encode(body proto.Message) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	return protojson.MarshalOptions{UseProtoNames: true}.Marshal(body)
}

func (c *Client) get(ctx context.Context, path string, wait time.Duration, answer proto.Message) error {
	return c.run(ctx, call{method: http.MethodGet, path: path, retry: retryAlways, timeout: c.Timeout + wait}, answer)
}
