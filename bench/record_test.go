package bench

import (
	"errors"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestRecordingRoundTrip(t *testing.T) {
	tests := map[string]Profile{}
	for _, name := range ProfileNames() {
		tests[name] = Profiles()[name]
	}
	scale := Scale{Seed: 7, Duration: 10 * time.Second, Capacity: 60, TaskTime: 0.5}
	for name, p := range tests {
		t.Run(name, func(t *testing.T) {
			want := Generate(p, scale)
			var text strings.Builder
			if err := want.Write(&text); err != nil {
				t.Fatal(err)
			}
			got, err := Read(strings.NewReader(text.String()))
			if err != nil || len(got.Events) == 0 {
				t.Fatalf("%d events, %v", len(got.Events), err)
			}
			var second strings.Builder
			if err := got.Write(&second); err != nil || second.String() != text.String() {
				t.Errorf("the text changed after reading and writing, error: %v", err)
			}
			if !reflect.DeepEqual(got, Generate(p, scale).rounded()) {
				t.Error("the recording changed after writing and reading")
			}
		})
	}
}

// rounded truncates the deadlines to the precision of the text format.
func (r Recording) rounded() Recording {
	for i := range r.Events {
		r.Events[i].Deadline = r.Events[i].Deadline.Truncate(time.Millisecond)
	}
	return r
}

func TestReadRejectsMalformedLines(t *testing.T) {
	tests := map[string]struct {
		text string
		line int
	}{
		"too few fields":  {text: "Job 1 chime", line: 1},
		"time":            {text: "Job soon chime - j1 true 100 5", line: 1},
		"deadline":        {text: "Job 1 chime - j1 true soon 5", line: 1},
		"task, line 2":    {text: "Job 1 chime - j1 true 100 5\nJob 1 chime - j1 true 100 5,x", line: 2},
		"too many fields": {text: "Job 1 chime - j1 true 100 5 6", line: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := Read(strings.NewReader(tt.text))
			var formatErr *FormatError
			if !errors.As(err, &formatErr) || formatErr.Line != tt.line {
				t.Errorf("got %v, want a FormatError of line %d", err, tt.line)
			}
		})
	}
}
