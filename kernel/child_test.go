package kernel

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
)

// TestChildPanic guards against a panic in a child, for example on an answer that nothing foresaw,
// ending the process without a line in the log or leaving the service waiting for the result.
func TestChildPanic(t *testing.T) {
	odd := func() { panic("an odd answer") }
	tests := map[string]struct {
		start  func(t *Task)
		result string // that the service gets
		failed bool
	}{
		"a child":                 {start: func(t *Task) { t.Go(func(context.Context) { odd() }) }, failed: true},
		"a call":                  {start: func(t *Task) { t.Call(func(context.Context) any { odd(); return "answer" }, failure) }, result: "failed"},
		"a call that is answered": {start: func(t *Task) { t.Call(func(context.Context) any { return "answer" }, failure) }, result: "answer"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var panics int
				var result any
				k := New(WithReport(func(error) { panics++ }))
				err := k.Register(Service{
					Name:   "caller",
					Start:  func(t *Task) error { tt.start(t); return nil },
					Handle: func(_ *Task, msg any) { result = msg },
				})
				if err != nil {
					t.Fatal(err)
				}
				if err := k.Start(t.Context()); err != nil {
					t.Fatal(err)
				}
				synctest.Wait()
				if got := k.Err() != nil; got != tt.failed {
					t.Errorf("the process ends: %v, want %v", got, tt.failed)
				}
				if tt.result != "" && result != tt.result {
					t.Errorf("the service got %v, want %q", result, tt.result)
				}
				if odd := tt.result != "answer"; odd != (panics == 1) {
					t.Errorf("%d panics reported", panics)
				}
				k.Stop(t.Context())
			})
		})
	}
}

func failure(err error) any {
	var panicErr *PanicError
	if !errors.As(err, &panicErr) {
		return err
	}
	return "failed"
}
