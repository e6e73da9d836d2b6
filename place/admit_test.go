package place

import (
	"errors"
	"strings"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

func TestSubmitRefusals(t *testing.T) {
	tight := plan("x", 1)
	tight.MaxJobTasks, tight.MaxQueued = 5, 5
	none := plan("none", 1)
	none.MaxRunning = 0
	tests := map[string]struct {
		change func(req *Request, p *Placer)
		code   model.Code
		reason string
	}{
		"unknown customer":          {func(req *Request, _ *Placer) { req.Customer = "y" }, model.CodeUnknownCustomer, "list of customers"},
		"no tasks":                  {func(req *Request, _ *Placer) { req.Tasks = nil }, model.CodeBadRequest, ""},
		"plan that allows no start": {func(req *Request, _ *Placer) { req.Customer = "none" }, model.CodeQuotaExhausted, "line 2"},
		"job too large":             {func(req *Request, _ *Placer) { req.Tasks = jobOf("", "", 6).Tasks }, model.CodeJobTooLarge, `line 1 of the list of plans ("x")`},
		"service not in the plan": {
			func(req *Request, _ *Placer) { req.Tasks[0].Service = "other" },
			model.CodeServiceNotInPlan, `line 1 of the list of plans ("x")`,
		},
		"no server of the service": {func(req *Request, _ *Placer) { req.Tasks[0].Service = "swap" }, model.CodeNoBackendServer, "swap"},
		"all servers left":         {func(_ *Request, p *Placer) { p.Leave("b000", start) }, model.CodeNoBackendServer, "check"},
		"too many accelerators":    {func(req *Request, _ *Placer) { req.Tasks[0].Accelerators = 2 }, model.CodeCannotRun, "accelerators"},
		"too much memory":          {func(req *Request, _ *Placer) { req.Tasks[0].MemoryBytes = 65 }, model.CodeCannotRun, "memory"},
		"queue full": {
			func(_ *Request, p *Placer) { p.Submit(jobOf("b", "x", 5), start) },
			model.CodeQueueFull, "MaxQueued in line 1",
		},
		"deadline passed":         {func(req *Request, _ *Placer) { req.Deadline = start }, model.CodeDeadlineUnmet, "passed"},
		"deadline below run time": {func(req *Request, p *Placer) { learnRunTime(p, req, 190*ms) }, model.CodeDeadlineUnmet, "until 200ms"},
		"deadline above run time": {func(req *Request, p *Placer) { learnRunTime(p, req, 210*ms) }, "", ""},
		"queue too long for the deadline": {func(req *Request, p *Placer) {
			learnRunTime(p, req, 450*ms)
			queueWithDeadline(p, 400*ms)
		}, model.CodeDeadlineUnmet, "expected"},
		"quota of running tasks too small for the deadline": {func(req *Request, p *Placer) {
			learnRunTime(p, req, 450*ms)
			p.Announce(backend(0, 5), start)
			p.SetShares(map[string]Share{"x": {MaxRunning: 1, StartsPerSecond: 100}}, start)
			req.Tasks = jobOf("", "", 5).Tasks
		}, model.CodeDeadlineUnmet, "expected"},
		"queued tasks have later deadlines": {func(req *Request, p *Placer) {
			learnRunTime(p, req, 450*ms)
			queueWithDeadline(p, time.Second)
		}, "", ""},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(tight, none), 1, 1)
			req := jobOf("a", "x", 2)
			tt.change(&req, p)
			r := p.Submit(req, start)
			if tt.code == "" {
				if r != nil {
					t.Fatal(r)
				}
				return
			}
			var refused *model.RefusalError
			if r == nil || !errors.As(error(r), &refused) || r.Code != tt.code || !r.NotRun || !strings.Contains(r.Reason, tt.reason) {
				t.Fatalf("refused with %v, want %s with %q", r, tt.code, tt.reason)
			}
		})
	}
}

// learnRunTime completes tasks of 100 ms until their run time is learned, and sets
// the deadline of the job under test.
func learnRunTime(p *Placer, req *Request, deadline time.Duration) {
	p.Submit(jobOf("teach", "x", 5), start)
	for id := range uint64(5) {
		p.Complete(Completion{Grant: id + 1, RunTime: 100 * ms}, start)
	}
	req.Deadline = start.Add(deadline)
}

// queueWithDeadline queues a job of three tasks with a deadline.
func queueWithDeadline(p *Placer, deadline time.Duration) {
	req := jobOf("b", "x", 3)
	req.Deadline = start.Add(deadline)
	p.Submit(req, start)
}

func TestQueuedRefusals(t *testing.T) {
	tests := map[string]struct {
		tasks  int // of a job on a single slot
		act    func(p *Placer)
		code   model.Code
		notRun bool
	}{
		"deadline passed, partly granted": {2, func(p *Placer) { p.Tick(start.Add(time.Minute)) }, model.CodeDeadlinePassed, false},
		"customer removed":                {2, func(p *Placer) { p.SetLists(listsOf(plan("y", 1)), start) }, model.CodeUnknownCustomer, false},
		"deadline passed, never granted":  {1, func(p *Placer) { p.Tick(start.Add(time.Minute)) }, model.CodeDeadlinePassed, true},
		"service without servers until the timeout": {1, func(p *Placer) {
			p.Leave("b000", start)
			p.Tick(start.Add(DefaultNoServerTimeout))
		}, model.CodeNoBackendServer, true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(plan("x", 1)), 1, 1)
			if tt.notRun {
				p.Submit(jobOf("occupant", "x", 1), start)
			}
			req := jobOf("a", "x", tt.tasks)
			req.Deadline = start.Add(time.Minute)
			p.Submit(req, start)
			tt.act(p)
			out := p.Drain().Refusals
			if len(out) != 1 || out[0].Job != "a" || out[0].Refusal.Code != tt.code || out[0].Refusal.NotRun != tt.notRun {
				t.Errorf("refusals %+v, want one of a with %s, NotRun %v", out, tt.code, tt.notRun)
			}
		})
	}
}

func TestRetryBudget(t *testing.T) {
	p := newPlacer(listsOf(plan("x", 1)), 2, 1, RetryBudget(0, 4))
	codes := map[model.Code]int{}
	for _, job := range []string{"a", "b", "c"} {
		p.Submit(jobOf(job, "x", 1), start)
		var r *model.RefusalError
		for r == nil {
			p.Complete(Completion{Grant: p.nextGrant - 1, Result: NotStarted}, start)
			r = p.Retry(job, Shape{Service: "check"}, start)
			p.Tick(start.Add(time.Second))
		}
		if !r.NotRun {
			t.Errorf("%s: refusal %v without NotRun, but no task may have run", job, r)
		}
		codes[r.Code]++
	}
	if codes[model.CodeNoBackendServer] != 1 || codes[model.CodeQuotaExhausted] != 2 {
		t.Errorf("refusals %v, want one by the job's budget and two by the customer's", codes)
	}
}

// A job with a completed task has run, so the refusal of a retry must not set NotRun.
func TestRetryAfterRun(t *testing.T) {
	p := newPlacer(listsOf(plan("x", 1)), 2, 1, RetryBudget(0, 0))
	p.Submit(jobOf("a", "x", 2), start)
	p.Complete(Completion{Grant: 1}, start)
	p.Complete(Completion{Grant: 2, Result: NotStarted}, start)
	if r := p.Retry("a", Shape{Index: 1, Service: "check"}, start); r == nil || r.NotRun {
		t.Errorf("refused with %v, want a refusal without NotRun", r)
	}
}
