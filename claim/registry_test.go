package claim

import (
	"flag"
	"os"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	testSeed   = "20261204"
	testChecks = "500"
	testEpoch  = 40
	testDC     = "changwon"
)

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": testSeed, "rapid.checks": testChecks} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// step is a command with its expected result.
type step struct {
	c       Command
	verdict Verdict
	code    model.Code // of the refusal or of the failed answer
	notRun  bool

	repeated bool
	fence    uint64 // 0 for any
}

func begin(first bool) Command {
	return Command{Kind: KindBegin, Generation: 1, Epoch: testEpoch, FirstInstallation: first}
}

func membership(kind Kind, incarnation uint64) Command {
	return Command{Kind: kind, Host: "a", Incarnation: incarnation}
}

func join(incarnation uint64) Command  { return membership(KindJoin, incarnation) }
func expel(incarnation uint64) Command { return membership(KindExpel, incarnation) }
func rotate(epoch uint64) Command      { return Command{Kind: KindRotate, Epoch: epoch} }

func open(customer string, id uint64) Command {
	return Command{Kind: KindOpenSession, Customer: customer, ID: id}
}

func cancelGroup(group string) Command {
	return Command{Kind: KindCancelGroup, Customer: "club", Group: group}
}

// submit returns a claim on a key by host "a" for customer "club".
func submit(session, key, job string) Command {
	return Command{
		Kind: KindClaim, Customer: "club", Session: session, Key: key, Job: job,
		Host: "a", Incarnation: 1, Tasks: 1, Digest: [16]byte{1},
	}
}

func inGroup(c Command, group string) Command {
	c.Group = group
	return c
}

func withBody(c Command, digest byte) Command {
	c.Digest[0] = digest
	return c
}

func at(c Command, d time.Duration) Command {
	c.At = int64(d)
	return c
}

func complete(job, host string, incarnation uint64) Command {
	a := model.Answer{State: model.JobComplete, Results: [][]byte{[]byte("ok")}}
	return Command{Kind: KindFinish, Job: job, Host: host, Incarnation: incarnation, Answer: a}
}

func fail(job string, code model.Code) Command {
	a := model.Answer{State: model.JobFailed, Results: [][]byte{nil}, Refusal: &model.RefusalError{Code: code}}
	return Command{Kind: KindFinish, Job: job, Host: "a", Incarnation: 1, Answer: a, Release: true}
}

func failNotRun(job string) Command {
	a := model.Answer{State: model.JobFailed, Refusal: &model.RefusalError{Code: model.CodeQueueFull, NotRun: true}}
	return Command{Kind: KindFinish, Job: job, Host: "a", Incarnation: 1, Answer: a, Release: true}
}

func cancelKey(session, key string) Command {
	return Command{Kind: KindCancel, Customer: "club", Session: session, Key: key}
}

func sessionName(epoch, id uint64) string {
	return FormatSession(SessionName{DataCentre: testDC, Epoch: epoch, ID: id})
}

