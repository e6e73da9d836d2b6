package placer

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestLeftServerInLateTable has a server leave before a table comes that still lists it.
func TestLeftServerInLateTable(t *testing.T) {
	tests := map[string]func(w *waiting){
		"of the placer before": (*waiting).former,
		"kept by the core":     (*waiting).kept,
	}
	for name, act := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWaiting()
			w.found("s")
			w.beat(model.Server{Name: "s", Left: true}, w.now)
			act(w)
			w.pass(tick)
			if used := w.usable(); used != 0 || len(w.servers) != 0 {
				t.Fatalf("%d servers are used and %d in the table, want none", used, len(w.servers))
			}
		})
	}
}
