package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// relayAnswer is a step: the other data centre answers the last relayed job.
type relayAnswer struct {
	answer  *model.Answer
	refusal *model.RefusalError
}

// peerUnreachable is a step: the host of the other data centre becomes unreachable.
var peerUnreachable = PeerState{Host: "x1"}

// addDataCentre adds the data centre "other" with the host x1, and returns a key whose home is dc.
func (f *fixture) addDataCentre() string {
	f.r.Hosts = append(f.r.Hosts, model.Host{Name: "x1", DataCentre: "other"})
	f.r.DataCentres = []string{"dc", "other"}
	for i := byte('a'); ; i++ {
		if claim.Home(f.r.DataCentres, "halny", string(i)) == "dc" {
			return string(i)
		}
	}
}

func loadOf(dataCentre, service string, idle int) msgs.Load {
	return msgs.Load{DataCentre: dataCentre, Services: []msgs.ServiceLoad{{Service: service, Idle: idle, Wait: time.Second}}}
}

// answerLastRelay delivers the answer to the last relayed job.
func (f *fixture) answerLastRelay(a relayAnswer) {
	relays := sentOf[msgs.Relay](f)
	f.r.Handle(msgs.Relayed{Request: relays[len(relays)-1].Request, Answer: a.answer, Refusal: a.refusal})
}

// relayLossStep is a step: the Relay of the last job is lost.
type relayLossStep struct{}

var relayLoss = relayLossStep{}

func (f *fixture) loseLastRelay() {
	relays := sentOf[msgs.Relay](f)
	f.r.Handle(RelayLost{Host: "x1", Request: relays[len(relays)-1].Request})
}

// TestRemoteRun checks that a job with a key runs in another data centre if its home has no idle slot
// or no backend server of its service. The claim stays at home, and the key is not relayed. If the
// relay is lost or the host becomes unreachable, the outcome is unknown. A job that was not run there
// is placed at home, and no task is called in both.
func TestRemoteRun(t *testing.T) {
	var (
		remoteComplete = relayAnswer{answer: &model.Answer{Job: "other.x1.1", State: model.JobComplete, Results: [][]byte{{'r'}}}}
		remoteFailed   = relayAnswer{answer: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeTaskFailed}}}
		remoteRefused  = relayAnswer{refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}}
		noIdleSlot     = []any{lease1, loadOf("dc", "dispatch", 0), loadOf("other", "dispatch", 4)}
		noService      = []any{lease1, loadOf("dc", "swap", 4), loadOf("other", "dispatch", 0)}
		noServer       = msgs.JobRefused{Job: firstJob, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}}
		grant          = grantOf(1, "dc.h1.0000000000000003", 0, 1) // one random number is drawn for the data centre
	)
	claimed, cancelled, lost := claimed, msgs.RevokeJob{Job: grant.Job}, hostLost
	claimed.Job, lost.Job = grant.Job, grant.Job
	tests := map[string]struct {
		before  []any // steps before the submission
		after   []any
		relays  int
		recalls int
		finish  *model.Answer // the outcome to commit
		calls   int
	}{
		"complete": {before: noIdleSlot, after: []any{claimed, remoteComplete}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"failed": {
			before: noIdleSlot, after: []any{claimed, remoteFailed}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeTaskFailed}},
		},
		"service unknown here": {before: noService, after: []any{claimed, remoteComplete}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"host unreachable while the job runs": {
			before: noIdleSlot, after: []any{claimed, peerUnreachable, remoteComplete}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}},
		},
		"relay lost": {
			before: noIdleSlot, after: []any{claimed, relayLoss, remoteComplete}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeOutcomeUnknown}},
		},
		"relay lost after the answer":  {before: noIdleSlot, after: []any{claimed, remoteComplete, relayLoss}, relays: 1, finish: &model.Answer{State: model.JobComplete}},
		"refused there, placed here":   {before: noIdleSlot, after: []any{claimed, remoteRefused, grant}, relays: 1, calls: 1},
		"not relayed before the claim": {before: noIdleSlot, after: nil},
		"once":                         {before: noIdleSlot, after: []any{claimed, claimed, leaseOf(1, 2)}, relays: 1},
		"grant while relayed":          {before: noIdleSlot, after: []any{claimed, grant}, relays: 1},
		"not relayed without a lease":  {before: noIdleSlot, after: []any{leaseTime, claimed}},
		"no reachable host":            {before: noIdleSlot, after: []any{peerUnreachable, claimed, grant}, calls: 1},
		"cancelled": {
			before: noIdleSlot, after: []any{claimed, cancelled, remoteComplete}, relays: 1, recalls: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeCancelled}},
		},
		"answer after an expulsion":              {before: noIdleSlot, after: []any{claimed, expelled, lease1, remoteComplete}, relays: 1},
		"failed by the group after an expulsion": {before: noIdleSlot, after: []any{claimed, expelled, lost, remoteComplete}, relays: 1, recalls: 1},
		"refused in both data centres": {
			before: noService, after: []any{claimed, remoteRefused, msgs.JobRefused{Job: grant.Job, Refusal: noServer.Refusal}}, relays: 1,
			finish: &model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			key := f.addDataCentre()
			for _, step := range append(append(tt.before, submission(key, 1)), tt.after...) {
				switch s := step.(type) {
				case relayAnswer:
					f.answerLastRelay(s)
				case relayLossStep:
					f.loseLastRelay()
				default:
					f.step(step)
				}
			}
			relays, recalls := sentOf[msgs.Relay](f), sentOf[msgs.Recall](f)
			if len(relays) != tt.relays || len(recalls) != tt.recalls || len(f.calls) != tt.calls {
				t.Errorf("%d relayed, %d recalled, %d calls", len(relays), len(recalls), len(f.calls))
			}
			for _, m := range relays {
				if m.Submission.Key != "" {
					t.Errorf("relayed with the key %q, want none", m.Submission.Key)
				}
			}
			f.checkFinish(t, grant.Job, tt.finish)
		})
	}
}

