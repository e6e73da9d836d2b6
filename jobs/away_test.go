package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// backOf is the answer of the other data centre to the last job handed to it.
type backOf struct {
	answer  *model.Answer
	refusal *model.RefusalError
}

// unreachable is the loss of the other data centre's host.
var unreachable = PeerState{Host: "x1"}

// twoDataCentres adds a data centre with idle slots to the world, and returns a
// key whose home is the first one.
func (w *world) twoDataCentres() string {
	w.r.Hosts = append(w.r.Hosts, model.Host{Name: "x1", DataCentre: "other"})
	w.r.DataCentres = []string{"dc", "other"}
	for i := byte('a'); ; i++ {
		if claim.Home(w.r.DataCentres, "halny", string(i)) == "dc" {
			return string(i)
		}
	}
}

func loadOf(dataCentre, service string, idle int) msgs.Load {
	return msgs.Load{DataCentre: dataCentre, Services: []msgs.ServiceLoad{{Service: service, Idle: idle, Wait: time.Second}}}
}

// back answers the last job that was handed over.
func (w *world) back(b backOf) {
	relays := sentOf[msgs.Relay](w)
	w.r.Handle(msgs.Relayed{Request: relays[len(relays)-1].Request, Answer: b.answer, Refusal: b.refusal})
}

// relayLost is the loss of the last job on its way to the other data centre.
type relayLost struct{}

var lostRelay = relayLost{}

func (w *world) loseRelay() {
	relays := sentOf[msgs.Relay](w)
	w.r.Handle(Lost{Host: "x1", Request: relays[len(relays)-1].Request})
}

// TestAway runs a job with a key whose home has no idle slot, or no backend
// server of its service, in another data centre.
func TestAway(t *testing.T) {
	var (
		done     = backOf{answer: &model.Answer{Job: "other.x1.1", State: model.JobComplete, Results: [][]byte{{'r'}}}}
		broken   = backOf{answer: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeTaskFailed}}}
		notTaken = backOf{refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}}
		busy     = []any{lease1, loadOf("dc", "dispatch", 0), loadOf("other", "dispatch", 4)}
		without  = []any{lease1, loadOf("dc", "swap", 4), loadOf("other", "dispatch", 0)}
		noServer = msgs.JobRefused{Job: firstJob, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}}
		grant    = grantOf(1, "dc.h1.0000000000000003", 0, 1) // a random number chose the data centre
	)
	claimed, cancelled, lost := claimed, msgs.RevokeJob{Job: grant.Job}, hostLost
	claimed.Job, lost.Job = grant.Job, grant.Job
	tests := map[string]struct {
		before  []any // the submission
		after   []any
		relays  int
		recalls int
		finish  *model.Answer // the outcome that is to be committed
		calls   int
	}{
		"complete": {before: busy, after: []any{claimed, done}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"failed": {
			before: busy, after: []any{claimed, broken}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeTaskFailed}},
		},
		"service unknown here": {before: without, after: []any{claimed, done}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"host lost": {
			before: busy, after: []any{claimed, unreachable, done}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}},
		},
		"lost on the way": {
			before: busy, after: []any{claimed, lostRelay, done}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}},
		},
		"answered and then lost":    {before: busy, after: []any{claimed, done, lostRelay}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"not taken, so placed here": {before: busy, after: []any{claimed, notTaken, grant}, relays: 1, calls: 1},
		"not before the claim":      {before: busy, after: nil},
		"once":                      {before: busy, after: []any{claimed, claimed, leaseOf(1, 2)}, relays: 1},
		"no grant meanwhile":        {before: busy, after: []any{claimed, grant}, relays: 1},
		"not without a lease":       {before: busy, after: []any{leaseTime, claimed}},
		"no host to be reached":     {before: busy, after: []any{unreachable, claimed, grant}, calls: 1},
		"cancelled": {
			before: busy, after: []any{claimed, cancelled, done}, relays: 1, recalls: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeCancelled}},
		},
		"answer after an expulsion": {before: busy, after: []any{claimed, expelled, lease1, done}, relays: 1},
		"given up by the group":     {before: busy, after: []any{claimed, expelled, lost, done}, relays: 1, recalls: 1},
		"refused there too": {
			before: without, after: []any{claimed, notTaken, msgs.JobRefused{Job: grant.Job, Refusal: noServer.Refusal}}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			key := w.twoDataCentres()
			for _, step := range append(append(tt.before, submission(key, 1)), tt.after...) {
				switch s := step.(type) {
				case backOf:
					w.back(s)
				case relayLost:
					w.loseRelay()
				default:
					w.do(step)
				}
			}
			relays, recalls := sentOf[msgs.Relay](w), sentOf[msgs.Recall](w)
			if len(relays) != tt.relays || len(recalls) != tt.recalls || len(w.calls) != tt.calls {
				t.Errorf("%d handed over, %d recalled, %d calls", len(relays), len(recalls), len(w.calls))
			}
			for _, m := range relays {
				if m.Submission.Key != "" {
					t.Errorf("handed over with the key %q", m.Submission.Key)
				}
			}
			w.checkFinish(t, grant.Job, tt.finish)
		})
	}
}

