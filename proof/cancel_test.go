package proof

import (
	"fmt"
	"testing"

	"dogwoodrock.example/dogwoodrock/wire"
)

// TestCancel guards against starts after an acknowledged cancel. It cancels waves of running and
// queued jobs, first while all data centres reach each other, then while one is partitioned.
func TestCancel(t *testing.T) {
	s := startSystem(t, systemOptions{relays: true})
	sessions := s.openSessions()
	entry := s.host("changwon-2")

	s.checkEarlyCancels(entry, sessions)

	wave := s.submitWave("wave", sessions)
	if n, refusal, err := s.client().cancel(entry, &wire.Cancel{Customer: "chime", Group: "wave"}); n == 0 || refusal != nil || err != nil {
		t.Errorf("cancel of the group: %d jobs, %v, %v", n, refusal, err)
	}
	for _, r := range wave {
		if r.Job.Group == "" {
			s.cancelKey(entry, r)
		}
	}
	s.checkCancelled(wave, sessions)

	partitioned := s.submitWave("cut", sessions)
	heal := partitionDataCentre(s)
	for n := 0; s.queued(withoutSession(partitioned, sessions[2])) < minQueued; n++ {
		partitioned = append(partitioned, s.submitWaveAs(fmt.Sprintf("cut%d-", n), "cut", sessions[:2])...)
	}
	n, refusal, err := s.client().cancel(entry, &wire.Cancel{Customer: "chime", Group: "cut"})
	if n == 0 || refusal.GetCode() != "OutcomeUnknown" || refusal.NotRun || err != nil {
		t.Errorf("cancel of a group with jobs on both sides of a partition: %d jobs, %v, %v", n, refusal, err)
	}
	reachable := withoutSession(partitioned, sessions[2])
	for _, r := range reachable {
		if r.Job.Group == "" {
			s.cancelKey(entry, r)
		}
	}
	s.checkCancelled(reachable, sessions[:2])
	heal()
	s.waitUntil("the cancel reaches all data centres", func() bool {
		_, refusal, err := s.client().cancel(entry, &wire.Cancel{Customer: "chime", Group: "cut"})
		return refusal == nil && err == nil
	})
	s.awaitAnswers(partitioned)
	s.checkResubmissions(append(wave, partitioned...))
	for _, session := range sessions {
		s.checkPrevented(s.host("gimhae-3"), newGroupRun("late"+session, "cut", session))
	}
}

// checkEarlyCancels cancels keys and a group before any of their jobs is submitted, and checks that
// these jobs are then refused.
func (s *System) checkEarlyCancels(entry *Host, sessions []string) {
	s.t.Helper()
	if _, refusal, err := s.client().cancel(entry, &wire.Cancel{Customer: "chime", Group: "early"}); refusal != nil || err != nil {
		s.t.Errorf("cancel of an empty group: %v, %v", refusal, err)
	}
	for i, session := range sessions {
		r := newGroupRun(fmt.Sprintf("early-key%d", i), "", session)
		s.cancelKey(entry, r)
		s.checkPrevented(s.host("gimhae-1"), r)
		s.checkPrevented(s.host("jinju-3"), r)
		s.checkPrevented(s.host("jinju-1"), newGroupRun(fmt.Sprintf("early-group%d", i), "early", session))
	}
	for _, h := range s.Hosts {
		s.checkPrevented(h, &jobRun{Job: Job{Customer: "chime", Group: "early", Tasks: []string{"ms=1"}}})
	}
}

// checkPrevented submits a job that was cancelled before its submission and checks that it is refused
// as not run.
func (s *System) checkPrevented(h *Host, r *jobRun) {
	s.t.Helper()
	a := s.client().submit(h, r.Job)
	if !a.Prevented() || !a.Refusal.NotRun {
		s.t.Errorf("job %s at %s was cancelled before its submission: %+v", r.Job.Key, h.Name, a)
	}
	s.checkNotRun(r, a)
}

// minQueued is the number of jobs that must be queued when a wave is cancelled. Beside heavy load the
// jobs of the wave before the partition have all been started when both sides notice it.
const minQueued = 20

// queued returns how many of the runs have neither been started nor answered.
func (s *System) queued(runs []*jobRun) int {
	s.t.Helper()
	starts, n := s.counts().Starts, 0
	for _, r := range runs {
		select {
		case <-r.done:
		default:
			if starts[r.Labels[0]] == 0 {
				n++
			}
		}
	}
	return n
}

// submitWave submits more jobs than there are slots, four of five in a group of that name, and waits
// until as many have started as there are slots.
func (s *System) submitWave(name string, sessions []string) []*jobRun {
	s.t.Helper()
	return s.submitWaveAs(name, name, sessions)
}

// submitWaveAs does the same with a group of another name than the jobs.
func (s *System) submitWaveAs(name, group string, sessions []string) []*jobRun {
	s.t.Helper()
	const jobs, slots = 90, 48 // jobs of one task each; slots of all backend servers
	before := s.counts().Total
	var runs []*jobRun
	for i := range jobs {
		g := group
		if i%5 == 0 {
			g = ""
		}
		runs = append(runs, newGroupRun(fmt.Sprintf("%s%d", name, i), g, sessions[i%len(sessions)]))
	}
	s.submitAll(0, runs)
	s.awaitStarts(before + slots)
	return runs
}

// newGroupRun returns a keyed job of one task of 1 s.
func newGroupRun(name, group, session string) *jobRun {
	r := newJobRun(name, 1, true)
	r.Job.Group, r.Job.Session = group, session
	r.Job.Tasks = []string{fmt.Sprintf("ms=1000 result=%s label=%s", r.Labels[0], r.Labels[0])}
	return r
}

func (s *System) cancelKey(h *Host, r *jobRun) {
	s.t.Helper()
	in := &wire.Cancel{Customer: r.Job.Customer, Session: r.Job.Session, Key: r.Job.Key}
	if _, refusal, err := s.client().cancel(h, in); refusal != nil || err != nil {
		s.t.Errorf("cancel of %s: %v, %v", r.Job.Key, refusal, err)
	}
}

// withoutSession returns the runs that don't belong to the session.
func withoutSession(runs []*jobRun, session string) []*jobRun {
	var list []*jobRun
	for _, r := range runs {
		if r.Job.Session != session {
			list = append(list, r)
		}
	}
	return list
}

// checkCancelled waits for the answers, then runs one more job in the data centre of each session, and
// checks that no cancelled job was started after its answer. Both running and queued jobs must have
// been cancelled, so that the test covers both.
func (s *System) checkCancelled(runs []*jobRun, sessions []string) {
	s.t.Helper()
	s.awaitAnswers(runs)
	before := s.counts().Starts
	for i, session := range sessions {
		next := newJobRun(fmt.Sprintf("after-%s-%d", runs[0].Job.Key, i), 1, true)
		next.Job.Session = session
		if a := s.submitUntilFinal(0, next); a.State != "Complete" {
			s.t.Errorf("a job after the cancel: %+v", a)
		}
	}
	after := s.counts().Starts
	running, queued := 0, 0
	for _, r := range runs {
		label := r.Labels[0]
		if r.Answer.Refusal.GetCode() != "Cancelled" {
			continue
		}
		if after[label] != before[label] {
			s.t.Errorf("%s was started after it was answered as cancelled", label)
		}
		if after[label] == 0 {
			queued++
		} else {
			running++
		}
	}
	s.t.Logf("cancelled: %d running, %d queued, of %d", running, queued, len(runs))
	if running == 0 || queued == 0 {
		s.t.Errorf("%d running and %d queued jobs were cancelled, want some of each", running, queued)
	}
}