// checkFinish compares the outcome that the Runner asked the group to commit.
func (f *fixture) checkFinish(t *testing.T, job string, want *model.Answer) {
	t.Helper()
	finishes := sentOf[msgs.Finish](f)
	if want == nil && len(finishes) == 0 {
		return
	}
	if want == nil || len(finishes) != 1 || finishes[0].Job != job || finishes[0].Answer.Job != job {
		t.Fatalf("finishes %+v, want %+v", finishes, want)
	}
	outcome{answer: &finishes[0].Answer}.check(t, wantFrom(want))
}

func wantFrom(a *model.Answer) want {
	w := want{state: a.State}
	if a.Refusal != nil {
		w.code, w.notRun = a.Refusal.Code, a.Refusal.NotRun
	}
	return w
}

// TestRerouteRefusedJob checks that a job that is refused because its home has no backend server is
// relayed to another data centre only if that one has the service.
func TestRerouteRefusedJob(t *testing.T) {
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
			f := newFixture(t)
			key := f.addDataCentre()
			for _, step := range []any{
				lease1, submission(key, 1), claimed, loadOf("other", tt.service, 0),
				msgs.JobRefused{Job: firstJob, Refusal: &model.RefusalError{Code: model.CodeNoBackendServer, NotRun: true}},
			} {
				f.step(step)
			}
			if n := len(sentOf[msgs.Relay](f)); n != tt.relays {
				t.Fatalf("relayed %d times, want %d", n, tt.relays)
			}
			if tt.relays > 0 {
				f.answerLastRelay(relayAnswer{answer: &model.Answer{State: model.JobComplete, Results: [][]byte{{'r'}}}})
			}
			f.checkFinish(t, firstJob, tt.finish)
		})
	}
}

// TestRecall checks that a Recall stops only the job of the same host and request.
func TestRecall(t *testing.T) {
	tests := map[string]struct {
		recall  msgs.Recall
		revoked int
	}{
		"same request":    {recall: msgs.Recall{Request: 7, Host: "x1"}, revoked: 1},
		"another request": {recall: msgs.Recall{Request: 8, Host: "x1"}},
		"another host":    {recall: msgs.Recall{Request: 7, Host: "x2"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.step(lease1)
			f.step(msgs.Relay{Request: 7, Host: "x1", Submission: submission("", 1)})
			f.step(claimed)
			f.step(grant1)
			f.step(tt.recall)
			if len(f.calls) != 1 || len(f.revoked) != tt.revoked {
				t.Errorf("%d calls and %d revoked, want 1 and %d", len(f.calls), len(f.revoked), tt.revoked)
			}
		})
	}
}
