package calls

import (
	"context"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

const longLease = time.Hour

// abortConnection closes the connection after the complete call has been read.
func abortConnection(_ *fixture, _ http.ResponseWriter, _ *wire.TaskCall) {
	panic(http.ErrAbortHandler)
}

func answerAfter(d time.Duration) func(*fixture, http.ResponseWriter, *wire.TaskCall) {
	return func(_ *fixture, w http.ResponseWriter, m *wire.TaskCall) {
		time.Sleep(d)
		reply(w, resultOf(m))
	}
}

// answerWith answers with a modified result.
func answerWith(change func(r *wire.TaskResult)) func(*fixture, http.ResponseWriter, *wire.TaskCall) {
	return func(_ *fixture, w http.ResponseWriter, m *wire.TaskCall) {
		r := resultOf(m)
		change(r)
		reply(w, r)
	}
}

func TestCall(t *testing.T) {
	tests := map[string]struct {
		serve  func(*fixture, http.ResponseWriter, *wire.TaskCall)
		dial   func(ctx context.Context) (net.Conn, error)
		lease  time.Duration
		want   msgs.Result
		output string
		bodies int // complete calls that the server read
	}{
		"done": {serve: answerAfter(time.Second), lease: longLease, want: msgs.ResultSucceeded, output: "result of body b", bodies: 1},
		"done after the lease has expired": {
			serve: answerAfter(2 * time.Second), lease: time.Second, want: msgs.ResultSucceeded, output: "result of body b", bodies: 1,
		},
		"failed": {
			serve: answerWith(func(r *wire.TaskResult) { r.Status = "Failed" }), lease: longLease, want: msgs.ResultFailed, bodies: 1,
		},
		"not started": {
			serve: answerWith(func(r *wire.TaskResult) { r.Status = statusNotStarted }), lease: longLease, want: msgs.ResultNotStarted, bodies: 1,
		},
		"wrong digest": {
			serve: answerWith(func(r *wire.TaskResult) { r.Digest++ }), lease: longLease, want: msgs.ResultUnknown, bodies: 1,
		},
		"result of another task": {
			serve: answerWith(func(r *wire.TaskResult) { r.Task = "z" }), lease: longLease, want: msgs.ResultUnknown, bodies: 1,
		},
		"invalid status": {
			serve: answerWith(func(r *wire.TaskResult) { r.Status = "" }), lease: longLease, want: msgs.ResultFailed, bodies: 1,
		},
		"result too long": {
			serve: answerWith(func(r *wire.TaskResult) { r.Result = strings.Repeat("x", 65) }), lease: longLease, want: msgs.ResultFailed, bodies: 1,
		},
		"HTTP error": {
			serve: func(_ *fixture, w http.ResponseWriter, _ *wire.TaskCall) { w.WriteHeader(http.StatusBadGateway) },
			lease: longLease, want: msgs.ResultUnknown, bodies: 1,
		},
		"invalid JSON": {
			serve: func(_ *fixture, w http.ResponseWriter, _ *wire.TaskCall) { _, _ = w.Write([]byte("{")) },
			lease: longLease, want: msgs.ResultUnknown, bodies: 1,
		},
		"connection closed after the body": {serve: abortConnection, lease: longLease, want: msgs.ResultUnknown, bodies: 1},
		"no answer in time":                {serve: answerAfter(2 * time.Minute), lease: longLease, want: msgs.ResultUnknown, bodies: 1},
		"refused": {
			dial:  func(context.Context) (net.Conn, error) { return nil, syscall.ECONNREFUSED },
			lease: longLease, want: msgs.ResultNotStarted,
		},
		"silent": {
			dial:  func(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() },
			lease: longLease, want: msgs.ResultNotStarted,
		},
		"lease expired": {lease: 0, want: msgs.ResultNotStarted},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{serve: tt.serve, dial: tt.dial}
				startFixture(t, f)
				f.call(t, 1, tt.lease)
				time.Sleep(5 * time.Minute)
				f.check(t, 1, tt.want, tt.output)
				if n := f.bodies["b"]; n != tt.bodies {
					t.Errorf("the server read %d complete calls, want %d", n, tt.bodies)
				}
			})
		})
	}
}

