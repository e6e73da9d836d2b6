package group

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestClaimBeforeGrant partitions the primary from the majority: a claim that is not committed must
// cause neither a verdict nor a grant.
func TestClaimBeforeGrant(t *testing.T) {
	tests := map[string]struct {
		partitioned bool
		grants      int
		kind        msgs.VerdictKind
	}{
		"majority":    {grants: 1, kind: msgs.VerdictClaimed},
		"no majority": {partitioned: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			p := f.primary()
			session := f.session(p)
			f.isolate(p, tt.partitioned)
			f.ask(p, "j1", session, "k")
			f.run(lease / 2)
			if n, v := f.granted("j1"), f.lastVerdict(p, "j1"); n != tt.grants || v.Kind != tt.kind {
				t.Errorf("%d grants, verdict %v; want %d and %v", n, v.Kind, tt.grants, tt.kind)
			}
		})
	}
}

// TestPrimaryLost kills the primary while the only slot is in use. The next primary must not grant the
// slot while the call of a host that can report it is in progress, and must not be elected before the
// lease of the lost primary has expired.
func TestPrimaryLost(t *testing.T) {
	tests := map[string]struct {
		silent bool // the host with the grant can't report it
		done   bool // the call ends
		want   int  // grants for the next job
	}{
		"call in progress":          {},
		"call ends":                 {done: true, want: 1},
		"host can't report it":      {silent: true, want: 1},
		"not reported, but it ends": {silent: true, done: true, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.holdGrants = true
			_, owner := f.backups()
			f.ask(owner, "j1", "", "")
			f.run(renewEvery)
			if f.granted("j1") != 1 {
				t.Fatal("the first job got no grant")
			}
			killedAt := f.now
			f.kill(f.primary())
			f.hosts[owner].silent = tt.silent
			next := memberNames[0]
			if f.members[next] == nil || next == owner {
				next = memberNames[1]
			}
			f.run(3 * time.Second)
			since := f.members[f.primary()].primary.electedAt
			f.ask(next, "j2", "", "")
			if tt.done {
				f.done(owner, f.hosts[owner].grants[0].ID)
			}
			f.run(5 * time.Second)
			if n := f.granted("j2"); n != tt.want {
				t.Errorf("%d grants for the next job, want %d", n, tt.want)
			}
			if since.Sub(killedAt) < lease {
				t.Errorf("the next primary was elected %v after the loss of the previous one", since.Sub(killedAt))
			}
		})
	}
}

// TestNoGrantBeforeLeasesExpire silences a host with a grant. The new primary, without the report of
// that host, must grant nothing before the host's lease has expired.
func TestNoGrantBeforeLeasesExpire(t *testing.T) {
	f := newFixture(t)
	f.holdGrants = true
	next, owner := f.backups()
	f.ask(owner, "j1", "", "")
	f.run(renewEvery)
	f.kill(f.primary())
	f.hosts[owner].silent = true
	for range 400 {
		f.run(step)
		if f.hosts[next].lease.Primary != "" && f.granted("j2") == 0 {
			f.ask(next, "j2", "", "")
		}
	}
	since := f.members[f.primary()].primary.electedAt
	for i, g := range f.hosts[next].grants {
		if at := f.hosts[next].grantedAt[i]; g.Job == "j2" && at.Sub(since) < recoveryTime {
			t.Errorf("granted %v after the election, want %v at least", at.Sub(since), recoveryTime)
		}
	}
}

