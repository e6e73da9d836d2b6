package jobs

import (
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

var (
	claimed   = msgs.Verdict{Job: firstJob, Kind: msgs.VerdictClaimed}
	lease1    = leaseOf(1, 1)
	grant1    = grantOf(1, firstJob, 0, 1)
	failed    = &model.RefusalError{Code: model.CodeHostLost}
	hostLost  = msgs.Finished{Job: firstJob, Answer: model.Answer{Job: firstJob, State: model.JobFailed, Refusal: failed}}
	complete  = msgs.Finished{Job: firstJob, Answer: model.Answer{Job: firstJob, State: model.JobComplete, Results: [][]byte{{'r'}}}}
	succeeded = CallEnded{Grant: 1, Result: msgs.ResultSucceeded, Output: []byte("r")}
	expelled  = msgs.Lease{Primary: "h2", Generation: 1, View: 1, Expelled: true}
	queueFull = msgs.JobRefused{Job: firstJob, Refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}}
)

// want is the expected result of a sequence of steps.
type want struct {
	calls  int
	dones  []msgs.Result
	state  model.JobState // of the reply, if it is an answer
	code   model.Code     // of the reply
	notRun bool
	none   bool // no reply is expected
}

func TestRunner(t *testing.T) {
	tests := map[string]struct {
		steps []any
		want  want
	}{
		"complete": {
			steps: []any{lease1, submission("", 1), claimed, grant1, succeeded},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"task not started waits for a new grant": {
			steps: []any{
				lease1, submission("", 1), claimed, grant1,
				CallEnded{Grant: 1, Result: msgs.ResultNotStarted},
				grantOf(2, firstJob, 0, 1),
				CallEnded{Grant: 2, Result: msgs.ResultSucceeded},
			},
			want: want{calls: 2, dones: []msgs.Result{msgs.ResultNotStarted, msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"second grant while a call is outstanding": {
			steps: []any{lease1, submission("", 1), claimed, grant1, grantOf(2, firstJob, 0, 1)},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultWithdrawn}, none: true},
		},
		"unknown result fails the job": {
			steps: []any{
				lease1, submission("", 2), claimed, grant1,
				CallEnded{Grant: 1, Result: msgs.ResultUnknown},
				grantOf(2, firstJob, 0, 1), grantOf(3, firstJob, 1, 1),
			},
			want: want{
				calls: 1, dones: []msgs.Result{msgs.ResultUnknown, msgs.ResultWithdrawn, msgs.ResultWithdrawn},
				state: model.JobFailed, code: model.CodeOutcomeUnknown,
			},
		},
		"outcome of a claimed job waits for its commit": {
			steps: []any{lease1, submission("k", 1), claimed, grant1, succeeded},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, none: true},
		},
		"outcome committed": {
			steps: []any{lease1, submission("k", 1), claimed, grant1, succeeded, complete},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"outcome committed twice": {
			steps: []any{lease1, submission("k", 1), claimed, grant1, succeeded, complete, hostLost},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"outcome committed before the call has ended": {
			steps: []any{lease1, submission("k", 1), claimed, grant1, hostLost, succeeded},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobFailed, code: model.CodeHostLost},
		},
		"grant for a job that has ended": {
			steps: []any{lease1, submission("k", 1), claimed, hostLost, grant1},
			want:  want{dones: []msgs.Result{msgs.ResultWithdrawn}, state: model.JobFailed, code: model.CodeHostLost},
		},
		"grant before the claim": {
			steps: []any{lease1, submission("k", 1), grant1},
			want:  want{dones: []msgs.Result{msgs.ResultWithdrawn}, none: true},
		},
		"grant delivered twice": {
			steps: []any{lease1, submission("", 1), claimed, grant1, grant1, succeeded},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"grant number reused by another generation": {
			steps: []any{
				lease1, submission("", 1), claimed, grant1,
				msgs.RevokeJob{Job: firstJob},
				leaseOf(2, 1), submission("", 1),
				msgs.Verdict{Job: "dc.h1.0000000000000003", Kind: msgs.VerdictClaimed},
				grantOf(1, "dc.h1.0000000000000003", 0, 1), succeeded,
			},
			want: want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobFailed, code: model.CodeCancelled},
		},
		"grant of an older view": {
			steps: []any{lease1, submission("", 1), claimed, leaseOf(1, 2), grant1},
			want:  want{none: true},
		},
		"grant of a former incarnation of the host": {
			steps: []any{lease1, submission("", 1), claimed, expelled, lease1, claimed, grant1},
			want:  want{dones: []msgs.Result{msgs.ResultWithdrawn}, none: true},
		},
		"late lease of an earlier generation": {
			steps: []any{
				leaseOf(1, 1), 50 * time.Millisecond, leaseOf(2, 1), submission("", 1), claimed,
				msgs.Lease{Primary: "h3", Generation: 1, View: 7, SentAt: 1, Duration: leaseTime},
				grant1, succeeded,
			},
			want: want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"lease has expired": {
			steps: []any{lease1, submission("", 1), claimed, 50 * time.Millisecond, leaseTime, grant1},
			want:  want{none: true},
		},
		"call ends without a lease": {
			steps: []any{lease1, submission("", 1), claimed, grant1, leaseTime, succeeded, lease1},
			want:  want{calls: 1, dones: []msgs.Result{msgs.ResultSucceeded}, state: model.JobComplete},
		},
		"call ends without a lease, then another view": {
			steps: []any{lease1, submission("", 1), claimed, grant1, leaseTime, succeeded, leaseOf(1, 2)},
			want:  want{calls: 1, state: model.JobComplete},
		},
		"lease has expired on arrival": {
			steps: []any{time.Millisecond, msgs.Lease{Primary: "h2", Generation: 1, View: 1, SentAt: 1}, submission("", 1), claimed, grant1, lease1},
			want:  want{code: model.CodeUnavailable, notRun: true, dones: []msgs.Result{msgs.ResultWithdrawn}},
		},
		"joined": {
			steps: []any{
				lease1, submission("k", 1),
				msgs.Verdict{Job: firstJob, Kind: msgs.VerdictJoined, Original: "dc.h2.1"},
				msgs.Finished{Job: "dc.h2.1", Answer: model.Answer{Job: "dc.h2.1", State: model.JobComplete}},
			},
			want: want{state: model.JobComplete},
		},
		"joined job starts nothing": {
			steps: []any{
				lease1, submission("k", 1), msgs.Verdict{Job: firstJob, Kind: msgs.VerdictJoined, Original: "dc.h2.1"}, grant1,
			},
			want: want{dones: []msgs.Result{msgs.ResultWithdrawn}, none: true},
		},
		"late outcome of an earlier job that released the key": {
			steps: []any{
				lease1, submission("k", 1),
				msgs.Verdict{Job: firstJob, Kind: msgs.VerdictJoined, Original: "dc.h2.1"},
				claimed, grant1,
				msgs.Finished{Job: "dc.h2.1", Answer: model.Answer{Job: "dc.h2.1", State: model.JobFailed, Refusal: queueFull.Refusal}},
			},
			want: want{calls: 1, none: true},
		},
		"earlier submission has ended": {
			steps: []any{lease1, submission("k", 1), msgs.Verdict{Job: firstJob, Kind: msgs.VerdictAnswered, Answer: &complete.Answer}},
			want:  want{state: model.JobComplete},
		},
		"expelled while running starts no more tasks": {
			steps: []any{
				lease1, submission("k", 2), claimed, grant1, expelled, lease1,
				msgs.Grant{ID: 5, Job: firstJob, Task: 1, View: 1, Incarnation: 3},
				hostLost,
			},
			want: want{calls: 1, dones: []msgs.Result{msgs.ResultWithdrawn}, state: model.JobFailed, code: model.CodeHostLost},
		},
		"claim lost after a task has started": {
			steps: []any{lease1, submission("k", 2), claimed, grant1, expelled, lease1, claimed},
			want:  want{calls: 1, code: model.CodeOutcomeUnknown},
		},
		"refused before any call": {
			steps: []any{lease1, submission("", 1), claimed, queueFull},
			want:  want{code: model.CodeQueueFull, notRun: true},
		},
		"refused after a call": {
			steps: []any{lease1, submission("", 2), claimed, grant1, queueFull},
			want:  want{calls: 1, state: model.JobFailed, code: model.CodeQueueFull},
		},
		"refused, key released": {
			steps: []any{
				lease1, submission("k", 1), claimed, queueFull,
				msgs.Finished{Job: firstJob, Answer: model.Answer{Job: firstJob, State: model.JobFailed, Refusal: queueFull.Refusal}},
			},
			want: want{code: model.CodeQueueFull, notRun: true},
		},
		"no lease, with a key": {
			steps: []any{submission("k", 1)},
			want:  want{code: model.CodeUnavailable},
		},
		"unknown customer, with a key": {
			steps: []any{lease1, model.Submission{Customer: "x", Key: "k", Tasks: submission("", 1).Tasks}},
			want:  want{code: model.CodeUnknownCustomer},
		},
		"unknown customer": {
			steps: []any{lease1, model.Submission{Customer: "x", Tasks: submission("", 1).Tasks}},
			want:  want{code: model.CodeUnknownCustomer, notRun: true},
		},
		"cancelled while running": {
			steps: []any{lease1, submission("", 2), claimed, grant1, msgs.RevokeJob{Job: firstJob}},
			want:  want{calls: 1, state: model.JobFailed, code: model.CodeCancelled},
		},
		"deadline passed": {
			steps: []any{
				lease1,
				model.Submission{Customer: "halny", Deadline: time.Millisecond, Tasks: submission("", 1).Tasks},
				claimed, grant1, 2 * time.Millisecond,
			},
			want: want{calls: 1, state: model.JobFailed, code: model.CodeDeadlinePassed},
		},
		"primary never decides": {
			steps: []any{lease1, submission("k", 1), 3 * time.Second, 3 * time.Second, 3 * time.Second},
			want:  want{code: model.CodeOutcomeUnknown},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, step := range tt.steps {
				f.step(step)
			}
			f.check(t, tt.want)
		})
	}
}

func (f *fixture) check(t *testing.T, want want) {
	t.Helper()
	var dones []msgs.Result
	for _, d := range sentOf[msgs.Done](f) {
		dones = append(dones, d.Result)
	}
	if len(f.calls) != want.calls || !slices.Equal(dones, want.dones) {
		t.Errorf("%d calls, returned slots with results %v; want %d and %v", len(f.calls), dones, want.calls, want.dones)
	}
	if want.none {
		if len(f.replies) > 0 {
			t.Errorf("got %+v, want no reply yet", f.replies)
		}
		return
	}
	if len(f.replies) != 1 {
		t.Fatalf("%d replies, want 1", len(f.replies))
	}
	f.replies[0].check(t, want)
}

func (o outcome) check(t *testing.T, want want) {
	t.Helper()
	state, refusal := model.JobRunning, o.refusal
	if o.answer != nil {
		state, refusal = o.answer.State, o.answer.Refusal
	}
	if refusal == nil {
		refusal = &model.RefusalError{}
	}
	if state != want.state || refusal.Code != want.code || refusal.NotRun != want.notRun {
		t.Errorf("got %v %s NotRun %v, want %v %s %v", state, refusal.Code, refusal.NotRun, want.state, want.code, want.notRun)
	}
}

// TestNoWaitKeepsOutcome checks that a job refused by the placer releases its key only if its
// submitter has not received the acknowledgement that the job is in flight.
func TestNoWaitKeepsOutcome(t *testing.T) {
	tests := map[string]struct {
		noWait  bool
		release bool
	}{
		"waits":         {release: true},
		"does not wait": {noWait: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.step(lease1)
			f.step(Submit{Submission: submission("k", 1), NoWait: tt.noWait, Reply: func(*model.Answer, *model.RefusalError) {}})
			f.step(claimed)
			f.step(queueFull)
			finishes := sentOf[msgs.Finish](f)
			if len(finishes) != 1 || finishes[0].Release != tt.release {
				t.Fatalf("finishes %+v, want one with Release %v", finishes, tt.release)
			}
		})
	}
}

// TestPrimaryRequests sends requests that only the primary can answer. The refusal of a cancel never
// has NotRun, since the jobs to cancel may be running.
func TestPrimaryRequests(t *testing.T) {
	tests := map[string]struct {
		steps []any
		sent  bool
		code  model.Code
	}{
		"primary never answers":      {steps: []any{lease1}, sent: true, code: model.CodeOutcomeUnknown},
		"no lease":                   {code: model.CodeUnavailable},
		"primary is unreachable":     {steps: []any{lease1, PeerState{Host: "h2"}}, code: model.CodeUnavailable},
		"primary is reachable again": {steps: []any{lease1, PeerState{Host: "h2"}, PeerState{Host: "h2", Reachable: true}}, sent: true, code: model.CodeOutcomeUnknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			for _, s := range tt.steps {
				f.step(s)
			}
			var refusals []*model.RefusalError
			f.step(Fetch{Job: firstJob, Reply: func(_ *model.Answer, r *model.RefusalError) { refusals = append(refusals, r) }})
			f.step(Cancel{Customer: "halny", Key: "k", Reply: func(_ Cancelled, r *model.RefusalError) { refusals = append(refusals, r) }})
			if sent := len(sentOf[msgs.Fetch](f)) + len(sentOf[msgs.CancelAsk](f)); sent > 0 != tt.sent {
				t.Errorf("%d requests sent", sent)
			}
			if answered := len(refusals) > 0; answered == tt.sent {
				t.Errorf("answered immediately: %v", answered)
			}
			f.step(3 * time.Second) // longer than the request timeout
			for _, r := range refusals {
				if r.Code != tt.code || r.NotRun {
					t.Errorf("got %+v, want %s", r, tt.code)
				}
			}
			if len(refusals) != 2 {
				t.Errorf("%d answers, want 2", len(refusals))
			}
		})
	}
}
