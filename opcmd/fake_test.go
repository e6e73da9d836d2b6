package opcmd

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

// fakeFront is an entry host with a real list registry and canned answers to all other requests.
type fakeFront struct {
	registry   chan *lists.Registry // holds the registry while no request uses it
	canned     map[string]string
	dropAnswer chan bool // one entry for each put whose answer is dropped after the edit is applied
}

func startFront(t *testing.T) (*fakeFront, string) {
	f := &fakeFront{registry: make(chan *lists.Registry, 1), dropAnswer: make(chan bool, 8), canned: map[string]string{
		"GET /v1/status": `{"Host":"changwon-1","DataCentre":"changwon","ListsVersion":"2","LastChangeSpreadMs":12,
			"Hosts":[{"Name":"changwon-1","DataCentre":"changwon","Address":"10.0.0.1:7080","Reachable":true,"ListsVersion":"2"},
			{"Name":"jinju-1","DataCentre":"jinju","Address":"10.0.2.1:7080","ListsVersion":"1","SeenMsAgo":4000}],
			"Groups":[{"Name":"changwon","View":"4","Commit":"7"},{"Name":"lists","Primary":"changwon-1","View":"3","Commit":"9","Leading":true}],
			"DataCentres":[{"Name":"changwon","Reachable":true,"Host":"changwon-1","Primary":"changwon-2","View":"4","Commit":"8","BackendServers":2,"Shown":2},
			{"Name":"gimhae","Reachable":true,"Host":"gimhae-2","View":"5","Commit":"3"},{"Name":"jinju"},
			{"Name":"busan","Reachable":true,"Host":"busan-3","Alone":true,"View":"2","Commit":"6"},
			{"Name":"masan","Reachable":true,"Host":"masan-1","Primary":"masan-1","View":"1","Commit":"2","BackendServers":300,"Shown":1}],
			"BackendServers":[{"Name":"mrozna-1","DataCentre":"changwon","Address":"10.0.0.9:9001","Services":["dispatch"],"Slots":8,"Granted":3,"Speed":1.2512},
			{"Name":"mrozna-2","DataCentre":"changwon","Address":"10.0.0.8:9001","Services":["dispatch"],"Slots":8,"Ejected":true,"Speed":1},
			{"Name":"bor-1","DataCentre":"masan","Address":"10.0.3.8:9001","Services":["dispatch","entries"],"MoreServices":3,"Slots":4,"Lapsed":true,"Speed":1}]}`,
		"GET /v1/customers/halny/explain": `{"Customer":"halny","Plan":"gold","CustomerLine":2,"PlanLine":2,"ListsVersion":"2","Services":["dispatch","entries"],
			"MaxRunning":200,"MaxQueued":2000,"StartsPerSecond":500,"MaxJobTasks":130,"Use":[{"DataCentre":"changwon","Running":7,"Queued":2,
			"ShareRunning":70,"ShareStartsPerSecond":170,"Starts":"1200","Refusals":[{"Code":"QueueFull","Count":"4"}]}]}`,
		"POST /v1/sessions": `{"Session":"changwon.5.abc"}`,
		"POST /v1/cancel": `{"Jobs":3,"DataCentres":[{"DataCentre":"changwon","Answered":true,"Jobs":3},{"DataCentre":"jinju"}],
			"Refusal":{"Code":"OutcomeUnknown","Reason":"no answer of jinju, where jobs of the group may still run","RetryAfterMs":1000}}`,
		"GET /v1/jobs/j1": `{"Job":"j1","State":"Complete","Results":["cell ok","cell low"]}`,
		"GET /v1/jobs/j2": `{"Job":"j2","State":"Failed","Refusal":{"Code":"OutcomeUnknown","Reason":"the backend server mrozna-1 was lost while it ran task 0"}}`,
		"GET /v1/jobs/j3": `{"Job":"j3","State":"Failed","Refusal":{"Code":"QueueFull","Reason":"customer halny has 200 tasks queued","NotRun":true,"RetryAfterMs":50}}`,
		"POST /v1/jobs":   `{"Job":"j4","State":"Running"}`,
	}}
	f.registry <- lists.NewRegistry()
	s := httptest.NewServer(f.handler())
	t.Cleanup(s.Close)
	return f, s.Listener.Addr().String()
}

func (f *fakeFront) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/lists/{list}", f.get)
	mux.HandleFunc("PUT /v1/lists/{list}", f.put)
	mux.HandleFunc("GET /v1/lists/history", f.history)
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		answer, ok := f.canned[r.Method+" "+r.URL.Path]
		if !ok {
			send(w, http.StatusNotFound, &wire.Refusal{Code: string(model.CodeNotFound), Reason: "not found", NotRun: true})
			return
		}
		_, _ = io.WriteString(w, answer)
	})
	return mux
}

// withRegistry calls fn with exclusive access to the registry.
func (f *fakeFront) withRegistry(fn func(reg *lists.Registry)) {
	reg := <-f.registry
	fn(reg)
	f.registry <- reg
}

func (f *fakeFront) get(w http.ResponseWriter, r *http.Request) {
	f.withRegistry(func(reg *lists.Registry) {
		inForce := reg.Update().Version
		version := inForce
		if text := r.URL.Query().Get("Version"); text != "" {
			version, _ = strconv.ParseUint(text, 10, 64)
		}
		text, err := reg.Text(r.PathValue("list"), version)
		if refusal, ok := err.(*model.RefusalError); ok {
			send(w, http.StatusNotFound, refusalOf(refusal))
			return
		}
		send(w, http.StatusOK, &wire.ListText{List: r.PathValue("list"), Version: text.Changed, InForce: inForce, Text: text.Content})
	})
}

func (f *fakeFront) put(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	var p wire.PutList
	if err := protojson.Unmarshal(body, &p); err != nil {
		panic(err)
	}
	var result lists.Result
	f.withRegistry(func(reg *lists.Registry) {
		result = reg.Apply(lists.Command{
			Kind: lists.KindPut, At: time.Unix(1e9, 0), List: r.PathValue("list"),
			BaseVersion: p.BaseVersion, EditID: p.EditID, Operator: p.Operator, Text: p.Text,
		})
	})
	if len(f.dropAnswer) > 0 {
		<-f.dropAnswer
		panic(http.ErrAbortHandler)
	}
	switch {
	case result.Refusal == nil:
		send(w, http.StatusOK, &wire.PutListAnswer{Version: result.Version})
	case result.Refusal.Code == model.CodeConflict:
		send(w, http.StatusConflict, refusalOf(result.Refusal))
	default:
		send(w, http.StatusBadRequest, refusalOf(result.Refusal))
	}
}

func (f *fakeFront) history(w http.ResponseWriter, _ *http.Request) {
	f.withRegistry(func(reg *lists.Registry) {
		var h wire.ListHistory
		for _, c := range reg.Changes() {
			h.Changes = append(h.Changes, &wire.ListChange{
				Version: c.Version, List: c.List, EditID: c.EditID, Operator: c.Operator, At: c.At.Format(time.RFC3339),
			})
		}
		send(w, http.StatusOK, &h)
	})
}

func refusalOf(r *model.RefusalError) *wire.Refusal {
	return &wire.Refusal{Code: string(r.Code), Reason: r.Reason, Field: r.Field, Line: uint32(r.Line), NotRun: r.NotRun}
}

func send(w http.ResponseWriter, status int, m proto.Message) {
	body, _ := protojson.MarshalOptions{UseProtoNames: true}.Marshal(m)
	w.WriteHeader(status)
	_, _ = w.Write(body)
}
