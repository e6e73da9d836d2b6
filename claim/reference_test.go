package claim

import (
	"fmt"
	"maps"
	"reflect"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"pgregory.net/rapid"
)

// smallSettings returns limits and windows that are reached within a few commands.
func smallSettings() Settings {
	return Settings{
		EpochWindow: 40, KeptEpochs: 2, BareKeyWindow: 30, AnswerWindow: 20, AnswerBytes: 900,
		KeyTombstoneWindow: 25, GroupTombstoneWindow: 10, MaxSessionsPerCustomer: 4,
		MaxClaims: 24, MaxClaimsPerCustomer: 16, MaxTombstones: 4, MaxHosts: 3,
	}
}

// refModel is the reference model: a naive implementation that never removes anything.
type refModel struct {
	clock       int64 // the primary's clock, before skew
	now         int64 // latest At of a command
	jobs        int
	startedJobs map[string]string // last started job, by key
	outcomes    map[string]*model.Answer
	endedAt     map[string]int64
	sessions    []string
	hosts       map[string]uint64
	epoch       uint64
	fence       uint64
}

func newRefModel() *refModel {
	return &refModel{
		startedJobs: map[string]string{}, outcomes: map[string]*model.Answer{},
		endedAt: map[string]int64{}, sessions: []string{""}, hosts: map[string]uint64{}, epoch: testEpoch,
	}
}

func keyOf(c Command) string { return fmt.Sprint(c.Customer, "/", c.Session, "/", c.Key) }

// drawCommand returns a random command, which is valid in the current state more often than not.
func (ref *refModel) drawCommand(t *rapid.T) Command {
	ref.clock += rapid.Int64Range(0, 6).Draw(t, "elapsed")
	host := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "host")
	c := Command{
		At: ref.clock - rapid.Int64Range(0, 2).Draw(t, "skew"), Host: host, Incarnation: ref.hosts[host], Tasks: 1,
		Customer: rapid.SampledFrom([]string{"club", "crew"}).Draw(t, "customer"),
		Session:  rapid.SampledFrom(ref.sessions).Draw(t, "session"),
		Key:      rapid.SampledFrom([]string{"k1", "k2", "k3"}).Draw(t, "key"),
		Group:    rapid.SampledFrom([]string{"", "g1", "g2"}).Draw(t, "group"),
		Digest:   [16]byte{rapid.SampledFrom([]byte{1, 1, 1, 2}).Draw(t, "digest")},
		Kind: rapid.SampledFrom([]Kind{
			KindClaim, KindClaim, KindClaim, KindClaim, KindFinish, KindFinish, KindFinish, KindFinish,
			KindOpenSession, KindJoin, KindExpel, KindNewView, KindCancel, KindCancelGroup, KindRotate, KindTick,
		}).Draw(t, "kind"),
	}
	ref.fillCommand(t, &c)
	return c
}

func (ref *refModel) fillCommand(t *rapid.T, c *Command) {
	switch c.Kind {
	case KindClaim:
		ref.jobs++
		c.Job = fmt.Sprint("j", ref.jobs)
	case KindFinish:
		c.Job = fmt.Sprint("j", ref.jobs-rapid.IntRange(0, 6).Draw(t, "age"))
		c.Release = rapid.Bool().Draw(t, "release")
		c.Answer = rapid.SampledFrom([]model.Answer{complete("", "", 0).Answer, fail("", model.CodeTaskFailed).Answer, failNotRun("").Answer}).Draw(t, "answer")
	case KindOpenSession:
		c.ID = rapid.Uint64Range(1, 5).Draw(t, "id")
	case KindJoin:
		c.Incarnation += rapid.Uint64Range(0, 1).Draw(t, "restarted")
	case KindRotate:
		c.Epoch = ref.epoch + 1
	case KindNewView:
		c.View = rapid.Uint64Range(0, 50).Draw(t, "view")
	}
}

// check compares a result with all earlier ones and updates the model.
func (ref *refModel) check(t *rapid.T, c Command, res Result) {
	if res.Fence < ref.fence {
		t.Fatalf("the fencing token decreased from %d to %d", ref.fence, res.Fence)
	}
	ref.fence = res.Fence
	ref.now = max(ref.now, c.At)
	for _, o := range res.Failed {
		ref.endedAt[o.Job] = ref.now
	}
	if res.Released {
		maps.DeleteFunc(ref.startedJobs, func(_, job string) bool { return job == res.Job })
		delete(ref.outcomes, res.Job)
	} else if res.Answer != nil {
		ref.checkOutcome(t, res.Answer)
	}
	switch {
	case c.Kind == KindClaim:
		ref.checkClaim(t, c, res)
	case res.Verdict == VerdictOpened:
		ref.sessions = append(ref.sessions, res.Session)
	case c.Kind == KindJoin && res.Verdict == VerdictApplied:
		ref.hosts[c.Host] = c.Incarnation
	case c.Kind == KindRotate && res.Verdict == VerdictApplied:
		ref.epoch = c.Epoch
	}
}

