package jobs

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/quota"
)

const (
	plansText     = "Plans:\n  - Name: gold\n    Services: [dispatch]\n    Weight: 1\n    MaxRunning: 9\n    MaxQueued: 9\n    StartsPerSecond: 9\n    MaxJobTasks: 9\n"
	customersText = "Customers:\n  - Name: halny\n    Plan: gold\n"

	leaseTime        = time.Second
	firstJob         = "dc.h1.0000000000000002" // Random counts up, and Start has called it once
	firstIncarnation = 11                       // before an expulsion
)

// fixture is a Runner with a fake clock, fake random numbers and recorded calls and messages.
type fixture struct {
	r           *Runner
	now         time.Time
	randomCalls uint64
	sendFails   bool // Send fails for requests
	sent        []any
	calls       []Call
	revoked     []uint64
	replies     []outcome // to submissions, in order
	alone       []bool    // arguments of Hooks.ServingAlone
}

// outcome holds the arguments of a Reply.
type outcome struct {
	answer  *model.Answer
	refusal *model.RefusalError
}

type fullError struct{}

func (*fullError) Error() string { return "full" }

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{now: time.Unix(1000, 0)}
	self := model.Host{Name: "h1", DataCentre: "dc", Incarnation: firstIncarnation}
	f.r = &Runner{
		Config: Config{
			Self: self, Hosts: []model.Host{self, {Name: "h2", DataCentre: "dc"}}, DataCentres: []string{"dc"},
			Heartbeat: 100 * time.Millisecond, RequestTimeout: 2 * time.Second,
			MaxJobs: 100, MaxTasks: 9, MaxBody: 100,
			AloneTimes: quota.AloneTimes{Promise: 3 * leaseTime, GrantDelay: leaseTime, MaxRun: 6 * leaseTime},
		},
		Now:    func() time.Time { return f.now },
		Random: func() uint64 { f.randomCalls++; return f.randomCalls },
		Send:   f.send,
		Call:   func(c Call) { f.calls = append(f.calls, c) },
		Revoke: func(r Revoke) { f.revoked = append(f.revoked, r.Grant) },
		Hooks: Hooks{
			JobEnded:       func(model.JobState, model.Code, float64) {},
			TaskResult:     func(msgs.Result) {},
			Retried:        func(string) {},
			LeaseLost:      func(uint64) {},
			AloneTask:      func() {},
			ServingAlone:   func(serving bool) { f.alone = append(f.alone, serving) },
			PrimaryChanged: func(string, uint64) {},
			JobsInFlight:   func(int) {},
		},
	}
	f.r.Start()
	var active lists.Active
	u := lists.Update{
		Version: 2, Plans: lists.Text{Content: plansText, Changed: 1}, Customers: lists.Text{Content: customersText, Changed: 2},
	}
	if _, err := active.Adopt(u); err != nil {
		t.Fatal(err)
	}
	f.r.Handle(Lists{Active: active})
	return f
}

func (f *fixture) send(_, _ string, body any) error {
	if f.sendFails && msgs.StartsExchange(body) {
		return &fullError{}
	}
	f.sent = append(f.sent, body)
	return nil
}

// step handles a message or a submission, or advances the clock by a time.Duration.
func (f *fixture) step(step any) {
	switch s := step.(type) {
	case time.Duration:
		f.now = f.now.Add(s)
		f.r.Tick()
	case msgs.Lease:
		if s.SentAt == 0 {
			s.SentAt = f.now.Sub(f.r.startedAt)
		}
		f.r.Handle(s)
	case model.Submission:
		f.r.Handle(Submit{Submission: s, Reply: func(a *model.Answer, r *model.RefusalError) {
			f.replies = append(f.replies, outcome{answer: a, refusal: r})
		}})
	default:
		f.r.Handle(s)
	}
}

// sentOf returns the sent messages of one type.
func sentOf[M any](f *fixture) []M {
	var all []M
	for _, s := range f.sent {
		if m, ok := s.(M); ok {
			all = append(all, m)
		}
	}
	return all
}

func submission(key string, n int) model.Submission {
	sub := model.Submission{Customer: "halny", Key: key}
	for i := range n {
		sub.Tasks = append(sub.Tasks, model.Task{Service: "dispatch", Body: []byte{byte('a' + i)}})
	}
	return sub
}

func leaseOf(generation, view uint64) msgs.Lease {
	return msgs.Lease{Primary: "h2", Generation: generation, View: view, Fence: view, Duration: leaseTime}
}

func grantOf(id uint64, job string, task int, view uint64) msgs.Grant {
	return msgs.Grant{ID: id, Job: job, Task: task, View: view, Incarnation: firstIncarnation}
}