// checkFinish compares the outcome that is to be committed.
func (w *world) checkFinish(t *testing.T, job string, want *model.Answer) {
	t.Helper()
	finishes := sentOf[msgs.Finish](w)
	if want == nil && len(finishes) == 0 {
		return
	}
	if want == nil || len(finishes) != 1 || finishes[0].Job != job || finishes[0].Answer.Job != job {
		t.Fatalf("finishes %+v, want %+v", finishes, want)
	}
	outcome{answer: &finishes[0].Answer}.check(t, wantOf(want))
}

func wantOf(a *model.Answer) want {
	w := want{state: a.State}
	if a.Refusal != nil {
		w.code, w.notRun = a.Refusal.Code, a.Refusal.NotRun
	}
	return w
}

// TestTurnedAway refuses a job where its home has no backend server. It goes to
// another data centre only if that one has the service.
func TestTurnedAway(t *testing.T) {
	tests := map[string]struct {
		service string // of the other data centre
		relays  int
		finish  *model.Answer
	}{
		"another data centre has it": {service: "dispatch", relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"none has it": {
			service: "swap",
			finish:  &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			key := w.twoDataCentres()
			for _, step := range []any{
				lease1, submission(key, 1), claimed, loadOf("other", tt.service, 0),
				msgs.JobRefused{Job: firstJob, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}},
			} {
				w.do(step)
			}
			if n := len(sentOf[msgs.Relay](w)); n != tt.relays {
				t.Fatalf("handed over %d times, want %d", n, tt.relays)
			}
			if tt.relays > 0 {
				w.back(backOf{answer: &model.Answer{State: model.JobComplete, Results: [][]byte{{'r'}}}})
			}
			w.checkFinish(t, firstJob, tt.finish)
		})
	}
}

// TestRecall stops the job of another host, and only that one.
func TestRecall(t *testing.T) {
	tests := map[string]struct {
		recall  msgs.Recall
		revoked int
	}{
		"its own":         {recall: msgs.Recall{Request: 7, Host: "x1"}, revoked: 1},
		"another request": {recall: msgs.Recall{Request: 8, Host: "x1"}},
		"another host":    {recall: msgs.Recall{Request: 7, Host: "x2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			w.do(lease1)
			w.do(msgs.Relay{Request: 7, Host: "x1", Submission: submission("", 1)})
			w.do(claimed)
			w.do(grant1)
			w.do(tt.recall)
			if len(w.calls) != 1 || len(w.revoked) != tt.revoked {
				t.Errorf("%d calls and %d revoked, want 1 and %d", len(w.calls), len(w.revoked), tt.revoked)
			}
		})
	}
}
