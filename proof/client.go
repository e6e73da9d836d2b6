package proof

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	attemptTimeout = 8 * time.Second // of a submission; the caller then tries another host
	probeTimeout   = 2 * time.Second // of a request that is repeated until a host responds
)

// Job is a submission. Tasks are task bodies for the stand-in backend servers.
type Job struct {
	Customer      string
	Session       string // if set, the key is sent in the body instead of the Idempotency-Key header
	Key           string
	Group         string
	NonIdempotent bool
	NoWait        bool
	Deadline      time.Duration
	Tasks         []string
}

// Answer is the response to a caller: the answer to a job, a refusal, or an error.
type Answer struct {
	Job     string
	State   string
	Results []string
	Refusal *wire.Refusal
	Err     error
}

// Final reports whether further submissions of the job must get the same answer.
func (a Answer) Final() bool {
	return a.Err == nil && (a.State == "Complete" || a.State == "Failed" || a.Prevented())
}

// Prevented reports whether the job was cancelled before it was submitted.
func (a Answer) Prevented() bool {
	return a.State == "" && a.Refusal.GetCode() == "Cancelled"
}

// Client sends requests to hosts over HTTP.
type Client struct {
	http *http.Client
}

func (s *System) client() Client {
	return newClient(attemptTimeout)
}

// probe returns a client with a short timeout, for hosts that may be paused.
func (s *System) probe() Client {
	return newClient(probeTimeout)
}

func newClient(timeout time.Duration) Client {
	return Client{http: &http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}}
}

func (c Client) submit(h *Host, j Job) Answer {
	body := &wire.Submission{
		Customer: j.Customer, Group: j.Group,
		NonIdempotent: j.NonIdempotent, NoWait: j.NoWait, DeadlineMs: uint32(j.Deadline.Milliseconds()),
	}
	for _, task := range j.Tasks {
		body.Tasks = append(body.Tasks, &wire.Task{Service: "dispatch", Body: task})
	}
	header := http.Header{}
	switch {
	case j.Session != "":
		body.Session, body.Key = j.Session, j.Key
	case j.Key != "":
		header.Set("Idempotency-Key", j.Key)
	}
	var answer wire.Answer
	refusal, err := c.do(h, http.MethodPost, "/v1/jobs", header, body, &answer)
	return answerOf(&answer, refusal, err)
}

// fetch waits up to 500 ms for the answer to a job.
func (c Client) fetch(h *Host, job string) Answer {
	var answer wire.Answer
	refusal, err := c.do(h, http.MethodGet, "/v1/jobs/"+job+"?WaitMs=500", nil, nil, &answer)
	return answerOf(&answer, refusal, err)
}

func answerOf(a *wire.Answer, refusal *wire.Refusal, err error) Answer {
	if err != nil || refusal != nil {
		return Answer{Refusal: refusal, Err: err}
	}
	return Answer{Job: a.Job, State: a.State, Results: a.Results, Refusal: a.Refusal}
}

func (c Client) openSession(h *Host, customer string) (string, error) {
	var out wire.Session
	refusal, err := c.do(h, http.MethodPost, "/v1/sessions", nil, &wire.OpenSession{Customer: customer}, &out)
	if refusal != nil {
		err = fmt.Errorf("refused: %v", refusal)
	}
	return out.Session, err
}

// cancel returns the number of cancelled jobs, and the refusal of the request or the one that comes
// with the count when a data centre didn't respond.
func (c Client) cancel(h *Host, in *wire.Cancel) (int, *wire.Refusal, error) {
	var out wire.Cancelled
	refusal, err := c.do(h, http.MethodPost, "/v1/cancel", nil, in, &out)
	if refusal == nil {
		refusal = out.Refusal
	}
	return int(out.Jobs), refusal, err
}

func (c Client) ready(h *Host) bool {
	refusal, err := c.do(h, http.MethodGet, "/readyz", nil, nil, nil)
	return err == nil && refusal == nil
}

func (c Client) status(h *Host) (*wire.Status, error) {
	var status wire.Status
	refusal, err := c.do(h, http.MethodGet, "/v1/status", nil, nil, &status)
	if refusal != nil {
		err = fmt.Errorf("refused: %v", refusal)
	}
	return &status, err
}

// do sends a request and decodes the response into out, or into a refusal if the status isn't 2xx.
func (c Client) do(h *Host, method, path string, header http.Header, in, out proto.Message) (*wire.Refusal, error) {
	status, text, err := body.Send(context.Background(), c.http, method, "http://"+h.Front+path, header, in)
	if err != nil {
		return nil, err
	}
	if status/100 != 2 {
		refusal := &wire.Refusal{Code: http.StatusText(status)}
		_ = body.Decode(text, refusal)
		return refusal, nil
	}
	if out == nil {
		return nil, nil
	}
	return nil, body.Decode(text, out)
}