// TestExpel silences a host. Its job must fail exactly once, also for the hosts that joined it, and a
// late outcome must not change the answer.
func TestExpel(t *testing.T) {
	f := newFixture(t)
	f.holdGrants = true
	session := f.session("h1")
	joiner, owner := f.backups()
	f.ask(owner, "j1", session, "k")
	f.run(renewEvery)
	f.ask(joiner, "j2", session, "k")
	f.run(renewEvery)
	fence := f.hosts[joiner].lease.Fence
	f.hosts[owner].silent = true
	f.run(recoveryTime - renewEvery - step)
	if len(f.expelled) > 0 {
		t.Error("expelled before the lease has expired by a slow clock")
	}
	f.run(3*time.Second - recoveryTime)
	f.finish(owner, "j1") // late
	f.run(lease)
	if v := f.lastVerdict(joiner, "j2"); v.Kind != msgs.VerdictJoined || v.Original != "j1" {
		t.Errorf("verdict %+v, want joined", v)
	}
	outcomes := receivedOf[msgs.Finished](f, joiner)
	if len(outcomes) != 1 || outcomes[0].Answer.Refusal.Code != model.CodeHostLost || outcomes[0].Answer.Refusal.NotRun {
		t.Errorf("outcomes %+v, want HostLost once", outcomes)
	}
	if len(f.expelled) != 1 || f.expelled[0] != owner || f.hosts[joiner].lease.Fence <= fence {
		t.Errorf("expelled %v, fence %d after %d", f.expelled, f.hosts[joiner].lease.Fence, fence)
	}
	f.ask(joiner, "j3", session, "k")
	f.run(renewEvery)
	if v := f.lastVerdict(joiner, "j3"); v.Kind != msgs.VerdictAnswered || v.Answer.Refusal.Code != model.CodeHostLost {
		t.Errorf("a resubmission gets %+v, want the same outcome", v)
	}
}

// TestStateLost restarts members after a job has ended, and submits its key again. The key must never
// be claimed a second time, even if a majority has lost its state.
func TestStateLost(t *testing.T) {
	tests := map[string]struct {
		restart []string
		bareKey bool // the key belongs to no session
		kind    msgs.VerdictKind
		code    model.Code
	}{
		"none":                {kind: msgs.VerdictAnswered},
		"h1":                  {restart: []string{"h1"}, kind: msgs.VerdictAnswered},
		"h2":                  {restart: []string{"h2"}, kind: msgs.VerdictAnswered},
		"two":                 {restart: []string{"h1", "h2"}, kind: msgs.VerdictRefused, code: model.CodeOutcomeUnknown},
		"the other two":       {restart: []string{"h2", "h3"}, kind: msgs.VerdictRefused, code: model.CodeOutcomeUnknown},
		"all":                 {restart: memberNames, kind: msgs.VerdictRefused, code: model.CodeOutcomeUnknown},
		"one, with bare key":  {restart: []string{"h1"}, bareKey: true, kind: msgs.VerdictAnswered},
		"two, with bare key":  {restart: []string{"h1", "h2"}, bareKey: true, kind: msgs.VerdictRefused, code: model.CodeOutcomeUnknown},
		"none, with bare key": {bareKey: true, kind: msgs.VerdictAnswered},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			session := ""
			if !tt.bareKey {
				session = f.session("h3")
			}
			f.ask("h3", "j1", session, "k")
			f.run(renewEvery)
			f.finish("h3", "j1")
			f.run(renewEvery)
			before := f.hosts["h3"].lease
			for _, name := range tt.restart {
				f.kill(name)
			}
			f.run(step)
			for _, name := range tt.restart {
				f.restart(name)
			}
			f.marked = true
			f.run(30 * time.Second)
			after := f.hosts["h3"].lease
			if newGeneration := after.Generation != before.Generation; newGeneration != (len(tt.restart) > 1) || newGeneration && after.Fence <= before.Fence {
				t.Errorf("new generation: %v; fence %d after %d", newGeneration, after.Fence, before.Fence)
			}
			f.ask("h3", "j2", session, "k")
			f.run(lease)
			v := f.lastVerdict("h3", "j2")
			if v.Kind != tt.kind || v.Refusal != nil && (v.Refusal.Code != tt.code || v.Refusal.NotRun) {
				t.Errorf("verdict %v %+v, want %v %s", v.Kind, v.Refusal, tt.kind, tt.code)
			}
			if f.granted("j2") > 0 {
				t.Error("the key was granted a second slot")
			}
		})
	}
}

