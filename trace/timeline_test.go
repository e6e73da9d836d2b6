package trace

import (
	"strings"
	"testing"
)

// prefix is an example of what log collectors add before a line.
const prefix = "   3.2500 front-a-1 "

func TestForJob(t *testing.T) {
	tests := map[string]struct {
		log      []string
		deciding string // part of the deciding line
		lines    int
	}{
		"refused under load": {log: []string{
			`{"Host":"h2","Event":633,"Name":"JobPlaced","Job":"j1","Outcome":"Refused","Reason":"the work ahead of it takes too long","WaitMs":210,"Waiting":40,"Servers":16,"Time":"2026-01-01T00:00:02Z"}`,
			`{"Host":"h1","Event":622,"Name":"JobAnswered","Job":"j1","Outcome":"Refused","Reason":"the work ahead of it takes too long","Time":"2026-01-01T00:00:02.001Z"}`,
		}, deciding: "WaitMs=210", lines: 2},
		"failed after retries": {log: []string{
			`{"Host":"h2","Event":634,"Name":"RunChanged","Job":"j1","Change":"Ended","Task":"j1.0.0.3","Run":2,"BackendServer":"s9","Reason":"Failed","Time":"2026-01-01T00:00:03Z"}`,
			`{"Host":"h2","Event":634,"Name":"RunChanged","Job":"j1","Change":"Ended","Task":"j1.0.0.3","Run":1,"BackendServer":"s8","Reason":"Failed","Time":"2026-01-01T00:00:02Z"}`,
			`{"Host":"h2","Event":635,"Name":"ServerChanged","Change":"Ejected","BackendServer":"s9","Reason":"fails","Time":"2026-01-01T00:00:02.5Z"}`,
			`{"Host":"h2","Event":635,"Name":"ServerChanged","Change":"Ejected","BackendServer":"s4","Reason":"fails","Time":"2026-01-01T00:00:02.5Z"}`,
			`{"Host":"h1","Event":622,"Name":"JobAnswered","Job":"j1","Outcome":"Failed","Time":"2026-01-01T00:00:03.001Z"}`,
		}, deciding: `BackendServer="s9" Reason="Failed"`, lines: 4},
		"placer failed": {log: []string{
			`{"Host":"h1","Event":615,"Name":"PlacerSilent","Placer":"10.0.0.7","Epoch":3,"Time":"2026-01-01T00:00:01Z"}`,
			`{"Host":"h1","Event":621,"Name":"JobRehanded","Job":"j1","Placer":"10.0.0.7","Epoch":4,"Time":"2026-01-01T00:00:02Z"}`,
			`{"Host":"h1","Event":622,"Name":"JobAnswered","Job":"j1","Outcome":"Unknown","Reason":"no backend server had room in time","Time":"2026-01-01T00:00:03Z"}`,
		}, deciding: "PlacerSilent", lines: 3},
		"another host reported the placer silent": {log: []string{
			`{"Host":"h3","Event":615,"Name":"PlacerSilent","Placer":"10.0.0.7","Epoch":3,"Time":"2026-01-01T00:00:01Z"}`,
			`{"Host":"h2","Event":633,"Name":"JobPlaced","Job":"j1","Outcome":"Unknown","Reason":"the time of its caller is over","Time":"2026-01-01T00:00:02Z"}`,
			`{"Host":"h1","Event":622,"Name":"JobAnswered","Job":"j1","Placer":"10.0.0.7","Outcome":"Unknown","Time":"2026-01-01T00:00:03Z"}`,
			`{"Host":"h1","Event":615,"Name":"PlacerSilent","Placer":"10.0.0.7","Epoch":3,"Time":"2026-01-01T00:00:04Z"}`,
		}, deciding: "JobPlaced", lines: 3},
		"lines of another job only": {log: []string{
			`{"Host":"h1","Event":622,"Name":"JobAnswered","Job":"j2","Outcome":"Failed","Time":"2026-01-01T00:00:03Z"}`,
		}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			text := "no event\n" + prefix + strings.Join(tt.log, "\n"+prefix) + "\n"
			lines, ignored, err := Read(strings.NewReader(text))
			if err != nil || ignored != 1 || len(lines) != len(tt.log) {
				t.Fatalf("%d lines, %d ignored, error %v", len(lines), ignored, err)
			}
			s := ForJob("j1", lines)
			if len(s.Lines) != tt.lines {
				t.Fatalf("timeline of %d lines, want %d", len(s.Lines), tt.lines)
			}
			if tt.deciding == "" {
				return
			}
			if got := s.Lines[s.Deciding].String(); !strings.Contains(got, tt.deciding) {
				t.Fatalf("deciding line %q, want one with %q", got, tt.deciding)
			}
		})
	}
}
