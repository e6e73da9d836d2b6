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

	leaseTime = time.Second
	firstJob  = "dc.h1.0000000000000002" // Random counts up, and Start has drawn once
	oldLife   = 11                       // incarnation at the start
)

// world is a Runner with everything around it scripted.
type world struct {
	r       *Runner
	now     time.Time
	drawn   uint64
	full    bool // Send refuses
	sent    []any
	calls   []Call
	revoked []uint64
	replies []outcome // of all Submits, in order
	alone   []bool    // begins and ends of serving alone
}

// outcome is what a Reply received.
type outcome struct {
	answer  *model.Answer
	refusal *model.RefusalError
}

type fullError struct{}

func (*fullError) Error() string { return "full" }

func newWorld(t *testing.T) *world {
	t.Helper()
	w := &world{now: time.Unix(1000, 0)}
	self := model.Host{Name: "h1", DataCentre: "dc", Incarnation: oldLife}
	w.r = &Runner{
		Config: Config{
			Self: self, Hosts: []model.Host{self, {Name: "h2", DataCentre: "dc"}}, DataCentres: []string{"dc"},
			Heartbeat: 100 * time.Millisecond, Patience: 2 * time.Second,
			MaxJobs: 100, MaxTasks: 9, MaxBody: 100,
			Alone: quota.AloneTimes{Promise: 3 * leaseTime, GrantDelay: leaseTime, MaxRun: 6 * leaseTime},
		},
		Now:    func() time.Time { return w.now },
		Random: func() uint64 { w.drawn++; return w.drawn },
		Send:   w.send,
		Call:   func(c Call) { w.calls = append(w.calls, c) },
		Revoke: func(r Revoke) { w.revoked = append(w.revoked, r.Grant) },
		Count: Counters{
			Ended:     func(model.JobState, model.Code, float64) {},
			Result:    func(msgs.Result) {},
			Retried:   func(string) {},
			Lost:      func(uint64) {},
			AloneTask: func() {},
			Alone:     func(serving bool) { w.alone = append(w.alone, serving) },
			Primary:   func(string, uint64) {},
			Running:   func(int) {},
		},
	}
	w.r.Start()
	var force lists.Force
	u := lists.Update{
		Version: 2, Plans: lists.Text{Content: plansText, Changed: 1}, Customers: lists.Text{Content: customersText, Changed: 2},
	}
	if _, err := force.Adopt(u); err != nil {
		t.Fatal(err)
	}
	w.r.Handle(Lists{Force: force})
	return w
}

func (w *world) send(_, _ string, body any) error {
	if w.full && msgs.StartsExchange(body) {
		return &fullError{}
	}
	w.sent = append(w.sent, body)
	return nil
}

// do takes a message, or lets time pass.
func (w *world) do(step any) {
	switch s := step.(type) {
	case time.Duration:
		w.now = w.now.Add(s)
		w.r.Tick()
	case msgs.Lease:
		if s.SentAt == 0 {
			s.SentAt = w.now.Sub(w.r.origin)
		}
		w.r.Handle(s)
	case model.Submission:
		w.r.Handle(Submit{Submission: s, Reply: func(a *model.Answer, r *model.RefusalError) {
			w.replies = append(w.replies, outcome{answer: a, refusal: r})
		}})
	default:
		w.r.Handle(s)
	}
}

// sentOf returns the messages of one type.
func sentOf[M any](w *world) []M {
	var all []M
	for _, s := range w.sent {
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
	return msgs.Grant{ID: id, Job: job, Task: task, View: view, Incarnation: oldLife}
}
