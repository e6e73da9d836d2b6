package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

const (
	completeAnswer    = `{"Job":"j1","State":"Complete","Results":["a"],"Later":1}`
	unavailableAnswer = `{"Code":"Unavailable","Reason":"no primary","NotRun":true}`
	queueFullAnswer   = `{"Code":"QueueFull","Reason":"full","NotRun":true,"RetryAfterMs":50}`
)

// fakeHost gives the same answer to every request and records the requests.
type fakeHost struct {
	status   int
	body     string
	drop     bool // closes the connection after reading the request
	requests chan string
}

// start starts the host and returns its address. A closed host refuses connections.
func (h *fakeHost) start(t *testing.T, closed bool) string {
	h.requests = make(chan string, 8)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		h.requests <- fmt.Sprintf("%s %s %s%s", r.Method, r.URL, r.Header.Get(keyHeader), strings.ReplaceAll(string(body), " ", ""))
		if h.drop {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(h.status)
		_, _ = io.WriteString(w, h.body)
	}))
	t.Cleanup(s.Close)
	if closed {
		s.Close()
	}
	return s.Listener.Addr().String()
}

func TestHostFailover(t *testing.T) {
	ok := fakeHost{status: 200, body: completeAnswer}
	dropsConnection := fakeHost{drop: true}
	closed := fakeHost{}
	withoutKey, withKey := &wire.Submission{Customer: "halny"}, &wire.Submission{Customer: "halny", Session: "s", Key: "k"}
	submit := func(s *wire.Submission) func(c *Client) error {
		return func(c *Client) error { _, err := c.Submit(context.Background(), s); return err }
	}
	submitBareKey := func(c *Client) error { _, err := c.SubmitKeyed(context.Background(), "k", withoutKey); return err }
	put := func(c *Client) error {
		_, err := c.PutList(context.Background(), "plans", &wire.PutList{EditID: "e"})
		return err
	}
	fetch := func(c *Client) error { _, err := c.Fetch(context.Background(), "j/1", time.Second); return err }
	tests := map[string]struct {
		hosts    []fakeHost
		call     func(c *Client) error
		want     string // type and main fields of the error, empty for none
		requests []int  // number of requests per host
	}{
		"first host answers":                   {hosts: []fakeHost{ok, ok}, call: submit(withoutKey), requests: []int{1, 0}},
		"refused connection, plain":            {hosts: []fakeHost{closed, ok}, call: submit(withoutKey), requests: []int{0, 1}},
		"broken connection, plain":             {hosts: []fakeHost{dropsConnection, ok}, call: submit(withoutKey), want: "unreachable, sent true", requests: []int{1, 0}},
		"broken connection, keyed":             {hosts: []fakeHost{dropsConnection, ok}, call: submit(withKey), requests: []int{1, 1}},
		"broken connection, bare key":          {hosts: []fakeHost{dropsConnection, ok}, call: submitBareKey, requests: []int{1, 1}},
		"broken connection, edit":              {hosts: []fakeHost{dropsConnection, ok}, call: put, requests: []int{1, 1}},
		"broken connection, read":              {hosts: []fakeHost{dropsConnection, ok}, call: fetch, requests: []int{1, 1}},
		"all refuse connections":               {hosts: []fakeHost{closed, closed}, call: submit(withoutKey), want: "unreachable, sent false", requests: []int{0, 0}},
		"first host unavailable":               {hosts: []fakeHost{{status: 503, body: unavailableAnswer}, ok}, call: submit(withoutKey), requests: []int{1, 1}},
		"all unavailable or closed":            {hosts: []fakeHost{{status: 503, body: unavailableAnswer}, closed}, call: submit(withoutKey), want: "Unavailable, not run true", requests: []int{1, 0}},
		"refused by the first":                 {hosts: []fakeHost{{status: 429, body: queueFullAnswer}, ok}, call: submit(withoutKey), want: "QueueFull, not run true", requests: []int{1, 0}},
		"refused after a lost attempt":         {hosts: []fakeHost{dropsConnection, {status: 429, body: queueFullAnswer}}, call: submit(withKey), want: "QueueFull, not run false", requests: []int{1, 1}},
		"edit refused after a lost attempt":    {hosts: []fakeHost{dropsConnection, {status: 409, body: `{"Code":"Conflict","NotRun":true}`}}, call: put, want: "Conflict, not run true", requests: []int{1, 1}},
		"edit overloaded after a lost attempt": {hosts: []fakeHost{dropsConnection, {status: 503, body: `{"Code":"Overloaded","NotRun":true}`}}, call: put, want: "Overloaded, not run false", requests: []int{1, 1}},
		"error status without a refusal":       {hosts: []fakeHost{{status: 502, body: "<html>"}}, call: submit(withoutKey), want: "unreachable, sent true", requests: []int{1}},
		"answer not JSON":                      {hosts: []fakeHost{{status: 200, body: "x"}, ok}, call: fetch, requests: []int{1, 1}},
		"answer too large":                     {hosts: []fakeHost{{status: 200, body: strings.Repeat(" ", 300)}}, call: fetch, want: "unreachable, sent true", requests: []int{1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			hosts, addresses := startHosts(t, tt.hosts)
			c, err := New(addresses, WithMaxAnswerBytes(200), WithTimeout(time.Minute))
			if err != nil {
				t.Fatal(err)
			}
			if got := describe(tt.call(c)); got != tt.want {
				t.Fatalf("got %q, want %q", got, tt.want)
			}
			for i, h := range hosts {
				if len(h.requests) != tt.requests[i] {
					t.Errorf("host %d got %d requests, want %d", i, len(h.requests), tt.requests[i])
				}
			}
		})
	}
}