func TestApply(t *testing.T) {
	s1 := sessionName(testEpoch, 1)
	setup := []step{{c: begin(true)}, {c: join(1)}, {c: open("club", 1), verdict: VerdictOpened}}
	tests := map[string]struct {
		opts  []Option
		start []step
		steps []step
	}{
		"a resubmission joins the job, then gets its outcome": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: submit(s1, "k", "j2"), verdict: VerdictJoined},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: submit(s1, "k", "j3"), verdict: VerdictAnswered},
		}},
		"a key reused with another body": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: withBody(submit(s1, "k", "j2"), 9), verdict: VerdictRefused, code: model.CodeKeyReused, notRun: true},
		}},
		"sessions that are not in the registry": {start: setup, steps: []step{
			{c: submit(sessionName(testEpoch, 7), "k", "j"), verdict: VerdictRefused, code: model.CodeSessionUnknown, notRun: true},
			{c: submit(sessionName(99, 1), "k", "j"), verdict: VerdictRefused, code: model.CodeOutcomeUnknown},
			{c: submit("jinju.1.1", "k", "j"), verdict: VerdictRefused, code: model.CodeSessionUnknown},
			{c: submit("nonsense", "k", "j"), verdict: VerdictRefused, code: model.CodeSessionUnknown, notRun: true},
		}},
		"jobs of an expired session may have run": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: rotate(41)},
			{c: at(submit(s1, "k", "j2"), 19*time.Minute), verdict: VerdictJoined},
			{c: at(submit(s1, "k", "j2"), 20*time.Minute), verdict: VerdictRefused, code: model.CodeSessionExpired},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: at(submit(s1, "k", "j3"), 40*time.Minute), verdict: VerdictRefused, code: model.CodeSessionExpired},
		}},
		"an expired epoch is not used again": {start: setup, steps: []step{
			{c: rotate(41)},
			{c: at(rotate(testEpoch), 21*time.Minute), verdict: VerdictRefused, code: model.CodeConflict, notRun: true},
		}},
		"a rotation waits for earlier epochs": {opts: []Option{WithEpochs(1, time.Minute)}, start: setup, steps: []step{
			{c: rotate(41)},
			{c: rotate(42), verdict: VerdictRefused, code: model.CodeOverloaded, notRun: true},
			{c: at(rotate(42), time.Minute)},
		}},
		"the first outcome wins": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: fail("j1", model.CodeTaskFailed), verdict: VerdictAnswered, code: model.CodeTaskFailed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered, code: model.CodeTaskFailed},
		}},
		"only the owner can finish, and only with a complete answer": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: complete("j1", "b", 1), verdict: VerdictRefused, code: model.CodeConflict},
			{c: Command{Kind: KindFinish, Job: "j1", Host: "a", Incarnation: 1, Answer: model.Answer{State: model.JobComplete}}, verdict: VerdictRefused, code: model.CodeBadRequest},
			{c: complete("j9", "a", 1), verdict: VerdictRefused, code: model.CodeNotFound},
		}},
		"the jobs of an expelled host fail": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: expel(1), fence: 2},
			{c: expel(1), fence: 2},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered, code: model.CodeHostLost},
			{c: join(1), verdict: VerdictRefused, code: model.CodeConflict, notRun: true},
			{c: submit(s1, "k2", "j2"), verdict: VerdictRefused, code: model.CodeUnavailable, notRun: true},
		}},
		"a new incarnation fails the claims of the previous one": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: join(2), fence: 1},
			{c: submit(s1, "k", "j2"), verdict: VerdictAnswered, code: model.CodeHostLost},
			{c: join(1), verdict: VerdictRefused, code: model.CodeConflict, notRun: true},
		}},
		"the owner decides the outcome of a cancelled running job": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: cancelKey(s1, "k"), verdict: VerdictRevoked},
			{c: submit(s1, "k", "j2"), verdict: VerdictJoined},
			{c: fail("j1", model.CodeCancelled), verdict: VerdictAnswered, code: model.CodeCancelled},
			{c: submit(s1, "k", "j2"), verdict: VerdictAnswered, code: model.CodeCancelled},
		}},
		"cancelling an ended job has no effect": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: cancelKey(s1, "k"), verdict: VerdictAnswered},
		}},
		"a submission after its cancellation is refused permanently": {start: setup, steps: []step{
			{c: cancelKey(s1, "k"), verdict: VerdictTombstoned},
			{c: submit(s1, "k", "j1"), verdict: VerdictRefused, code: model.CodeCancelled, notRun: true},
			{c: at(submit(s1, "k", "j1"), time.Hour), verdict: VerdictRefused, code: model.CodeCancelled, notRun: true},
		}},
		"a cancelled group refuses submissions within its window": {start: setup, steps: []step{
			{c: inGroup(submit(s1, "k", "j1"), "gala"), verdict: VerdictClaimed},
			{c: cancelGroup("gala"), verdict: VerdictRevoked},
			{c: inGroup(submit(s1, "k2", "j2"), "gala"), verdict: VerdictRefused, code: model.CodeCancelled, notRun: true},
			{c: at(inGroup(submit(s1, "k3", "j3"), "gala"), time.Minute), verdict: VerdictClaimed},
		}},
		"a bare key is kept for its window": {start: setup, steps: []step{
			{c: submit("", "k", "j1"), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: at(submit("", "k", "j2"), 10*time.Minute-1), verdict: VerdictAnswered},
			{c: at(submit("", "k", "j3"), 10*time.Minute), verdict: VerdictClaimed},
		}},
		"a bare key after the group has lost its state": {start: []step{{c: begin(false)}, {c: join(1)}}, steps: []step{
			{c: submit("", "k", "j1"), verdict: VerdictRefused, code: model.CodeOutcomeUnknown},
			{c: at(submit("", "k", "j1"), 10*time.Minute), verdict: VerdictClaimed},
		}},
		"an answer past its window": {opts: []Option{WithAnswers(time.Minute, 1<<20)}, start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: at(submit(s1, "k", "j2"), time.Minute), verdict: VerdictRefused, code: model.CodeNotFound},
		}},
		"an answer beyond the byte budget": {opts: []Option{WithAnswers(time.Minute, 200)}, start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: submit(s1, "k2", "j2"), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: complete("j2", "a", 1), verdict: VerdictAnswered},
			{c: submit(s1, "k", "j3"), verdict: VerdictRefused, code: model.CodeNotFound},
			{c: submit(s1, "k2", "j3"), verdict: VerdictAnswered},
		}},
		"a repeated claim": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed, repeated: true},
			{c: submit(s1, "k2", "j1"), verdict: VerdictRefused, code: model.CodeConflict, notRun: true},
		}},
		"a new view": {start: setup, steps: []step{
			{c: Command{Kind: KindNewView, View: 3}, fence: 2},
			{c: Command{Kind: KindNewView, View: 3}, fence: 2},
		}},
		"another generation": {start: setup, steps: []step{
			{c: Command{Kind: KindBegin, Generation: 1, Fence: 9}, fence: 1},
			{c: Command{Kind: KindBegin, Generation: 2}, verdict: VerdictRefused, code: model.CodeConflict, notRun: true},
		}},
		"before KindBegin": {steps: []step{
			{c: open("club", 1), verdict: VerdictRefused, code: model.CodeUnavailable, notRun: true},
			{c: rotate(41), verdict: VerdictRefused, code: model.CodeUnavailable, notRun: true},
			{c: submit("", "k", "j1"), verdict: VerdictRefused, code: model.CodeOutcomeUnknown},
			{c: submit(s1, "k", "j1"), verdict: VerdictRefused, code: model.CodeOutcomeUnknown},
		}},
		"a released key can be claimed again with the same body": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: failNotRun("j1"), verdict: VerdictAnswered, code: model.CodeQueueFull, notRun: true},
			{c: withBody(submit(s1, "k", "j2"), 9), verdict: VerdictRefused, code: model.CodeKeyReused, notRun: true},
			{c: submit(s1, "k", "j2"), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictRefused, code: model.CodeNotFound},
			{c: complete("j2", "a", 1), verdict: VerdictAnswered},
			{c: submit(s1, "k", "j3"), verdict: VerdictAnswered},
		}},
		"a cancelled job keeps its key": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: cancelKey(s1, "k"), verdict: VerdictRevoked},
			{c: failNotRun("j1"), verdict: VerdictAnswered, code: model.CodeQueueFull, notRun: true},
			{c: submit(s1, "k", "j2"), verdict: VerdictAnswered, code: model.CodeQueueFull, notRun: true},
		}},
		"a cancellation after a release": {start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: failNotRun("j1"), verdict: VerdictAnswered, code: model.CodeQueueFull, notRun: true},
			{c: cancelKey(s1, "k"), verdict: VerdictTombstoned},
			{c: submit(s1, "k", "j2"), verdict: VerdictRefused, code: model.CodeCancelled, notRun: true},
		}},
		"a cancellation in a session of another data centre": {start: setup, steps: []step{
			{c: cancelKey("jinju.1.1", "k"), verdict: VerdictRefused, code: model.CodeSessionUnknown},
			{c: cancelKey(sessionName(testEpoch, 7), "k"), verdict: VerdictRefused, code: model.CodeSessionUnknown},
		}},
		"a renewed cancellation of a group": {start: setup, steps: []step{
			{c: cancelGroup("gala"), verdict: VerdictTombstoned},
			{c: at(cancelGroup("heat"), 30*time.Second), verdict: VerdictTombstoned},
			{c: at(cancelGroup("gala"), 50*time.Second), verdict: VerdictTombstoned},
			{c: at(inGroup(submit(s1, "k", "j1"), "heat"), 91*time.Second), verdict: VerdictClaimed},
			{c: at(inGroup(submit(s1, "k2", "j2"), "gala"), 100*time.Second), verdict: VerdictRefused, code: model.CodeCancelled, notRun: true},
		}},
		"full tables of sessions and tombstones": {opts: []Option{WithSettings(smallSettings())}, start: setup, steps: []step{
			{c: open("club", 2), verdict: VerdictOpened},
			{c: open("club", 3), verdict: VerdictOpened},
			{c: open("club", 4), verdict: VerdictOpened},
			{c: open("club", 5), verdict: VerdictRefused, code: model.CodeOverloaded, notRun: true},
			{c: open("crew", 5), verdict: VerdictOpened},
			{c: cancelGroup("g1"), verdict: VerdictTombstoned},
			{c: cancelGroup("g2"), verdict: VerdictTombstoned},
			{c: cancelGroup("g3"), verdict: VerdictTombstoned},
			{c: cancelGroup("g4"), verdict: VerdictTombstoned},
			{c: cancelGroup("g5"), verdict: VerdictRefused, code: model.CodeOverloaded},
		}},
		"one customer at its limit of claims": {opts: []Option{WithMaxClaims(9, 1)}, start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: submit(s1, "k2", "j2"), verdict: VerdictRefused, code: model.CodeOverloaded, notRun: true},
			{c: Command{Kind: KindClaim, Customer: "crew", Key: "k", Job: "j2", Host: "a", Incarnation: 1, Tasks: 1}, verdict: VerdictClaimed},
		}},
		"a full table of claims": {opts: []Option{WithMaxClaims(1, 1)}, start: setup, steps: []step{
			{c: submit(s1, "k", "j1"), verdict: VerdictClaimed},
			{c: submit(s1, "k2", "j2"), verdict: VerdictRefused, code: model.CodeOverloaded, notRun: true},
			{c: submit(s1, "k", "j2"), verdict: VerdictJoined},
		}},
		"a clock that goes back is ignored": {start: setup, steps: []step{
			{c: at(submit("", "k", "j1"), time.Hour), verdict: VerdictClaimed},
			{c: complete("j1", "a", 1), verdict: VerdictAnswered},
			{c: submit("", "k", "j2"), verdict: VerdictAnswered},
			{c: at(submit("", "k", "j2"), time.Hour+9*time.Minute), verdict: VerdictAnswered},
		}},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			reg := New(testDC, tc.opts...)
			for i, s := range append(tc.start[:len(tc.start):len(tc.start)], tc.steps...) {
				checkStep(t, i, s, reg.Apply(s.c))
			}
		})
	}
}

func checkStep(t *testing.T, i int, s step, res Result) {
	t.Helper()
	var code model.Code
	var notRun bool
	switch {
	case res.Refusal != nil:
		code, notRun = res.Refusal.Code, res.Refusal.NotRun
	case res.Answer != nil && res.Answer.Refusal != nil:
		code, notRun = res.Answer.Refusal.Code, res.Answer.Refusal.NotRun
	}
	if a := res.Answer; a != nil && a.State == model.JobFailed && a.Results != nil {
		t.Errorf("step %d: the failed answer is partial", i)
	}
	if res.Verdict != s.verdict || res.Repeated != s.repeated || (s.fence != 0 && res.Fence != s.fence) || code != s.code || notRun != s.notRun {
		t.Errorf("step %d: got verdict %s code %q not run %t repeated %t fence %d, want %+v",
			i, res.Verdict, code, notRun, res.Repeated, res.Fence, s)
	}
}