// check checks that a call has ended exactly once, with this result and output.
func (f *fixture) check(t *testing.T, n uint64, want msgs.Result, output string) {
	t.Helper()
	synctest.Wait()
	all := f.ended[n]
	if len(all) != 1 || all[0].Result != want || string(all[0].Output) != output {
		t.Errorf("grant %d ended with %+v; want once %v with output %q", n, all, want, output)
	}
}

// TestLeaseWhileWaiting guards against sending a call whose lease expires while it waits for a
// connection: three calls of 2 s share two connections under a lease of 1 s.
func TestLeaseWhileWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{serve: answerAfter(2 * time.Second)}
		startFixture(t, f)
		for n := range uint64(3) { // share two connections
			f.call(t, n, time.Second)
		}
		time.Sleep(time.Minute)
		synctest.Wait()
		notStarted := 0
		for n := range uint64(3) {
			if f.ended[n][0].Result == msgs.ResultNotStarted {
				notStarted++
				if name := string(rune('a' + n)); f.bodies[name] != 0 {
					t.Errorf("task %s has not started, but the server read its call", name)
				}
			}
		}
		if notStarted != 1 {
			t.Errorf("%d calls have not started, want 1", notStarted)
		}
	})
}

// TestMismatchedResponses has a server answer each of two calls on the connection of the other. Each
// task must get its own result.
func TestMismatchedResponses(t *testing.T) {
	tests := map[string]struct {
		delay time.Duration // of the second response
	}{
		"together": {},
		"late":     {delay: time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				results := map[string]chan *wire.TaskResult{
					"a": make(chan *wire.TaskResult, 1), "b": make(chan *wire.TaskResult, 1),
				}
				other := map[string]string{"a": "b", "b": "a"}
				f := &fixture{serve: func(_ *fixture, w http.ResponseWriter, m *wire.TaskCall) {
					results[other[m.GetTask()]] <- resultOf(m)
					swapped := <-results[m.GetTask()]
					if m.GetTask() == "b" {
						time.Sleep(tt.delay)
					}
					reply(w, swapped)
				}}
				startFixture(t, f)
				f.call(t, 0, longLease)
				f.call(t, 1, longLease)
				time.Sleep(time.Minute)
				f.check(t, 0, msgs.ResultSucceeded, "result of body a")
				f.check(t, 1, msgs.ResultSucceeded, "result of body b")
			})
		})
	}
}

func TestRevoke(t *testing.T) {
	tests := map[string]struct {
		status string
		want   msgs.Result
		output string
	}{
		"not started": {status: statusNotStarted, want: msgs.ResultNotStarted},
		"started":     {status: "Started", want: msgs.ResultSucceeded, output: "result of body b"},
		"done":        {status: statusDone, want: msgs.ResultSucceeded, output: "result of body b"},
		"no answer":   {want: msgs.ResultSucceeded, output: "result of body b"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &fixture{serve: answerAfter(2 * time.Second), revoke: tt.status}
				startFixture(t, f)
				f.call(t, 1, longLease)
				time.Sleep(time.Second)
				if err := f.caller.Offer(jobs.Revoke{Grant: 1}); err != nil {
					t.Fatal(err)
				}
				time.Sleep(time.Minute)
				f.check(t, 1, tt.want, tt.output)
			})
		})
	}
}

// TestHungConnects has connects to a server hang. Calls made after the server has recovered must not
// wait for those connects.
func TestHungConnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fixture{serve: answerAfter(0)}
		startFixture(t, f)
		f.dial = func(ctx context.Context) (net.Conn, error) { <-ctx.Done(); return nil, ctx.Err() }
		f.call(t, 0, longLease)
		f.call(t, 1, longLease)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		f.dial = nil
		f.call(t, 2, longLease)
		time.Sleep(2 * time.Minute)
		f.check(t, 0, msgs.ResultNotStarted, "")
		f.check(t, 1, msgs.ResultNotStarted, "")
		f.check(t, 2, msgs.ResultSucceeded, "result of body c")
	})
}
