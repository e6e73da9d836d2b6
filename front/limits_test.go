package front

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/metric"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	maxBody      = 4 << 10
	maxTaskBody  = 100
	announceBody = `{"Name": "b1", "Address": "10.0.0.1:9001", "DataCentre": "dc", "Services": ["dispatch"], "Slots": 8, "Connections": 60, "LeaseMs": 3000}`
)

// handler returns the routes of a Front connected to a real jobs service, which has neither lists
// nor a lease.
func handler(t *testing.T) http.Handler {
	t.Helper()
	self := model.Host{Name: "h1", DataCentre: "dc"}
	limits := config.DefaultLimits()
	limits.BodyBytes = maxBody
	f := &Front{Self: self, Hosts: []model.Host{self}, Limits: limits, MaxLease: 5 * time.Second, Metrics: metric.New()}
	runner := &jobs.Runner{
		Config: jobs.Config{
			Self: self, Hosts: f.Hosts, DataCentres: []string{"dc"}, Heartbeat: time.Hour, RequestTimeout: time.Second,
			MaxJobs: 10, MaxTasks: 5, MaxBody: maxTaskBody,
		},
	}
	k := kernel.New()
	discard := func(*kernel.Task, any) {}
	for _, s := range []kernel.Service{
		{Name: msgs.ServiceCalls, Handle: discard},
		{Name: msgs.ServiceGroup, Depth: 100, Handle: discard},
		{Name: msgs.ServiceLists, Handle: discard},
		runner.Service(10),
		{Name: msgs.ServiceFront, Depth: 10, Start: f.connect, Handle: func(_ *kernel.Task, msg any) { f.forward(msg.(broadcast)) }},
	} {
		if err := k.Register(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := k.Start(context.Background()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { k.Stop(context.Background()) })
	return f.newServer().Handler
}

func submission(text string) string {
	return fmt.Sprintf("{\"Customer\": \"halny\", %s}", text)
}

func task(body string) string {
	return fmt.Sprintf(`{"Service": "dispatch", "Body": %q}`, body)
}

// TestRefusals checks that invalid requests are refused with the code, the field and the line
// of the fault, and with NotRun wherever nothing can have run.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		path   string // of a POST, /v1/jobs if empty
		get    bool
		header string // Idempotency-Key
		body   string
		status int
		code   model.Code
		field  string
		line   int
		ran    bool // the refusal must not say NotRun
	}{
		"body too long":  {body: submission(`"Key": "` + strings.Repeat("k", maxBody) + `"`), status: 413, code: model.CodeTooLarge},
		"empty body":     {status: 400, code: model.CodeBadRequest, line: 1},
		"no JSON":        {body: "{\n\n\"Customer\": halny}", status: 400, code: model.CodeBadRequest, line: 3},
		"unknown field":  {body: "{\n\"Customer\": \"halny\",\n\"Colour\": 1}", status: 400, code: model.CodeBadRequest, field: "Colour", line: 3},
		"unknown inside": {body: submission("\"Tasks\": [\n{\"Servise\": \"x\"}]"), status: 400, code: model.CodeBadRequest, field: "Servise", line: 2},
		"field twice":    {body: submission("\n\"Customer\": \"other\""), status: 400, code: model.CodeBadRequest, field: "Customer", line: 2},
		"other case":     {body: submission("\n\"key\": \"k\""), status: 400, code: model.CodeBadRequest, field: "key", line: 2},
		"wrong type":     {body: submission("\n\"DeadlineMs\": \"soon\""), status: 400, code: model.CodeBadRequest, field: "DeadlineMs", line: 2},
		"negative":       {body: submission("\n\"DeadlineMs\": -1"), status: 400, code: model.CodeBadRequest, field: "DeadlineMs", line: 2},
		"deep nesting": {
			body: submission("\n\"Tasks\": " + strings.Repeat("[", maxBody/4)), status: 400, code: model.CodeBadRequest, line: 2,
		},
		"two bodies":         {body: "{}\n{}", status: 400, code: model.CodeBadRequest, line: 2},
		"no UTF-8":           {body: submission("\"Key\": \"\xff\""), status: 400, code: model.CodeBadRequest, line: 1},
		"no customer":        {body: "{}", status: 400, code: model.CodeBadRequest, field: "Customer"},
		"no tasks":           {body: submission(`"Tasks": []`), status: 400, code: model.CodeBadRequest, field: "Tasks"},
		"too many tasks":     {body: submission(`"Tasks": [` + strings.Repeat(task("a")+",", 5) + task("a") + "]"), status: 413, code: model.CodeJobTooLarge, field: "Tasks"},
		"no service":         {body: submission(`"Tasks": [` + task("a") + `, {"Body": "b"}]`), status: 400, code: model.CodeBadRequest, field: "Tasks[1].Service"},
		"task body too long": {body: submission(`"Tasks": [` + task(strings.Repeat("b", maxTaskBody+1)) + "]"), status: 413, code: model.CodeTooLarge, field: "Tasks[0].Body"},
		"key too long": {
			body: submission(`"Key": "` + strings.Repeat("k", 257) + `"`), status: 413, code: model.CodeTooLarge, field: "Key", ran: true,
		},
		"key too long, in the header": {
			header: strings.Repeat("k", 257), body: submission(`"Tasks": []`), status: 413, code: model.CodeTooLarge, field: "Key", ran: true,
		},
		"key in the header and the body": {
			header: "k", body: submission(`"Key": "k"`), status: 400, code: model.CodeBadRequest, field: "Idempotency-Key",
		},
		"group too long":  {body: submission(`"Group": "` + strings.Repeat("g", 257) + `"`), status: 413, code: model.CodeTooLarge, field: "Group"},
		"session, no key": {body: submission(`"Session": "dc.1.1"`), status: 400, code: model.CodeBadRequest, field: "Key"},
		"no lists":        {body: submission(`"Tasks": [` + task("a") + "]"), status: 503, code: model.CodeUnavailable},
		"no lists, with a key": {
			body: submission(`"Key": "k", "Tasks": [` + task("a") + "]"), status: 503, code: model.CodeUnavailable, ran: true,
		},
		"no such job":  {get: true, path: "/v1/jobs/nobody", status: 404, code: model.CodeNotFound, field: "Job", ran: true},
		"wait":         {get: true, path: "/v1/jobs/dc.h1.1?WaitMs=-1", status: 400, code: model.CodeBadRequest, field: "WaitMs"},
		"no such list": {get: true, path: "/v1/lists/teams", status: 404, code: model.CodeNotFound, field: "List"},
		"cancel":       {path: "/v1/cancel", body: `{"Customer": "halny"}`, status: 400, code: model.CodeBadRequest, field: "Key"},
		"cancel, both": {path: "/v1/cancel", body: `{"Customer": "halny", "Key": "k", "Group": "g"}`, status: 400, code: model.CodeBadRequest, field: "Group"},
		"no such path": {path: "/v1/nothing", status: 404, code: model.CodeNotFound},
		"backend server without a name": {
			path: "/v1/backends/announce", body: announceWith(`"b1"`, `""`), status: 400, code: model.CodeBadRequest, field: "Name",
		},
		"backend server by host name": {
			path: "/v1/backends/announce", body: announceWith("10.0.0.1", "localhost"), status: 400, code: model.CodeBadRequest, field: "Address",
		},
		"backend server elsewhere": {
			path: "/v1/backends/announce", body: announceWith(`"dc"`, `"x"`), status: 400, code: model.CodeBadRequest, field: "DataCentre",
		},
		"backend server without services": {
			path: "/v1/backends/announce", body: announceWith(`"dispatch"`, ""), status: 400, code: model.CodeBadRequest, field: "Services",
		},
		"backend server without slots": {
			path: "/v1/backends/announce", body: announceWith(`"Slots": 8`, `"Slots": 0`), status: 400, code: model.CodeBadRequest, field: "Slots",
		},
		"backend server with too many connections": {
			path: "/v1/backends/announce", body: announceWith("60", "65537"), status: 400, code: model.CodeBadRequest, field: "Connections",
		},
		"backend server with a short lease": {
			path: "/v1/backends/announce", body: announceWith("3000", "299"), status: 400, code: model.CodeBadRequest, field: "LeaseMs",
		},
	}
	h := handler(t)
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			method, path := http.MethodPost, tt.path
			if tt.get {
				method = http.MethodGet
			}
			if path == "" {
				path = "/v1/jobs"
			}
			r := httptest.NewRequest(method, path, strings.NewReader(tt.body))
			r.Header.Set(idempotencyKey, tt.header)
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			var got struct {
				Code   model.Code
				Reason string
				Field  string
				Line   int
				NotRun bool
			}
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatalf("%d %s", w.Code, w.Body)
			}
			if w.Code != tt.status || got.Code != tt.code || got.Field != tt.field || got.Line != tt.line {
				t.Errorf("got %d %+v", w.Code, got)
			}
			if got.NotRun == tt.ran || got.Reason == "" {
				t.Errorf("NotRun %v, reason %q", got.NotRun, got.Reason)
			}
		})
	}
}

// announceWith returns the valid announcement with one part replaced.
func announceWith(old, new string) string {
	return strings.Replace(announceBody, old, new, 1)
}

// TestAnnounceCapsLease checks that the announcement on which the cases of TestRefusals are based is
// accepted, and that its lease is capped at MaxLease.
func TestAnnounceCapsLease(t *testing.T) {
	w := httptest.NewRecorder()
	body := strings.NewReader(announceWith("3000", "60000"))
	handler(t).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/backends/announce", body))
	var got struct{ LeaseMs int }
	if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil || w.Code != http.StatusOK || got.LeaseMs != 5000 {
		t.Errorf("%d %s", w.Code, w.Body)
	}
}
