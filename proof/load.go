package proof

import (
	"fmt"
	"slices"
	"time"
)

// resubmitInterval is the time between submissions of the same key.
const resubmitInterval = 50 * time.Millisecond

// jobRun is one job and, once done is closed, its answer. Labels are the labels of its tasks.
type jobRun struct {
	Job    Job
	Labels []string
	Answer Answer
	done   chan struct{}
}

// load submits n jobs concurrently, to the hosts in turn. Keyed jobs are resubmitted to other hosts until
// their answer is final.
func (s *System) load(name string, n int, keyed bool) []*jobRun {
	s.t.Helper()
	return s.loadWithDeadline(0, name, n, keyed)
}

// loadWithDeadline is load with a deadline for each job, 0 for none.
func (s *System) loadWithDeadline(deadline time.Duration, name string, n int, keyed bool) []*jobRun {
	s.t.Helper()
	runs := make([]*jobRun, n)
	for i := range runs {
		runs[i] = newJobRun(fmt.Sprintf("%s%d", name, i), 1+i%5, keyed)
		runs[i].Job.Deadline = deadline
	}
	s.submitAll(0, runs)
	return runs
}

// submitAll submits jobs concurrently, to the hosts in turn, beginning with host number first.
func (s *System) submitAll(first int, runs []*jobRun) {
	for i, r := range runs {
		go func() {
			defer close(r.done)
			if r.Job.Key != "" {
				r.Answer = s.submitUntilFinal(first+i, r)
				return
			}
			r.Answer = s.client().submit(s.Hosts[(first+i)%len(s.Hosts)], r.Job)
			s.checkNotRun(r, r.Answer)
		}()
	}
}

// copyRuns returns the same jobs without answers, to be submitted a second time.
func copyRuns(runs []*jobRun) []*jobRun {
	copies := make([]*jobRun, len(runs))
	for i, r := range runs {
		copies[i] = &jobRun{Job: r.Job, Labels: r.Labels, done: make(chan struct{})}
	}
	return copies
}

func newJobRun(name string, tasks int, keyed bool) *jobRun {
	r := &jobRun{Job: Job{Customer: "chime", NonIdempotent: tasks%2 == 0}, done: make(chan struct{})}
	if keyed {
		r.Job.Key = "key-" + name
	}
	for i := range tasks {
		label := fmt.Sprintf("%s.%d", name, i)
		r.Labels = append(r.Labels, label)
		r.Job.Tasks = append(r.Job.Tasks, fmt.Sprintf("ms=%d result=%s label=%s", 100+100*i, label, label))
	}
	return r
}

// submitUntilFinal submits a keyed job to the hosts in turn, beginning with host number first, until the
// answer is final, conditionTimeout has passed or the test ends. It returns the last answer.
func (s *System) submitUntilFinal(first int, r *jobRun) Answer {
	deadline := time.Now().Add(conditionTimeout)
	var a Answer
	for i := first; time.Now().Before(deadline); i++ {
		a = s.client().submit(s.Hosts[i%len(s.Hosts)], r.Job)
		if s.t.Context().Err() != nil {
			return a
		}
		s.checkNotRun(r, a)
		if a.Final() {
			return a
		}
		<-time.After(resubmitInterval)
	}
	return a
}

// checkNotRun fails the test if a refusal says that the job was not run, but a stand-in has started a
// task of it.
func (s *System) checkNotRun(r *jobRun, a Answer) {
	if !a.Refusal.GetNotRun() {
		return
	}
	starts := s.counts().Starts
	for _, label := range r.Labels {
		if starts[label] > 0 {
			s.t.Errorf("refusal %s says not run, but %s was started: %v", a.Refusal.Code, label, a.Refusal)
		}
	}
}

// awaitStarts waits until the stand-ins have started n tasks in total.
func (s *System) awaitStarts(n int) {
	s.t.Helper()
	s.waitUntil(fmt.Sprintf("%d tasks have started", n), func() bool { return s.counts().Total >= n })
}

// awaitAnswers waits for the answers of the runs and checks each.
func (s *System) awaitAnswers(runs []*jobRun) {
	s.t.Helper()
	for _, r := range runs {
		<-r.done
		s.checkAnswer(r, r.Answer)
	}
	s.checkStarts()
}

// checkAnswer checks that the answer to a keyed job is final and that the results are complete and those
// of the job.
func (s *System) checkAnswer(r *jobRun, a Answer) {
	s.t.Helper()
	if r.Job.Key != "" && !a.Final() {
		s.t.Errorf("job %s never got a final answer: %+v", r.Job.Key, a)
	}
	if a.State == "Complete" && !slices.Equal(a.Results, r.Labels) {
		s.t.Errorf("results %v, want %v", a.Results, r.Labels)
	}
	if a.State == "Failed" && (len(a.Results) > 0 || a.Refusal == nil) {
		s.t.Errorf("a failed job has results or no reason: %+v", a)
	}
}

// checkResubmissions submits each keyed job again, beginning with the next host, and checks that the
// answer is the same and that no task was started more than once.
func (s *System) checkResubmissions(runs []*jobRun) {
	s.t.Helper()
	for i, r := range runs {
		s.checkSameAnswer(r, s.submitUntilFinal(i+1, r))
	}
	s.checkStarts()
}

// checkSameAnswer fails the test if another submission of the job got a different answer.
func (s *System) checkSameAnswer(r *jobRun, other Answer) {
	s.t.Helper()
	if other.State != r.Answer.State || !slices.Equal(other.Results, r.Answer.Results) {
		s.t.Errorf("job %s: first %+v, then %+v", r.Job.Key, r.Answer, other)
	}
}

// countComplete returns how many runs completed.
func countComplete(runs []*jobRun) int {
	n := 0
	for _, r := range runs {
		if r.Answer.State == "Complete" {
			n++
		}
	}
	return n
}

// incompleteReasons returns the refusals and errors of the runs that didn't complete.
func incompleteReasons(runs []*jobRun) []string {
	var list []string
	for _, r := range runs {
		if r.Answer.State != "Complete" {
			list = append(list, fmt.Sprint(r.Answer.Refusal, r.Answer.Err))
		}
	}
	return list
}
