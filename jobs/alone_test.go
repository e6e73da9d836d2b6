package jobs

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestServeAlone checks when a host promises not to serve alone, when it starts and stops serving
// alone, and which calls it makes meanwhile.
func TestServeAlone(t *testing.T) {
	const sentAt = 7 * time.Second // by the primary's clock
	maybeUsed := leaseOf(1, 1)
	maybeUsed.PromiseAt = sentAt
	unused := maybeUsed
	unused.Unused = true
	newView := maybeUsed
	newView.View = 2
	aloneLease := msgs.Lease{Primary: "h1", View: msgs.AloneView, Duration: leaseTime, Alone: true}
	wait := newFixture(t).r.AloneTimes.AloneDelay()
	serveAlone := []any{unused, wait, aloneLease}
	claimed := msgs.Verdict{Job: firstJob, Kind: msgs.VerdictClaimed}
	grant := grantOf(1, firstJob, 0, msgs.AloneView)
	grant.Fence = 0
	succeeded := CallEnded{Grant: 1, Result: msgs.ResultSucceeded}
	tests := map[string]struct {
		steps    []any
		promised time.Duration // in the last renewal
		alone    []bool
		calls    int
		asks     int
		code     model.Code
		notRun   bool
	}{
		"promises": {steps: []any{unused, leaseTime}, promised: sentAt},
		"no promise while a task of an earlier process may run": {steps: []any{maybeUsed, leaseTime}},
		"waits":                             {steps: []any{unused, wait - 1}, promised: sentAt},
		"begins":                            {steps: []any{unused, wait}, promised: sentAt, alone: []bool{true}},
		"never without a promise":           {steps: []any{maybeUsed, 9 * wait}},
		"own lease while not serving alone": {steps: []any{unused, leaseTime, aloneLease, submission("", 1)}, promised: sentAt, code: model.CodeUnavailable, notRun: true},
		"refuses a key":                     {steps: slices.Concat(serveAlone, []any{submission("k", 1)}), promised: sentAt, alone: []bool{true}, code: model.CodeUnavailable},
		"calls":                             {steps: slices.Concat(serveAlone, []any{submission("", 1), claimed, grant}), promised: sentAt, alone: []bool{true}, asks: 1, calls: 1},
		"no call after its own lease has expired": {steps: slices.Concat(serveAlone, []any{submission("", 1), claimed, leaseTime, grant}), promised: sentAt, alone: []bool{true}, asks: 1},
		"ends": {
			steps: slices.Concat(serveAlone, []any{newView, submission("", 1), claimed, grant, leaseTime}), alone: []bool{true, false}, asks: 1,
		},
		"no promise while a task runs": {
			steps: slices.Concat(serveAlone, []any{submission("", 1), claimed, grant, newView, 2 * leaseTime, newView, leaseTime}),
			alone: []bool{true, false}, asks: 1, calls: 1,
		},
		"promises again": {
			steps: slices.Concat(serveAlone, []any{submission("", 1), claimed, grant, succeeded, newView, 2 * leaseTime, newView, leaseTime}),
			alone: []bool{true, false}, asks: 1, calls: 1, promised: sentAt,
		},
		"asks the primary for waiting tasks": {
			steps: slices.Concat(serveAlone, []any{submission("", 1), claimed, newView}), alone: []bool{true, false}, asks: 2, promised: sentAt,
		},
		"never without lists": {
			steps: []any{Lists{}, unused, wait}, promised: sentAt,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, s := range tt.steps {
				f.step(s)
			}
			var last msgs.Renew
			if all := sentOf[msgs.Renew](f); len(all) > 0 {
				last = all[len(all)-1]
			}
			if last.Promised != tt.promised || !slices.Equal(f.alone, tt.alone) {
				t.Errorf("promised %v, alone %v; want %v, %v", last.Promised, f.alone, tt.promised, tt.alone)
			}
			if len(f.calls) != tt.calls || len(sentOf[msgs.Ask](f)) != tt.asks {
				t.Errorf("%d calls, %d asks; want %d, %d", len(f.calls), len(sentOf[msgs.Ask](f)), tt.calls, tt.asks)
			}
			for _, c := range f.calls {
				if c.Grant.Fence != 1 {
					t.Errorf("a call has fence %d, want the last known one", c.Grant.Fence)
				}
			}
			if tt.code != "" && (len(f.replies) != 1 || f.replies[0].refusal.Code != tt.code || f.replies[0].refusal.NotRun != tt.notRun) {
				t.Errorf("replies %+v, want %s", f.replies, tt.code)
			}
		})
	}
}