// TestGrantIDsNotReused compares the grant IDs before and after a group has lost its state. A host
// that was partitioned meanwhile may still have calls with the earlier IDs in flight.
func TestGrantIDsNotReused(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.ask("h3", fmt.Sprint("before", i), "", "")
		f.run(renewEvery)
	}
	f.kill("h1")
	f.kill("h2")
	f.isolate("h3", true)
	f.run(step)
	f.restart("h1")
	f.restart("h2")
	f.run(20 * time.Second)
	for i := range 3 {
		f.ask("h1", fmt.Sprint("after", i), "", "")
		f.run(renewEvery)
	}
	before, after := f.hosts["h3"].grants, f.hosts["h1"].grants
	if len(before) != 3 || len(after) != 3 {
		t.Fatalf("%d and %d grants, want 3 and 3", len(before), len(after))
	}
	for _, g := range after {
		if slices.ContainsFunc(before, func(old msgs.Grant) bool { return old.ID == g.ID }) {
			t.Errorf("grant ID %d of %s was used before", g.ID, g.Job)
		}
	}
}

// TestHandover stops the primary: another host must become the primary immediately, and a claimed job
// must continue.
func TestHandover(t *testing.T) {
	f := newFixture(t)
	old := f.primary()
	session := f.session(old)
	_, owner := f.backups()
	f.ask(owner, "j1", session, "k")
	f.run(renewEvery)
	for range 20 {
		if f.members[old].drain(nil) {
			break
		}
		f.run(step)
	}
	f.run(2 * renewEvery)
	if f.primary() == old {
		t.Fatal("the stopped host is still the primary")
	}
	f.kill(old)
	f.run(2 * recoveryTime)
	f.ask(owner, "j1", session, "k")
	f.finish(owner, "j1")
	f.run(renewEvery)
	outcomes := receivedOf[msgs.Finished](f, owner)
	if len(outcomes) != 1 || outcomes[0].Answer.State != model.JobComplete {
		t.Errorf("outcomes %+v, want complete", outcomes)
	}
}

// TestCancelBeforeSubmission cancels a key before its submission arrives: the submission must be
// refused.
func TestCancelBeforeSubmission(t *testing.T) {
	tests := map[string]struct {
		cancelled string // key
		kind      msgs.VerdictKind
	}{
		"this key":    {cancelled: "k", kind: msgs.VerdictRefused},
		"another key": {cancelled: "x", kind: msgs.VerdictClaimed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			session := f.session("h1")
			f.sendToPrimary("h2", msgs.CancelAsk{Host: "h2", Customer: "halny", Session: session, Key: tt.cancelled})
			f.run(renewEvery)
			f.ask("h1", "j1", session, "k")
			f.run(renewEvery)
			v := f.lastVerdict("h1", "j1")
			if v.Kind != tt.kind || v.Refusal != nil && (v.Refusal.Code != model.CodeCancelled || !v.Refusal.NotRun) {
				t.Errorf("verdict %v %+v, want %v", v.Kind, v.Refusal, tt.kind)
			}
			if refused := tt.kind == msgs.VerdictRefused; refused == (f.granted("j1") > 0) {
				t.Errorf("%d grants", f.granted("j1"))
			}
		})
	}
}

// TestSharesAfterStateLost restarts all members. The part of the share that may have been lent before
// must be withheld until such loans have expired, even if no other command commits in the meantime.
func TestSharesAfterStateLost(t *testing.T) {
	f := newFixture(t)
	share := func() int {
		for _, n := range f.members {
			if n.primary != nil {
				return n.primary.placer.Usage("halny", f.now).MaxRunning
			}
		}
		return 0
	}
	if got := share(); got != 100 {
		t.Fatalf("share %d at a first installation, want 100", got)
	}
	for _, name := range memberNames {
		f.kill(name)
	}
	f.run(step)
	for _, name := range memberNames {
		f.restart(name)
	}
	f.marked = true
	f.run(30 * time.Second)
	if got := share(); got != 50 {
		t.Errorf("share %d after the loss, want 50", got)
	}
	f.run(4 * time.Minute)
	if got := share(); got != 100 {
		t.Errorf("share %d after all loans have expired, want 100", got)
	}
}
