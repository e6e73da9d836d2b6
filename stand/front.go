package stand

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/wire"
)

// front translates HTTP requests into messages to the task of one stand-in server.
type front struct {
	self   kernel.Ref
	silent bool
}

func newFront(self kernel.Ref, silent bool) *echo.Echo {
	f := &front{self: self, silent: silent}
	e := echo.New()
	e.POST("/v1/tasks", f.tasks)
	e.POST("/v1/revoke", f.revoke)
	e.GET("/stand/starts", f.starts)
	return e
}

func (f *front) tasks(c echo.Context) error {
	var in wire.TaskCall
	if err := body.Bind(c, &in); err != nil {
		return err
	}
	call := Call{
		Task:     in.Task,
		Service:  in.Service,
		Body:     in.Body,
		Deadline: time.Duration(in.DeadlineMs) * time.Millisecond,
		Fence:    in.Fence,
		Digest:   in.Digest,
	}
	r, err := ask(c, f.self, func(reply func(Result)) any {
		return callMsg{Call: call, Reply: reply}
	})
	if err != nil {
		f.self.Reply(abandonedMsg{Task: call.Task})
		if r, err = f.resultOnError(call, err); err != nil {
			return err
		}
	}
	return body.Write(c, http.StatusOK, &wire.TaskResult{
		Task:   r.Task,
		Digest: r.Digest,
		Status: string(r.Status),
		Result: r.Result,
		Reason: r.Reason,
	})
}

// resultOnError maps the error of a call that got no answer to NotStarted or to an HTTP error. It
// returns NotStarted only when that is certain: the mailbox was full, or the service has stopped.
// The service of a silent server may stop after the task has started, so for such a server a stopped
// service gives an HTTP error.
func (f *front) resultOnError(call Call, err error) (Result, error) {
	var full *kernel.FullError
	var gone *kernel.GoneError
	if errors.As(err, &full) || errors.As(err, &gone) && !f.silent {
		return refused(call, err.Error()), nil
	}
	return Result{}, echo.NewHTTPError(http.StatusServiceUnavailable)
}

func (f *front) revoke(c echo.Context) error {
	var in wire.Revoke
	if err := body.Bind(c, &in); err != nil {
		return err
	}
	status, err := ask(c, f.self, func(reply func(Status)) any {
		return revokeMsg{Task: in.Task, Reply: reply}
	})
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable)
	}
	return body.Write(c, http.StatusOK, &wire.Revoked{Task: in.Task, Status: string(status)})
}

func (f *front) starts(c echo.Context) error {
	counts, err := ask(c, f.self, func(reply func(Counts)) any {
		return countsMsg{Reply: reply}
	})
	if err != nil {
		return echo.NewHTTPError(http.StatusServiceUnavailable)
	}
	return c.JSON(http.StatusOK, counts)
}

func ask[A any](c echo.Context, r kernel.Ref, build func(reply func(A)) any) (A, error) {
	return kernel.Ask(c.Request().Context(), r, build)
}

// askByName sends a request to the stand-in server with this name.
func askByName[A any](ctx context.Context, k *kernel.Kernel, name string, build func(reply func(A)) any) (A, error) {
	var zero A
	ref, err := k.Find(serviceName(name))
	if err != nil {
		return zero, err
	}
	return kernel.Ask(ctx, ref, build)
}
