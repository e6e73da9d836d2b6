package stand

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/wire"
)

// conditionTimeout limits the wait for a condition, far above the time a test needs.
const conditionTimeout = 30 * time.Second

// entry is an entry host that only records announcements and releases.
type entry struct {
	server   *httptest.Server
	received chan string
}

func newEntry(t *testing.T) *entry {
	e := &entry{received: make(chan string, 1000)}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		var msg wire.Announce
		_ = protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(body, &msg)
		e.received <- r.URL.Path + " " + msg.Name + " " + msg.Address
		_, _ = io.WriteString(w, `{"LeaseMs": 3000}`)
	}))
	t.Cleanup(e.server.Close)
	return e
}

func start(t *testing.T, cfg Config, opts ...Option) (g *Group, address string) {
	t.Helper()
	g = NewGroup()
	if err := g.Add(cfg, opts...); err != nil {
		t.Fatal(err)
	}
	if err := g.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	address, err := g.Address(t.Context(), cfg.Name)
	if err != nil {
		t.Fatal(err)
	}
	return g, address
}

func send(ctx context.Context, url string, in, out proto.Message) error {
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(in)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(string(body)))
	if err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return errors.New(resp.Status)
	}
	return protojson.Unmarshal(answer, out)
}

func TestTaskCall(t *testing.T) {
	tests := map[string]struct {
		misbehaviour Misbehaviour
		body         string
		status       Status
		result       string
		started      int
		mismatched   bool
		wantErr      bool
		late         int
	}{
		"done":     {body: "ms=1 result=abc label=x", status: StatusDone, result: "abc", started: 1},
		"failed":   {body: "fail=broken label=x", status: StatusFailed, started: 1},
		"fail all": {misbehaviour: FailAll(), body: "ms=1 label=x", status: StatusFailed, started: 1},
		"refuse":   {misbehaviour: RefuseAll(), body: "ms=1 label=x", status: StatusNotStarted},
		"late":     {misbehaviour: Late(), body: "ms=1 label=x", status: StatusDone, started: 1, late: 1},
		"crossed":  {misbehaviour: Mismatched(), body: "ms=1 result=abc label=x", status: StatusDone, started: 1, mismatched: true},
		"die":      {misbehaviour: CrashAfter(1), body: "ms=400 label=x", started: 1, wantErr: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			cfg := Config{Name: "mrozna", Services: []string{"dispatch"}}
			opts := []Option{}
			if tt.misbehaviour != nil {
				opts = append(opts, WithMisbehaviour(tt.misbehaviour))
			}
			g, address := start(t, cfg, opts...)
			defer g.Stop(t.Context())
			var got wire.TaskResult
			err := send(t.Context(), "http://"+address+"/v1/tasks",
				&wire.TaskCall{Task: "t", Service: "dispatch", Body: tt.body, DeadlineMs: 1000, Digest: 5}, &got)
			if failed := err != nil; failed != tt.wantErr {
				t.Fatalf("error: %v", err)
			}
			if got.Status != string(tt.status) || got.Result != tt.result {
				t.Errorf("got %v, want %s %q", &got, tt.status, tt.result)
			}
			if match := got.Task == "t" && got.Digest == 5; !tt.wantErr && match == tt.mismatched {
				t.Errorf("got an answer for task %s with digest %d", got.Task, got.Digest)
			}
			counts, _ := g.Counts(t.Context())
			if counts.Starts["x"] != tt.started || counts.Late != tt.late {
				t.Errorf("counts: %+v", counts)
			}
		})
	}
}

func TestRevokedTaskDoesNotStart(t *testing.T) {
	g, address := start(t, Config{Name: "mrozna", Services: []string{"dispatch"}})
	defer g.Stop(t.Context())
	var revoked wire.Revoked
	if err := send(t.Context(), "http://"+address+"/v1/revoke", &wire.Revoke{Task: "t"}, &revoked); err != nil {
		t.Fatal(err)
	}
	var got wire.TaskResult
	if err := send(t.Context(), "http://"+address+"/v1/tasks", &wire.TaskCall{Task: "t", Service: "dispatch"}, &got); err != nil {
		t.Fatal(err)
	}
	if revoked.Status != "NotStarted" || got.Status != "NotStarted" {
		t.Errorf("got %v, then %v", &revoked, &got)
	}
}

func TestGracefulStop(t *testing.T) {
	e := newEntry(t)
	g, address := start(t, Config{
		Name: "mrozna", Services: []string{"dispatch"},
		Entries: []string{strings.TrimPrefix(e.server.URL, "http://")},
	})
	answers := make(chan error, 1)
	var got wire.TaskResult
	go func() {
		answers <- send(context.Background(), "http://"+address+"/v1/tasks",
			&wire.TaskCall{Task: "t", Service: "dispatch", Body: "ms=300 result=abc label=x"}, &got)
	}()
	waitUntil(t, func() bool { return starts(t, address).Starts["x"] == 1 })
	g.Stop(t.Context())
	if err := <-answers; err != nil || got.Status != "Done" || got.Result != "abc" {
		t.Errorf("got %v, %v", &got, err)
	}
	if first := <-e.received; first != "/v1/backends/announce mrozna "+address {
		t.Errorf("first message: %s", first)
	}
	var last string
	for len(e.received) > 0 {
		last = <-e.received
	}
	if last != "/v1/backends/leave mrozna " {
		t.Errorf("last message: %s", last)
	}
}

func TestCallerOfSilentServerDisconnects(t *testing.T) {
	g, address := start(t, Config{Name: "mrozna", Services: []string{"dispatch"}}, WithMisbehaviour(Silent()))
	defer g.Stop(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	answers := make(chan error, 1)
	go func() {
		answers <- send(ctx, "http://"+address+"/v1/tasks",
			&wire.TaskCall{Task: "t", Service: "dispatch", Body: "label=x"}, &wire.TaskResult{})
	}()
	waitUntil(t, func() bool { return starts(t, address).Starts["x"] == 1 })
	cancel()
	if err := <-answers; !errors.Is(err, context.Canceled) {
		t.Errorf("got %v", err)
	}
}

func starts(t *testing.T, address string) Counts {
	t.Helper()
	resp, err := http.Get("http://" + address + "/stand/starts")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var counts Counts
	if err := json.NewDecoder(resp.Body).Decode(&counts); err != nil {
		t.Fatal(err)
	}
	return counts
}

func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	deadline := time.Now().Add(conditionTimeout)
	for !condition() {
		if time.Now().After(deadline) {
			t.Fatal("condition not met in time")
		}
		time.Sleep(time.Millisecond)
	}
}

func TestObserver(t *testing.T) {
	seen := make(chan bool, 2)
	g, address := start(t, Config{Name: "mrozna", Services: []string{"dispatch"}}, WithObserver(func(_ Call, runs bool) { seen <- runs }))
	defer g.Stop(t.Context())
	call := &wire.TaskCall{Task: "t", Service: "dispatch"}
	for range 2 { // the second call only gets the stored result
		if err := send(t.Context(), "http://"+address+"/v1/tasks", call, &wire.TaskResult{}); err != nil {
			t.Fatal(err)
		}
	}
	if len(seen) != 2 || !<-seen || <-seen {
		t.Error("want a start and an end before the answer")
	}
}
