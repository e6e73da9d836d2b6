package events

import (
	"bytes"
	"encoding/json"
	"flag"
	"os"
	"testing"
)

var update = flag.Bool("update-page", false, "write docs/EVENTS.md")

func TestPageMatchesCatalogue(t *testing.T) {
	const page = "../docs/EVENTS.md"
	if *update {
		if err := os.WriteFile(page, []byte(Page()), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	got, err := os.ReadFile(page)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != Page() {
		t.Fatal("docs/EVENTS.md differs from the catalogue: run go test ./events -update-page")
	}
}

func TestCodesAreUnique(t *testing.T) {
	seen := map[int]string{}
	for _, e := range Catalogue() {
		if other, ok := seen[e.Code]; ok {
			t.Errorf("%s and %s share code %d", e.Name, other, e.Code)
		}
		seen[e.Code] = e.Name
	}
}

func TestLevel(t *testing.T) {
	tests := map[string]struct {
		level string
		event Event
		lines int
	}{
		"info at info": {level: "Info", event: Started, lines: 1},
		"info at warn": {level: "Warn", event: Started, lines: 0},
		"warn at warn": {level: "Warn", event: LeaseLost, lines: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var b bytes.Buffer
			New(&b, tt.level, "h1").At(tt.event).Send()
			if got := bytes.Count(b.Bytes(), []byte("\n")); got != tt.lines {
				t.Fatalf("%d lines, want %d", got, tt.lines)
			}
			var line struct{ Event int }
			if tt.lines == 1 && (json.Unmarshal(b.Bytes(), &line) != nil || line.Event != tt.event.Code) {
				t.Fatalf("line %s is not JSON with the event's code", b.String())
			}
		})
	}
}
