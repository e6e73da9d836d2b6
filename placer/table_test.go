package placer

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

func TestPrune(t *testing.T) {
	tests := map[string]struct {
		after time.Duration
		table int
		waits int
	}{
		"at once":          {table: 2, waits: 1},
		"jobs don't wait":  {after: earlyTime + time.Millisecond, table: 2},
		"who left is gone": {after: leftMemory + time.Millisecond, table: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			n := &Node{
				changed: map[string]change{
					"s1": {version: 1, server: model.Server{Name: "s1"}, at: now},
					"s2": {version: 2, server: model.Server{Name: "s2", Left: true}, at: now},
				},
				early: []early{{came: now}},
			}
			n.prune(now.Add(tt.after))
			if len(n.changed) != tt.table || len(n.early) != tt.waits {
				t.Fatalf("%d servers and %d early jobs are kept, want %d and %d", len(n.changed), len(n.early), tt.table, tt.waits)
			}
		})
	}
}
