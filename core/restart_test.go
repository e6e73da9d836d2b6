package core

import (
	"testing"
	"time"
)

// TestRestartOfLeader has the leader hand its lead over, stop and start again, and
// asks each host for the routes afterwards.
func TestRestartOfLeader(t *testing.T) {
	tests := map[string]struct {
		handover bool
		down     time.Duration // at most
	}{
		"planned":           {handover: true, down: 400 * time.Millisecond},
		"planned, for long": {handover: true, down: 3 * time.Second},
		"killed":            {down: 400 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(30) {
				w := newWorld(t, seed)
				if !w.settled(10 * time.Second) {
					t.Fatalf("seed %d: the core doesn't begin", seed)
				}
				for range 3 {
					h := w.leader()
					w.put(h.name, 1)
					w.run(time.Duration(w.rng.IntN(100)) * time.Millisecond)
					for tt.handover && !h.node.drained(nil) {
						w.step()
					}
					h.crash()
					w.run(time.Duration(w.rng.Int64N(int64(tt.down))))
					h.boot(false)
					w.run(3 * time.Second)
					for _, name := range names {
						if !w.tells(name) {
							t.Fatalf("seed %d: %s doesn't lead to the routes", seed, name)
						}
					}
				}
			}
		})
	}
}

// tells asks a host for the routes, and the one that it names.
func (w *world) tells(host string) bool {
	for range names {
		var got *Answer
		w.hosts[host].node.Handle(Read{Reply: func(a Answer) { got = &a }})
		w.run(200 * time.Millisecond)
		switch {
		case got == nil:
			return false
		case got.Done:
			return true
		}
		host = got.Leader
		if host == "" {
			return false
		}
	}
	return false
}
