package pages

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"google.golang.org/protobuf/reflect/protoregistry"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/lists"
)

// exampleRun runs the examples of one page. It keeps the values of placeholders from one example to the
// next.
type exampleRun struct {
	placeholders map[string]string // HOST, BACKEND, SESSION, JOB
}

// TestExamples sends each request on the pages and compares the response with the one that follows it on
// the page, except for session and job names, which differ in each run.
func TestExamples(t *testing.T) {
	tests := map[string]struct {
		page    string
		backend bool // whether a backend server is announced to the host
	}{
		"callers":         {page: "docs/CALLERS.md", backend: true},
		"backend servers": {page: "docs/BACKENDS.md"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			host := startHost(t)
			var entries []string
			if tt.backend {
				entries = append(entries, host)
			}
			r := exampleRun{placeholders: map[string]string{"HOST": host, "BACKEND": startBackend(t, entries...)}}
			r.run(t, tt.page)
		})
	}
}

func (r *exampleRun) run(t *testing.T, page string) {
	all := blocks(t, page)
	requests := 0
	for i, b := range all {
		if b.Language != "sh" {
			continue
		}
		requests++
		if i+1 == len(all) || all[i+1].Message == "" {
			t.Fatalf("%s:%d: no answer follows the request", page, b.Line)
		}
		got := r.send(t, splitCommand(b.Text))
		r.compare(t, page, all[i+1], got)
	}
	if requests == 0 {
		t.Fatalf("%s holds no request", page)
	}
}

// send sends the request of a curl command and returns the body of the response.
func (r *exampleRun) send(t *testing.T, command []string) []byte {
	t.Helper()
	for name, value := range r.placeholders {
		for i := range command {
			command[i] = strings.ReplaceAll(command[i], name, value)
		}
	}
	method, body, url := http.MethodGet, "", ""
	header := http.Header{}
	for i := 1; i < len(command); i++ {
		switch word := command[i]; word {
		case "-d":
			i++
			method, body = http.MethodPost, command[i]
		case "-H":
			i++
			key, value, _ := strings.Cut(command[i], ": ")
			header.Set(key, value)
		default:
			url = "http://" + word
		}
	}
	req, err := http.NewRequestWithContext(t.Context(), method, url, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header = header
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

// compare compares a response with the example and stores its session and job names as placeholders.
func (r *exampleRun) compare(t *testing.T, page string, b block, got []byte) {
	t.Helper()
	want, answer := decode(t, page, b.Message, b.Line, []byte(b.Text)), newMessage(t, b.Message)
	if err := codec.FromJSON(got, answer); err != nil {
		t.Fatalf("%s:%d: got %s: %v", page, b.Line, got, err)
	}
	for _, name := range []protoreflect.Name{"Session", "Job"} {
		field := answer.ProtoReflect().Descriptor().Fields().ByName(name)
		if field == nil || field.Kind() != protoreflect.StringKind {
			continue
		}
		value := answer.ProtoReflect().Get(field)
		if (value.String() == "") != (want.ProtoReflect().Get(field).String() == "") {
			t.Errorf("%s:%d: %s is %q", page, b.Line, name, value)
		}
		r.placeholders[strings.ToUpper(string(name))] = value.String()
		want.ProtoReflect().Set(field, value)
	}
	if !proto.Equal(answer, want) {
		t.Errorf("%s:%d: got %s", page, b.Line, got)
	}
}

// TestMessages decodes every JSON example of the pages.
func TestMessages(t *testing.T) {
	pages, err := filepath.Glob("../docs/*.md")
	if err != nil {
		t.Fatal(err)
	}
	for _, page := range pages {
		name := "docs/" + filepath.Base(page)
		for _, b := range blocks(t, name) {
			if b.Language == "json" {
				decode(t, name, b.Message, b.Line, []byte(b.Text))
			}
		}
	}
}

func decode(t *testing.T, page, message string, line int, text []byte) proto.Message {
	t.Helper()
	m := newMessage(t, message)
	if err := (protojson.UnmarshalOptions{}).Unmarshal(text, m); err != nil {
		t.Fatalf("%s:%d: %v", page, line, err)
	}
	return m
}

func newMessage(t *testing.T, name string) proto.Message {
	t.Helper()
	typ, err := protoregistry.GlobalTypes.FindMessageByName(protoreflect.FullName("dogwoodrock.wire." + name))
	if err != nil {
		t.Fatalf("%q: %v", name, err)
	}
	return typ.New().Interface()
}

// TestSettings decodes the settings on the operators' page.
func TestSettings(t *testing.T) {
	found := 0
	for _, b := range blocks(t, "docs/OPERATIONS.md") {
		if b.Language != "yaml" {
			continue
		}
		found++
		s, err := config.Decode("OPERATIONS.md", []byte(b.Text))
		if err != nil {
			t.Errorf("line %d: %v", b.Line, err)
		}
		if warnings := config.Warnings(s); len(warnings) > 0 {
			t.Errorf("line %d: %v", b.Line, warnings)
		}
	}
	if found == 0 {
		t.Fatal("the page holds no settings")
	}
}

// TestExampleLists parses the lists in the folder examples together.
func TestExampleLists(t *testing.T) {
	texts := map[string]string{}
	for _, list := range []string{lists.Customers, lists.Plans} {
		text, err := os.ReadFile(filepath.Join("..", "examples", list+".yaml"))
		if err != nil {
			t.Fatal(err)
		}
		texts[list] = string(text)
	}
	if _, err := lists.Parse(texts[lists.Customers], texts[lists.Plans]); err != nil {
		t.Fatal(err)
	}
}
