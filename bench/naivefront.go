package bench

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

// naiveFront handles the HTTP requests of callers and backend servers for one naive host.
type naiveFront struct {
	self   kernel.Ref
	caller naiveCaller
}

// taskOutcome is the outcome of one task of a job.
type taskOutcome struct {
	index  int
	result string
	done   bool
}

func newNaiveFront(self kernel.Ref, env kernel.Env, retryPause time.Duration) *echo.Echo {
	f := &naiveFront{self: self, caller: newNaiveCaller(self, env.Dial, retryPause)}
	e := echo.New()
	e.POST("/v1/jobs", f.jobs)
	e.POST("/v1/backends/announce", f.announce)
	e.POST("/v1/backends/leave", f.leave)
	e.GET("/readyz", func(c echo.Context) error { return c.NoContent(http.StatusOK) })
	return e
}

func (f *naiveFront) jobs(c echo.Context) error {
	var in wire.Submission
	if err := body.Bind(c, &in); err != nil {
		return err
	}
	ctx, cancel := c.Request().Context(), func() {}
	if in.DeadlineMs > 0 {
		ctx, cancel = context.WithTimeout(ctx, time.Duration(in.DeadlineMs)*time.Millisecond)
	}
	defer cancel()
	results, complete := f.runAll(ctx, in.Tasks)
	if !complete {
		code := model.CodeTaskFailed
		if ctx.Err() != nil {
			code = model.CodeDeadlinePassed
		}
		return body.Write(c, http.StatusOK, &wire.Answer{State: model.JobFailed.String(), Refusal: &wire.Refusal{Code: string(code)}})
	}
	return body.Write(c, http.StatusOK, &wire.Answer{State: model.JobComplete.String(), Results: results})
}

// runAll runs the tasks of a job concurrently. complete reports whether all were done.
func (f *naiveFront) runAll(ctx context.Context, tasks []*wire.Task) (results []string, complete bool) {
	outcomes := make(chan taskOutcome, len(tasks))
	for i, task := range tasks {
		go func() {
			result, done := f.caller.run(ctx, task)
			outcomes <- taskOutcome{index: i, result: result, done: done}
		}()
	}
	results, complete = make([]string, len(tasks)), true
	for range tasks {
		o := <-outcomes
		results[o.index] = o.result
		complete = complete && o.done
	}
	return results, complete
}

func (f *naiveFront) announce(c echo.Context) error {
	var in wire.Announce
	if err := body.Bind(c, &in); err != nil {
		return err
	}
	if err := f.self.Offer(announceMsg{Announce: &in}); err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable)
	}
	return body.Write(c, http.StatusOK, &wire.Announced{LeaseMs: in.LeaseMs})
}

func (f *naiveFront) leave(c echo.Context) error {
	var in wire.Leave
	if err := body.Bind(c, &in); err != nil {
		return err
	}
	if err := f.self.Offer(leaveMsg{Name: in.Name}); err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable)
	}
	return c.NoContent(http.StatusOK)
}
