package proof

import (
	"fmt"
	"testing"
)

// TestSessions submits jobs of sessions, each to two data centres at the same time, while an entry host
// and then the primary of one data centre are killed, and then all hosts of another. Each task must be
// started at most once and each job must have one answer; a data centre that lost its state must answer
// OutcomeUnknown.
func TestSessions(t *testing.T) {
	s := startSystem(t, systemOptions{})
	sessions := s.openSessions()
	runs, duplicates := s.loadDuplicates("first", sessions)
	s.awaitStarts(20)
	entry := s.nonPrimary("gimhae")
	entry.Kill()
	s.restart(entry)
	started := s.counts().Total
	more, moreDuplicates := s.loadDuplicates("second", sessions)
	s.awaitStarts(started + 20)
	primary := s.primary("gimhae")
	primary.Kill()
	runs, duplicates = append(runs, more...), append(duplicates, moreDuplicates...)
	s.awaitAnswers(runs)
	s.awaitAnswers(duplicates)
	for i, r := range runs {
		s.checkSameAnswer(r, duplicates[i].Answer)
	}
	if countComplete(runs) == 0 {
		t.Errorf("no job completed: %v", incompleteReasons(runs))
	}
	s.checkResubmissions(runs)
	s.restart(primary)

	lostRuns, _ := s.loadDuplicates("third", sessions[2:])
	s.awaitStarts(s.counts().Total + 1)
	s.killDataCentre("jinju")
	s.restartDataCentre("jinju")
	for i, r := range append(lostRuns, runs...) {
		a := s.client().submit(s.Hosts[i%len(s.Hosts)], r.Job)
		if r.Job.Session != sessions[2] {
			s.checkSameAnswer(r, a)
			continue
		}
		if a.Refusal.GetCode() != "OutcomeUnknown" || a.Refusal.NotRun {
			t.Errorf("job %s of a session whose state is lost: %+v", r.Job.Key, a)
		}
	}
	s.checkStarts()
	fresh, _ := s.loadDuplicates("fourth", []string{s.openSession("jinju")})
	s.awaitAnswers(fresh)
	if n := countComplete(fresh); n != len(fresh) {
		t.Errorf("%d of %d jobs of a new session completed: %v", n, len(fresh), incompleteReasons(fresh))
	}
}

// TestExpiredSession submits a job of a session until the session has expired, then used and new keys
// of it to every host. No task may be started then, and no refusal may say that the job was not run.
func TestExpiredSession(t *testing.T) {
	s := startSystem(t, systemOptions{timing: "  SessionEpoch: 500ms\n"})
	session := s.openSession("jinju")
	used := newJobRun("used", 2, true)
	used.Job.Session = session
	used.Answer = s.submitUntilFinal(0, used)
	s.checkAnswer(used, used.Answer)
	s.waitUntil("the session is refused", func() bool {
		a := s.client().submit(s.Hosts[0], used.Job)
		if a.Final() {
			s.checkSameAnswer(used, a)
		}
		return a.Refusal.GetCode() == "SessionExpired"
	})
	before := s.counts().Total
	for i, h := range s.Hosts {
		fresh := newJobRun(fmt.Sprintf("fresh%d", i), 1, true)
		fresh.Job.Session = session
		for _, r := range []*jobRun{used, fresh} {
			a := s.client().submit(h, r.Job)
			if a.Refusal.GetCode() != "SessionExpired" || a.Refusal.NotRun {
				t.Errorf("job %s at %s: %+v", r.Job.Key, h.Name, a)
			}
		}
	}
	if n := s.counts().Total - before; n != 0 {
		t.Errorf("%d tasks of an expired session were started", n)
	}
}
