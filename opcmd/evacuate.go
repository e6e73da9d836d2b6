package opcmd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/model"
)

const (
	evacuateTimeout  = 5 * time.Second        // for the whole command: the core acknowledges an order within that
	evacuateAttempt  = time.Second            // for the answer of one host, longer than an election
	evacuateInterval = 100 * time.Millisecond // between two rounds over all hosts
	maxRedirects     = 3                      // of one attempt: the leader may change meanwhile
	maxEvacuateBody  = 4096                   // bytes of an answer that are read
)

// evacuate sends an evacuation order to the hosts of the core until one acknowledges it. An order that
// is repeated has no further effect.
func evacuate(ctx context.Context, r *runner) error {
	ctx, cancel := context.WithTimeout(ctx, evacuateTimeout)
	defer cancel()
	o := evacuationOrder{method: http.MethodPost, path: "/evacuate/" + url.PathEscape(r.Evacuate.Args.DataCentre), do: r.client.Do}
	done := "is evacuated"
	if r.Evacuate.End {
		o.method, done = http.MethodDelete, "is no longer evacuated"
	}
	failed := &client.UnreachableError{}
	for {
		failed.Tried = nil
		for _, host := range r.client.Hosts {
			err := o.send(ctx, host)
			var attempt *client.AttemptError
			if !errors.As(err, &attempt) {
				if err == nil {
					_, err = fmt.Fprintf(r.Stdout, "%s %s\n", r.Evacuate.Args.DataCentre, done)
				}
				return err
			}
			failed.Tried, failed.Sent = append(failed.Tried, attempt), failed.Sent || attempt.Sent
		}
		select {
		case <-ctx.Done():
			return &OrderError{Cause: failed}
		case <-time.After(evacuateInterval):
		}
	}
}

// OrderError reports an evacuation order that no host of the core has acknowledged.
type OrderError struct {
	Cause *client.UnreachableError
}

// Error lists every host that was tried last, with its error, and how to continue.
func (e *OrderError) Error() string {
	hosts := make([]string, len(e.Cause.Tried))
	for i, attempt := range e.Cause.Tried {
		hosts[i] = attempt.Error()
	}
	return "no host of the core has acknowledged the order: " + strings.Join(hosts, "; ") + "\ngive it again: an order that is repeated has no further effect"
}

// Unwrap returns the cause.
func (e *OrderError) Unwrap() error {
	return e.Cause
}

// evacuationOrder is an order independent of the host that it is sent to.
type evacuationOrder struct {
	method string
	path   string
	do     func(r *http.Request) (*http.Response, error)
}

// send sends the order to a host and follows its redirects to the leader of the core. It returns nil if
// the order is acknowledged, a model.RefusalError if it is refused and a client.AttemptError otherwise.
func (o evacuationOrder) send(ctx context.Context, host string) error {
	ctx, cancel := context.WithTimeout(ctx, evacuateAttempt)
	defer cancel()
	target := "http://" + host + o.path
	for range maxRedirects + 1 {
		req, err := http.NewRequestWithContext(ctx, o.method, target, nil)
		if err != nil {
			return &client.AttemptError{Host: host, Cause: err}
		}
		resp, err := o.do(req)
		if err != nil {
			var op *net.OpError
			return &client.AttemptError{Host: host, Sent: !errors.As(err, &op) || op.Op != "dial", Cause: err}
		}
		body, err := io.ReadAll(io.LimitReader(resp.Body, maxEvacuateBody))
		_ = resp.Body.Close() // nothing more is read
		location, locationErr := resp.Location()
		switch {
		case resp.StatusCode/100 == 2:
			return nil
		case err != nil:
			return &client.AttemptError{Host: host, Sent: true, Cause: err}
		case resp.StatusCode == http.StatusTemporaryRedirect && locationErr == nil:
			target = location.String()
		default:
			return o.refused(host, resp.StatusCode, body)
		}
	}
	return &client.AttemptError{Host: host, Cause: errors.New("too many redirects")}
}

// refused returns the error of an answer that doesn't acknowledge the order.
func (o evacuationOrder) refused(host string, status int, body []byte) error {
	var answer struct {
		Error string `json:"error"`
	}
	if err := json.Unmarshal(body, &answer); err != nil || answer.Error == "" {
		answer.Error = http.StatusText(status)
	}
	switch status {
	case http.StatusBadRequest, http.StatusConflict, http.StatusNotFound, http.StatusMethodNotAllowed:
		return &model.RefusalError{Code: model.CodeBadRequest, Reason: answer.Error, Field: "DATACENTRE", NotRun: true}
	}
	// The core may commit the order later if its leader has changed meanwhile.
	return &client.AttemptError{Host: host, Sent: true, Cause: &client.AnswerError{Status: status, Reason: answer.Error}}
}
