package jobs

import (
	"testing"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestAnnounceLeave checks that a stopping host notifies each host of the data centre, but only after
// a graceful stop with nothing in flight.
func TestAnnounceLeave(t *testing.T) {
	tests := map[string]struct {
		steps []any
		drain bool
		want  int
	}{
		"nothing in flight":     {steps: []any{lease1}, drain: true, want: 2},
		"a job has ended":       {steps: []any{lease1, submission("", 1), claimed, grant1, succeeded}, drain: true, want: 2},
		"a call is outstanding": {steps: []any{lease1, submission("", 1), claimed, grant1}, drain: true},
		"a job waits":           {steps: []any{lease1, submission("", 1)}, drain: true},
		"no graceful stop":      {steps: []any{lease1}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, step := range tt.steps {
				f.step(step)
			}
			if tt.drain {
				f.r.Drain()
			}
			f.r.announceLeave()
			leaves := sentOf[msgs.HostLeave](f)
			if len(leaves) != tt.want {
				t.Fatalf("sent %d messages, want %d", len(leaves), tt.want)
			}
			for _, m := range leaves {
				if m.Host != "h1" || m.Incarnation != firstIncarnation {
					t.Errorf("sent %+v", m)
				}
			}
		})
	}
}
