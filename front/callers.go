package front

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/labstack/echo/v4"

	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

// idempotencyKey is the header for the key of a caller without a session.
const idempotencyKey = "Idempotency-Key"

// outcome holds the arguments of a jobs.Reply.
type outcome struct {
	answer  *model.Answer
	refusal *model.RefusalError
}

func (f *Front) submit(c echo.Context) error {
	var body wire.Submission
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	sub, err := submissionOf(c, &body)
	if err != nil {
		return f.fail(c, err)
	}
	out, err := f.await(c, maxWait, func(reply jobs.Reply) any {
		return jobs.Submit{Submission: sub, NoWait: body.GetNoWait(), Reply: reply}
	})
	if err != nil {
		return f.fail(c, submitRefusal(err, sub.Key == ""))
	}
	return f.writeOutcome(c, out)
}

// submitRefusal returns the refusal for a failed submission. It sets NotRun only if the request
// had no key and was not accepted: with a key, an earlier submission may have run.
func submitRefusal(err error, keyless bool) error {
	r := refusalOf(err)
	r.NotRun = keyless && (r.Code == model.CodeOverloaded || r.Code == model.CodeStopping)
	return r
}

func submissionOf(c echo.Context, body *wire.Submission) (model.Submission, error) {
	sub := model.Submission{
		Customer:      body.GetCustomer(),
		Session:       body.GetSession(),
		Key:           body.GetKey(),
		Group:         body.GetGroup(),
		NonIdempotent: body.GetNonIdempotent(),
		Deadline:      milliseconds(body.GetDeadlineMs()),
	}
	if key := c.Request().Header.Get(idempotencyKey); key != "" {
		if sub.Session != "" || sub.Key != "" {
			return sub, &model.RefusalError{
				Code: model.CodeBadRequest, Field: idempotencyKey,
				Reason: "the header can't stand beside Session or Key", NotRun: true,
			}
		}
		sub.Key = key
	}
	for _, t := range body.GetTasks() {
		sub.Tasks = append(sub.Tasks, model.Task{
			Service:      t.GetService(),
			Body:         []byte(t.GetBody()),
			Expected:     milliseconds(t.GetExpectedMs()),
			MemoryBytes:  megabytes(t.GetMemoryMB()),
			Accelerators: int(t.GetAccelerators()),
		})
	}
	return sub, nil
}

func (f *Front) fetch(c echo.Context) error {
	wait := time.Duration(0)
	if text := c.QueryParam("WaitMs"); text != "" {
		ms, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return f.fail(c, &model.RefusalError{
				Code: model.CodeBadRequest, Field: "WaitMs", Reason: "is not a number of milliseconds", NotRun: true,
			})
		}
		wait = min(time.Duration(ms)*time.Millisecond, maxWait)
	}
	out, err := f.await(c, wait+maxWait, func(reply jobs.Reply) any {
		return jobs.Fetch{Job: c.Param("job"), Wait: wait, Reply: reply}
	})
	if err != nil {
		return f.fail(c, err)
	}
	return f.writeOutcome(c, out)
}

// await asks the jobs service for an outcome. It returns early if the caller disconnects.
func (f *Front) await(c echo.Context, wait time.Duration, build func(jobs.Reply) any) (outcome, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), wait)
	defer cancel()
	return kernel.Ask(ctx, f.jobs, func(reply func(outcome)) any {
		return build(func(a *model.Answer, r *model.RefusalError) { reply(outcome{answer: a, refusal: r}) })
	})
}

func (f *Front) writeOutcome(c echo.Context, out outcome) error {
	if out.refusal != nil {
		return f.fail(c, out.refusal)
	}
	status := http.StatusOK
	if out.answer.State == model.JobRunning {
		status = http.StatusAccepted
	}
	return answer(c, status, wireAnswer(out.answer))
}

func (f *Front) openSession(c echo.Context) error {
	var body wire.OpenSession
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	type opened struct {
		session string
		refusal *model.RefusalError
	}
	out, err := askJobs(f, c, func(reply func(opened)) any {
		return jobs.OpenSession{Customer: body.GetCustomer(), Reply: func(s string, r *model.RefusalError) {
			reply(opened{session: s, refusal: r})
		}}
	})
	if err != nil {
		return f.fail(c, err)
	}
	if out.refusal != nil {
		return f.fail(c, out.refusal)
	}
	return answer(c, http.StatusOK, &wire.Session{Session: out.session})
}

func (f *Front) cancel(c echo.Context) error {
	var body wire.Cancel
	if err := decode(c, &body); err != nil {
		return f.fail(c, err)
	}
	type cancelled struct {
		done    jobs.Cancelled
		refusal *model.RefusalError
	}
	out, err := askJobs(f, c, func(reply func(cancelled)) any {
		return jobs.Cancel{
			Customer: body.GetCustomer(), Session: body.GetSession(), Key: body.GetKey(), Group: body.GetGroup(),
			Reply: func(done jobs.Cancelled, r *model.RefusalError) { reply(cancelled{done: done, refusal: r}) },
		}
	})
	if err != nil {
		return f.fail(c, err)
	}
	if out.refusal != nil {
		return f.fail(c, out.refusal)
	}
	if out.done.Refusal == nil {
		return answer(c, http.StatusOK, wireCancelled(out.done))
	}
	f.Metrics.Refusals.WithLabelValues(string(out.done.Refusal.Code)).Inc()
	return answer(c, http.StatusAccepted, wireCancelled(out.done))
}

// askJobs sends the jobs service a request that it answers without waiting for a job.
func askJobs[A any](f *Front, c echo.Context, build func(reply func(A)) any) (A, error) {
	ctx, cancel := context.WithTimeout(c.Request().Context(), bodyTimeout)
	defer cancel()
	return kernel.Ask(ctx, f.jobs, build)
}

func milliseconds(n uint32) time.Duration {
	return time.Duration(n) * time.Millisecond
}

func megabytes(n uint32) int64 {
	return int64(n) << 20
}