func (ref *refModel) checkOutcome(t *rapid.T, a *model.Answer) {
	if first := ref.outcomes[a.Job]; first != nil && !reflect.DeepEqual(first, a) {
		t.Fatalf("job %s: the outcome changed from %+v to %+v", a.Job, first, a)
	}
	ref.outcomes[a.Job] = a
	if _, ok := ref.endedAt[a.Job]; !ok {
		ref.endedAt[a.Job] = ref.now
	}
}

func (ref *refModel) checkClaim(t *rapid.T, c Command, res Result) {
	k := keyOf(c)
	previous := ref.startedJobs[k]
	endedAt, ended := ref.endedAt[previous]
	retained := previous != "" &&
		(c.Session != "" || !ended || ref.now < endedAt+int64(smallSettings().BareKeyWindow))
	switch {
	case res.Verdict == VerdictClaimed && retained:
		t.Fatalf("key %s: started twice, as job %s and job %s", k, previous, res.Job)
	case res.Verdict == VerdictClaimed:
		ref.startedJobs[k] = res.Job
	case res.Verdict == VerdictJoined || res.Verdict == VerdictAnswered:
		if res.Job != previous {
			t.Fatalf("key %s: got job %s, want %s", k, res.Job, previous)
		}
	case res.Refusal.NotRun && res.Refusal.Code != model.CodeKeyReused && retained:
		t.Fatalf("key %s: refused with NotRun, but job %s has started", k, previous)
	}
}

func checkBounds(t *rapid.T, reg *Registry) {
	n, cfg := reg.Counts(), reg.Settings()
	if n.Claims > cfg.MaxClaims || n.AnswerBytes > cfg.AnswerBytes || n.Tombstones > 2*cfg.MaxTombstones ||
		n.Hosts > cfg.MaxHosts || len(reg.expiredEpochs) > maxExpiredEpochs {
		t.Fatalf("limits exceeded: %+v", n)
	}
}

// TestMatchesReferenceModel applies random commands and compares the results with the reference
// model, and a Registry that is restored from snapshots at random times with one that is not. It
// guards against a key that starts twice, an outcome that changes, and state that a snapshot loses.
func TestMatchesReferenceModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		opt := WithSettings(smallSettings())
		ref, reg, restored := newRefModel(), New(testDC, opt), New(testDC, opt)
		reg.Apply(begin(true))
		restored.Apply(begin(true))
		for range rapid.IntRange(1, 300).Draw(t, "commands") {
			c := ref.drawCommand(t)
			res := reg.Apply(c)
			if got := restored.Apply(c); !reflect.DeepEqual(got, res) {
				t.Fatalf("restored: got %+v, want %+v", got, res)
			}
			ref.check(t, c, res)
			checkBounds(t, reg)
			if rapid.IntRange(0, 9).Draw(t, "restore") == 0 {
				restored = Restore(restored.Snapshot())
			}
		}
		if got, want := restored.Snapshot(), reg.Snapshot(); !reflect.DeepEqual(got, want) {
			t.Fatalf("snapshots: got %+v, want %+v", got, want)
		}
		for i := range ref.jobs {
			got, _ := restored.ByJob(fmt.Sprint("j", i))
			if want, _ := reg.ByJob(fmt.Sprint("j", i)); !reflect.DeepEqual(got, want) {
				t.Fatalf("restored: got %+v, want %+v", got, want)
			}
		}
		if got, want := restored.Counts(), reg.Counts(); got != want {
			t.Fatalf("counts: got %+v, want %+v", got, want)
		}
	})
}

// TestSweepEmptiesRegistry checks that nothing is left in a Registry after all windows have passed,
// which guards against tables that grow without bound.
func TestSweepEmptiesRegistry(t *testing.T) {
	reg := New(testDC, WithEpochs(1, time.Minute), WithBareKeyWindow(2*time.Hour))
	reg.Apply(begin(true))
	reg.Apply(join(1))
	reg.Apply(open("club", 1))
	for i := range 1000 {
		session := ""
		if i%2 == 0 {
			session = sessionName(testEpoch, 1)
		}
		job := fmt.Sprint("j", i)
		reg.Apply(submit(session, job, job))
		reg.Apply(complete(job, "a", 1))
		reg.Apply(cancelKey(session, "c"+job))
	}
	reg.Apply(rotate(41))
	for range 100 {
		checkStep(t, 0, step{verdict: VerdictRefused, code: model.CodeSessionExpired},
			reg.Apply(at(submit(sessionName(testEpoch, 1), "new", "new"), time.Minute)))
	}
	restored := Restore(reg.Snapshot()) // its queue of answers lacks those of removed claims
	for i := range 200 {
		c := at(Command{Kind: KindTick}, time.Hour+time.Duration(i)*time.Minute)
		reg.Apply(c)
		restored.Apply(c)
		if got, want := restored.Counts(), reg.Counts(); got != want {
			t.Fatalf("restored: got %+v, want %+v", got, want)
		}
	}
	if got, want := reg.Counts(), (Counts{Epochs: 1, Hosts: 1}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if len(reg.customers) != 0 || reg.answered.len() != 0 {
		t.Errorf("got %d customers and %d queued answers, want none", len(reg.customers), reg.answered.len())
	}
}
