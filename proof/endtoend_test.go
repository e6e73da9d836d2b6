package proof

import (
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/bench"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/stand"
)

// TestEndToEnd checks that all jobs complete without faults and that resubmitted jobs get the same
// answer.
func TestEndToEnd(t *testing.T) {
	s := startSystem(t, systemOptions{})
	keyed := s.load("keyed", 18, true)
	plain := s.load("plain", 18, false)
	s.awaitAnswers(keyed)
	s.awaitAnswers(plain)
	if n := countComplete(keyed) + countComplete(plain); n != len(keyed)+len(plain) {
		t.Errorf("%d jobs completed, want all %d", n, len(keyed)+len(plain))
	}
	s.checkResubmissions(keyed)
}

// TestGracefulStopDropsNoRequest stops hosts while requests and an accepted job without a waiting caller
// are running. All of them must complete.
func TestGracefulStopDropsNoRequest(t *testing.T) {
	s := startSystem(t, systemOptions{})
	for _, name := range []string{"gimhae-2", "gimhae-1"} {
		h := s.host(name)
		before := s.counts().Total
		runs := make([]*jobRun, 5)
		for i := range runs {
			r := newJobRun(name+string(rune('a'+i)), 3, i%2 == 0)
			// Longer than the time for which a stopping host reports that it is not ready.
			r.Job.Tasks[0] = "ms=1500 " + strings.TrimPrefix(r.Job.Tasks[0], "ms=100 ")
			runs[i] = r
			go func() {
				defer close(r.done)
				r.Answer = s.client().submit(h, r.Job)
			}()
		}
		noWait := newJobRun(name+"-kept", 1, false)
		noWait.Job.NoWait = true
		noWait.Job.Tasks[0] = "ms=2000 " + strings.TrimPrefix(noWait.Job.Tasks[0], "ms=100 ") // longer than the requests
		accepted := s.client().submit(h, noWait.Job)
		s.awaitStarts(before + 16)
		if code := h.Terminate(); code != 0 {
			t.Errorf("%s exited with code %d", name, code)
		}
		s.awaitAnswers(runs)
		s.waitUntil("the answer to the job is final", func() bool {
			noWait.Answer = s.client().fetch(s.host("gimhae-3"), accepted.Job)
			return noWait.Answer.Final()
		})
		if noWait.Answer.State != "Complete" {
			t.Errorf("%s dropped a job that it had accepted: %+v, then %+v", name, accepted, noWait.Answer)
		}
		s.checkAnswer(noWait, noWait.Answer)
		if n := countComplete(runs); n != len(runs) {
			t.Errorf("%s dropped requests: %d of %d jobs completed", name, n, len(runs))
		}
		h.Start(t)
		s.waitUntil(name+" is ready again", func() bool { return s.client().ready(h) })
	}
}

// TestSameAnswersAsNaive replays a recording with a light load against the system and against a naive
// dispatcher that calls backend servers until one has a free slot. Both must complete every job, and the
// system must not start a task twice.
func TestSameAnswersAsNaive(t *testing.T) {
	fleet := bench.Fleet{DataCentres: dataCentres, Servers: 2, Slots: 16, Speeds: []float64{1, 2, 3, 4}}
	profile := bench.Profiles()["steady"]
	profile.Load = 0.2
	recording := bench.Generate(profile, bench.Scale{Seed: 11, Duration: 5 * time.Second, Capacity: fleet.Capacity(), TaskTime: 0.2})
	for i := range recording.Events {
		recording.Events[i].Deadline = 0 // a loaded machine would miss deadlines
	}
	naive, err := bench.StartNaive(t.Context(), []string{"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"}, bench.WithRetryPause(5*time.Millisecond))
	if err != nil {
		t.Fatal(err)
	}
	defer naive.Stop(t.Context())
	naiveEntries, err := naive.Addresses(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	s := startSystem(t, systemOptions{fleet: func(*stand.Group, stand.Config) error { return nil }})
	var entries []string
	for _, dc := range dataCentres {
		entries = append(entries, s.fronts(dc)...)
	}
	for name, hosts := range map[string][]string{"naive": naiveEntries, "system": entries} {
		fleet.Entries = hosts
		r, err := bench.Replay{Recording: recording, Fleet: fleet, WarmUp: 3 * time.Second}.Run(t.Context(), kernel.SystemEnv())
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %+v", name, r)
		if r.Jobs == 0 || r.Complete != r.Jobs || r.WrongAnswers > 0 {
			t.Errorf("%s: %d of %d jobs complete, %d wrong", name, r.Complete, r.Jobs, r.WrongAnswers)
		}
		if name == "system" && r.Wasted.Retried > 0 {
			t.Errorf("%d tasks were started again", r.Wasted.Retried)
		}
	}
}
