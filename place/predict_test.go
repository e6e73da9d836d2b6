package place

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Run times vary widely here. Only a job of a customer that uses less than its share is
// judged by their mean instead of the longest expected one. Customer y keeps the only slot busy.
func TestMeanRunTimeWithinShare(t *testing.T) {
	const (
		learned  = 20 // tasks of x, alternately of 50 and 800 ms
		deadline = 4 * time.Second
	)
	tests := map[string]struct {
		served int  // tasks of y that ran before the job of x
		queued int  // tasks of x waiting without a deadline
		off    bool // turns off the judgement by the mean
		code   model.Code
	}{
		"the customer was idle":               {served: 20},
		"the mechanism is off":                {served: 20, off: true, code: model.CodeDeadlineUnmet},
		"the customer has just used the slot": {code: model.CodeDeadlineUnmet},
		"the customer has waiting tasks":      {served: 20, queued: 1, code: model.CodeDeadlineUnmet},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(plan("x", 1), plan("y", 1)), 1, 1, func(c *config) { c.meanWithinShare = !tt.off })
			p.Submit(jobOf("teach", "x", learned), start)
			now := start
			for i := range learned {
				ran := []time.Duration{50 * ms, 800 * ms}[i%2]
				now = now.Add(ran)
				p.Complete(Completion{Grant: p.nextGrant - 1, RunTime: ran}, now)
			}
			p.Submit(jobOf("busy", "y", 100), now)
			for range tt.served {
				now = now.Add(200 * ms)
				p.Complete(Completion{Grant: p.nextGrant - 1, RunTime: 200 * ms}, now)
			}
			if tt.queued > 0 {
				p.Submit(jobOf("queued", "x", tt.queued), now)
			}
			req := jobOf("a", "x", 4)
			req.Deadline = now.Add(deadline)
			var code model.Code
			if r := p.Submit(req, now); r != nil {
				code = r.Code
			}
			if code != tt.code {
				t.Errorf("refused with %q, want %q", code, tt.code)
			}
		})
	}
}