func startHosts(t *testing.T, fakes []fakeHost) (hosts []*fakeHost, addresses []string) {
	for _, fake := range fakes {
		h := &fake
		hosts = append(hosts, h)
		addresses = append(addresses, h.start(t, fake.status == 0 && !fake.drop))
	}
	return hosts, addresses
}

func describe(err error) string {
	var unreachable *UnreachableError
	var refusal *model.RefusalError
	switch {
	case errors.As(err, &unreachable):
		return fmt.Sprintf("unreachable, sent %v", unreachable.Sent)
	case errors.As(err, &refusal):
		return fmt.Sprintf("%s, not run %v", refusal.Code, refusal.NotRun)
	case err != nil:
		return err.Error()
	}
	return ""
}

func TestRequests(t *testing.T) {
	ctx := context.Background()
	tests := map[string]struct {
		call func(c *Client)
		want string
	}{
		"list":    {call: func(c *Client) { _, _ = c.List(ctx, "plans", 0) }, want: "GET /v1/lists/plans "},
		"older":   {call: func(c *Client) { _, _ = c.List(ctx, "plans", 7) }, want: "GET /v1/lists/plans?Version=7 "},
		"history": {call: func(c *Client) { _, _ = c.History(ctx) }, want: "GET /v1/lists/history "},
		"explain": {call: func(c *Client) { _, _ = c.Explain(ctx, "a/b") }, want: "GET /v1/customers/a%2Fb/explain "},
		"status":  {call: func(c *Client) { _, _ = c.Status(ctx) }, want: "GET /v1/status "},
		"fetch":   {call: func(c *Client) { _, _ = c.Fetch(ctx, "j", time.Second) }, want: "GET /v1/jobs/j?WaitMs=1000 "},
		"session": {call: func(c *Client) { _, _ = c.OpenSession(ctx, "a") }, want: `POST /v1/sessions {"Customer":"a"}`},
		"cancel":  {call: func(c *Client) { _, _ = c.Cancel(ctx, &wire.Cancel{Group: "g"}) }, want: `POST /v1/cancel {"Group":"g"}`},
		"submit":  {call: func(c *Client) { _, _ = c.SubmitKeyed(ctx, "k", &wire.Submission{NoWait: true}) }, want: `POST /v1/jobs k{"NoWait":true}`},
		"put":     {call: func(c *Client) { _, _ = c.PutList(ctx, "plans", &wire.PutList{BaseVersion: 3}) }, want: `PUT /v1/lists/plans {"BaseVersion":"3"}`},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			h := fakeHost{status: 200, body: "{}"}
			c, err := New([]string{h.start(t, false)})
			if err != nil {
				t.Fatal(err)
			}
			tt.call(c)
			if got := <-h.requests; got != tt.want || len(h.requests) > 0 {
				t.Fatalf("got %q and %d more, want %q", got, len(h.requests), tt.want)
			}
		})
	}
}

func TestNewWithInvalidHosts(t *testing.T) {
	for name, hosts := range map[string][]string{"none": nil, "no port": {"127.0.0.1"}} {
		t.Run(name, func(t *testing.T) {
			_, err := New(hosts)
			var optionErr *OptionError
			if !errors.As(err, &optionErr) {
				t.Fatalf("error %v", err)
			}
		})
	}
}

func ExampleClient_PutList() {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"Code": "Conflict", "Reason": "plans changed in version 4", "Field": "BaseVersion", "NotRun": true}`)
	}))
	defer s.Close()
	c, _ := New([]string{s.Listener.Addr().String()})
	_, err := c.PutList(context.Background(), "plans", &wire.PutList{BaseVersion: 3, EditID: "e1", Operator: "kim", Text: "Plans: []\n"})
	var refusal *model.RefusalError
	if errors.As(err, &refusal) && refusal.Code == model.CodeConflict {
		fmt.Println("edit again:", refusal.Reason)
	}
	// Output: edit again: plans changed in version 4
}
