package runs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// TestFirstWordAfterTick has a new placer tick between the hand-over of a job and
// the first word of its entry host, as each one does that takes over.
func TestFirstWordAfterTick(t *testing.T) {
	runs := []Listed{{Task: "j.0.0.0", Run: 1}}
	tests := map[string]struct {
		active []Listed      // on server a
		wait   time.Duration // until the first word
		starts int
	}{
		"nothing runs":             {starts: 1},
		"nothing runs, late word":  {wait: 200 * time.Millisecond, starts: 1},
		"its run goes on":          {active: runs},
		"its run goes on, as late": {active: runs, wait: 200 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			d := newTakeover(t)
			d.p.Submit(Job{
				ID: "j", Host: "h1", Incarnation: 1, Hand: 1, Service: "svc", Tasks: 1, Attempts: 3, Came: d.now, Again: true,
				Objective: time.Minute, Expires: time.Minute, Demand: model.Demand{CPU: 100, MemoryMB: 1, Expected: 2 * time.Second},
			}, d.now)
			d.look("a", tt.active, nil)
			d.look("b", nil, nil)
			d.look("c", nil, nil)
			d.p.Tick(d.now)
			d.drain()
			d.after(tt.wait)
			d.p.Waits("h1", d.now)
			out := d.drain()
			leased := false
			for _, o := range out.Looks {
				leased = leased || o.Deadline > 0
			}
			if len(out.Starts) != tt.starts || !leased {
				t.Errorf("%d starts after the first word, want %d; a lease: %v, want one", len(out.Starts), tt.starts, leased)
			}
		})
	}
}
