package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

// outcome is the result of one job.
type outcome struct {
	id            string
	result        mimic.Result
	afterRecovery bool // whether it was submitted after the recovery time
}

const (
	attemptTimeout = 6 * time.Second        // of each attempt of a job, also sent as its deadline
	maxJobInterval = 120 * time.Millisecond // between the jobs of a client
	maxPutInterval = 900 * time.Millisecond // between changes of the configuration
	readInterval   = 200 * time.Millisecond
)

// runClient submits jobs to the fronts of its data centre over persistent connections until ctx is done.
func (s *System) runClient(ctx context.Context, n int, results chan<- outcome) {
	rng := rand.New(rand.NewPCG(s.Seed, uint64(100+n)))
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}}
	for i := 0; ctx.Err() == nil; i++ {
		var fronts []string
		for _, h := range s.hosts {
			if !h.core && h.dataCentre == n%dataCentres {
				fronts = append(fronts, h.front())
			}
		}
		rng.Shuffle(len(fronts), func(a, b int) { fronts[a], fronts[b] = fronts[b], fronts[a] })
		job := mimic.Job{
			ID: fmt.Sprintf("%04x%012x", n, i), Tasks: 1 + rng.IntN(4), CPU: 2000 + rng.IntN(4000),
			Work: time.Duration(30+rng.IntN(500)) * time.Millisecond, Timeout: attemptTimeout,
		}
		afterRecovery := s.recovered.Load()
		// Not cancelled with the client, since the answers to open jobs are counted too.
		r := mimic.Submit(context.WithoutCancel(ctx), c, fronts, route, job)
		results <- outcome{id: job.ID, result: r, afterRecovery: afterRecovery}
		time.Sleep(time.Duration(rng.Int64N(int64(maxJobInterval))))
	}
}

// runOperator changes the configuration and reads it back until ctx is done.
func (s *System) runOperator(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 99))
	for ctx.Err() == nil {
		v := s.lastVersion.Add(1 + rng.Int64N(3))
		status := mimic.Put(ctx, s.controls, mimic.Config(int(v), "svc", route))
		if status == http.StatusOK {
			s.ackedVersion.Store(v)
		} else {
			s.journal.write("put of version %d: status %d", v, status)
		}
		for end := time.Now().Add(time.Duration(rng.Int64N(int64(maxPutInterval)))); time.Now().Before(end) && ctx.Err() == nil; {
			s.readBack(ctx, s.controls[rng.IntN(len(s.controls))])
			time.Sleep(readInterval)
		}
	}
}

// readBack reads the configuration from a host and reports a failure if its version is older than one
// that was acknowledged before the request.
func (s *System) readBack(ctx context.Context, control string) (version uint64, status int) {
	minVersion := s.ackedVersion.Load()
	version, status = mimic.Get(ctx, control)
	if version == 0 {
		s.journal.write("read at %s: status %d", control, status)
	}
	if version != 0 && int64(version) < minVersion {
		s.fail("%s tells version %d, though %d was acknowledged before", control, version, minVersion)
	}
	return version, status
}

// collect counts results until the faults have ended, the recovery time has passed and jobs have been
// submitted for another half of it.
func (s *System) collect(results <-chan outcome, faults <-chan []string, stopWork func()) {
	refused := map[string]bool{}
	var done <-chan time.Time
	for {
		select {
		case o := <-results:
			s.count(o, refused)
		case s.report.Faults = <-faults:
			time.AfterFunc(recoveryTime, func() { s.recovered.Store(true) })
			done = time.After(recoveryTime + recoveryTime/2)
		case <-done:
			stopWork()
			s.drain(results, refused)
			s.checkRefused(refused)
			return
		}
	}
}

// drain counts the results of open jobs until none arrives for 3 s longer than the timeout of an attempt.
func (s *System) drain(results <-chan outcome, refused map[string]bool) {
	for {
		select {
		case o := <-results:
			s.count(o, refused)
		case <-time.After(attemptTimeout + 3*time.Second):
			return
		}
	}
}

// count adds the result of one job to the report and records the ID of a job that was refused on its
// first attempt: no earlier attempt can have started a task of it.
func (s *System) count(o outcome, refused map[string]bool) {
	s.report.Jobs++
	if o.result.Ambiguous > 0 || o.result.Took > attemptTimeout/2 {
		s.journal.write("job %s: %+v", o.id, o.result)
	}
	ok := o.result.State == "complete"
	switch {
	case ok:
		s.report.Complete++
	case o.result.Status == http.StatusServiceUnavailable || o.result.Status == http.StatusTooManyRequests:
		s.report.Refused++
		if o.result.RetryAfter == "" {
			s.fail("job %s was refused without Retry-After", o.id)
		}
		if o.result.Attempts == 1 {
			refused[o.id] = true
		}
	case o.result.Status == 0:
		s.report.Unanswered++
	}
	if s.Planned && o.result.Ambiguous > 0 {
		s.fail("job %s was cut by planned work: %+v", o.id, o.result)
	}
	if o.afterRecovery {
		s.report.AfterRecovery++
		if ok {
			s.report.ServedAfterRecovery++
		}
	}
}

// checkRefused checks that no task of a refused job was started, that no task ran twice at the same time
// and that some task has completed.
func (s *System) checkRefused(refused map[string]bool) {
	counts, err := s.counts()
	if err != nil {
		s.fail("the workers' counts: %v", err)
		return
	}
	for id := range refused {
		if counts.Jobs[id] {
			s.fail("job %s was refused as not run, and a task of it was started", id)
		}
	}
	for _, description := range counts.Overlaps {
		s.fail("%s", description)
	}
	if counts.Done == 0 {
		s.fail("no task has ended")
	}
}

func (s *System) counts() (mimic.Counts, error) {
	ref, err := s.backends.Find("site")
	if err != nil {
		return mimic.Counts{}, err
	}
	return kernel.Ask(context.Background(), ref, func(reply func(mimic.Counts)) any { return mimic.GetCounts{Reply: reply} })
}

// checkFinal checks that enough jobs were served after the recovery and that each core host returns the
// configuration, and completes the report.
func (s *System) checkFinal(ctx context.Context) {
	if s.report.AfterRecovery == 0 || float64(s.report.ServedAfterRecovery) < minServedShare*float64(s.report.AfterRecovery) {
		s.fail("after the recovery %d of %d jobs were served", s.report.ServedAfterRecovery, s.report.AfterRecovery)
	}
	for _, c := range s.controls {
		if got, status := s.readBack(ctx, c); got == 0 {
			s.fail("%s doesn't tell the configuration in the end: status %d", c, status)
		}
	}
	close(s.failures)
	for f := range s.failures {
		s.report.Failures = append(s.report.Failures, f)
	}
	slices.Sort(s.report.Failures)
	s.report.Failures = slices.Compact(s.report.Failures)
}
