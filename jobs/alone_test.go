package jobs

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

func TestAlone(t *testing.T) {
	const sentAt = 7 * time.Second // by the primary's clock
	promised := leaseOf(1, 1)
	promised.PromiseAt = sentAt
	unused := promised
	unused.Unused = true
	another := promised
	another.View = 2
	own := msgs.Lease{Primary: "h1", View: msgs.AloneView, Duration: leaseTime, Alone: true}
	wait := newWorld(t).r.Alone.AloneDelay()
	alone := []any{unused, wait, own}
	claimed := msgs.Verdict{Job: firstJob, Kind: msgs.VerdictClaimed}
	grant := grantOf(1, firstJob, 0, msgs.AloneView)
	grant.Fence = 0
	succeeded := CallEnded{Grant: 1, Result: msgs.ResultSucceeded}
	tests := map[string]struct {
		steps    []any
		promised time.Duration // of the last renewal
		alone    []bool
		calls    int
		asks     int
		code     model.Code
		notRun   bool
	}{
		"promises": {steps: []any{unused, leaseTime}, promised: sentAt},
		"promises not while an earlier task may run": {steps: []any{promised, leaseTime}},
		"waits":                   {steps: []any{unused, wait - 1}, promised: sentAt},
		"begins":                  {steps: []any{unused, wait}, promised: sentAt, alone: []bool{true}},
		"never without a promise": {steps: []any{promised, 9 * wait}},
		"own lease that is late":  {steps: []any{unused, leaseTime, own, submission("", 1)}, promised: sentAt, code: model.CodeUnavailable, notRun: true},
		"refuses a key":           {steps: slices.Concat(alone, []any{submission("k", 1)}), promised: sentAt, alone: []bool{true}, code: model.CodeUnavailable},
		"calls":                   {steps: slices.Concat(alone, []any{submission("", 1), claimed, grant}), promised: sentAt, alone: []bool{true}, asks: 1, calls: 1},
		"its lease ends":          {steps: slices.Concat(alone, []any{submission("", 1), claimed, leaseTime, grant}), promised: sentAt, alone: []bool{true}, asks: 1},
		"ends": {
			steps: slices.Concat(alone, []any{another, submission("", 1), claimed, grant, leaseTime}), alone: []bool{true, false}, asks: 1,
		},
		"promises not while a task runs": {
			steps: slices.Concat(alone, []any{submission("", 1), claimed, grant, another, 2 * leaseTime, another, leaseTime}),
			alone: []bool{true, false}, asks: 1, calls: 1,
		},
		"promises again": {
			steps: slices.Concat(alone, []any{submission("", 1), claimed, grant, succeeded, another, 2 * leaseTime, another, leaseTime}),
			alone: []bool{true, false}, asks: 1, calls: 1, promised: sentAt,
		},
		"asks the primary for what waits": {
			steps: slices.Concat(alone, []any{submission("", 1), claimed, another}), alone: []bool{true, false}, asks: 2, promised: sentAt,
		},
		"nothing without lists": {
			steps: []any{Lists{}, unused, wait}, promised: sentAt,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			for _, s := range tt.steps {
				w.do(s)
			}
			var last msgs.Renew
			if all := sentOf[msgs.Renew](w); len(all) > 0 {
				last = all[len(all)-1]
			}
			if last.Promised != tt.promised || !slices.Equal(w.alone, tt.alone) {
				t.Errorf("promised %v, alone %v; want %v, %v", last.Promised, w.alone, tt.promised, tt.alone)
			}
			if len(w.calls) != tt.calls || len(sentOf[msgs.Ask](w)) != tt.asks {
				t.Errorf("%d calls, %d asks; want %d, %d", len(w.calls), len(sentOf[msgs.Ask](w)), tt.calls, tt.asks)
			}
			for _, c := range w.calls {
				if c.Grant.Fence != 1 {
					t.Errorf("a call has fence %d, want the last that was known", c.Grant.Fence)
				}
			}
			if tt.code != "" && (len(w.replies) != 1 || w.replies[0].refusal.Code != tt.code || w.replies[0].refusal.NotRun != tt.notRun) {
				t.Errorf("replies %+v, want %s", w.replies, tt.code)
			}
		})
	}
}
