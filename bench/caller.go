package bench

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	callTimeout     = 2 * time.Minute
	idleConnections = 4096
)

// CodeNoAnswer is the code of a request that got no HTTP response, or one that is not an answer.
const CodeNoAnswer = "NoAnswer"

// Outcome is the outcome of one submission as seen by its caller.
type Outcome struct {
	Event        Event
	ResponseTime time.Duration
	Complete     bool
	WrongResults bool   // complete, but the results are not those of its own tasks
	Code         string // of the refusal or failure
}

// caller sends the requests of a recording to entry hosts.
type caller struct {
	client *http.Client
	prefix string // of all labels, keys and groups; distinguishes this replay from others
	now    func() time.Time
}

func newCaller(env kernel.Env) caller {
	return caller{
		client: &http.Client{
			Timeout: callTimeout,
			Transport: &http.Transport{
				DialContext:         env.Dial,
				MaxIdleConnsPerHost: idleConnections,
			},
		},
		prefix: fmt.Sprintf("r%x", env.Random()),
		now:    env.Now,
	}
}

// submit sends a job and waits for its answer.
func (c caller) submit(ctx context.Context, host string, e Event) Outcome {
	header := http.Header{}
	if e.Keyed {
		header.Set("Idempotency-Key", c.prefix+"."+e.Label)
	}
	startedAt := c.now()
	status, data, err := body.Send(ctx, c.client, http.MethodPost, "http://"+host+"/v1/jobs", header, c.submission(e))
	o := Outcome{Event: e, ResponseTime: c.now().Sub(startedAt), Code: CodeNoAnswer}
	if err != nil {
		return o
	}
	if status != http.StatusOK {
		return refusedOutcome(o, status, data)
	}
	var answer wire.Answer
	if body.Decode(data, &answer) != nil {
		return o
	}
	o.Complete = answer.State == "Complete"
	o.Code = answer.Refusal.GetCode()
	o.WrongResults = o.Complete && !c.resultsMatch(e, answer.Results)
	return o
}

// cancel cancels the event's group of jobs. It ignores errors.
func (c caller) cancel(ctx context.Context, host string, e Event) {
	msg := &wire.Cancel{Customer: e.Customer, Group: c.prefix + "." + e.Group}
	_, _, _ = body.Send(ctx, c.client, http.MethodPost, "http://"+host+"/v1/cancel", nil, msg)
}

func (c caller) submission(e Event) *wire.Submission {
	s := &wire.Submission{
		Customer:   e.Customer,
		Group:      c.prefix + "." + e.Group,
		DeadlineMs: uint32(e.Deadline.Milliseconds()),
	}
	for i, d := range e.Tasks {
		label := c.label(e, i)
		s.Tasks = append(s.Tasks, &wire.Task{
			Service:    Service,
			Body:       fmt.Sprintf("ms=%d result=%s label=%s", d.Milliseconds(), label, label),
			ExpectedMs: uint32(d.Milliseconds()),
		})
	}
	return s
}

func (c caller) label(e Event, task int) string {
	return fmt.Sprintf("%s.%s.%d", c.prefix, e.Label, task)
}

// resultsMatch reports whether the results are those of the event's own tasks, in order.
func (c caller) resultsMatch(e Event, results []string) bool {
	if len(results) != len(e.Tasks) {
		return false
	}
	for i, result := range results {
		if result != c.label(e, i) {
			return false
		}
	}
	return true
}

func refusedOutcome(o Outcome, status int, data []byte) Outcome {
	var refusal wire.Refusal
	o.Code = fmt.Sprintf("Status%d", status)
	if body.Decode(data, &refusal) == nil && refusal.Code != "" {
		o.Code = refusal.Code
	}
	return o
}
