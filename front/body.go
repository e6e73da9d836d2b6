package front

import (
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/body"
	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/jobs"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

// statuses maps the codes of refusals to HTTP statuses.
var statuses = map[model.Code]int{
	model.CodeBadRequest:       http.StatusBadRequest,
	model.CodeCannotRun:        http.StatusBadRequest,
	model.CodeUnknownCustomer:  http.StatusForbidden,
	model.CodeServiceNotInPlan: http.StatusForbidden,
	model.CodeNotFound:         http.StatusNotFound,
	model.CodeKeyReused:        http.StatusConflict,
	model.CodeConflict:         http.StatusConflict,
	model.CodeCancelled:        http.StatusConflict,
	model.CodeSessionUnknown:   http.StatusGone,
	model.CodeSessionExpired:   http.StatusGone,
	model.CodeTooLarge:         http.StatusRequestEntityTooLarge,
	model.CodeJobTooLarge:      http.StatusRequestEntityTooLarge,
	model.CodeQueueFull:        http.StatusTooManyRequests,
	model.CodeQuotaExhausted:   http.StatusTooManyRequests,
	model.CodeNoBackendServer:  http.StatusServiceUnavailable,
	model.CodeUnavailable:      http.StatusServiceUnavailable,
	model.CodeOverloaded:       http.StatusServiceUnavailable,
	model.CodeStopping:         http.StatusServiceUnavailable,
	model.CodeHostLost:         http.StatusServiceUnavailable,
	model.CodeDeadlineUnmet:    http.StatusGatewayTimeout,
	model.CodeDeadlinePassed:   http.StatusGatewayTimeout,
	model.CodeOutcomeUnknown:   http.StatusGatewayTimeout,
}

// decode reads the body of a request into a message. Its error is a RefusalError, which names the
// field and line of invalid JSON.
func decode(c echo.Context, m proto.Message) error {
	err := body.Read(c, m)
	var tooLarge *http.MaxBytesError
	var bad *codec.JSONError
	var refused *intake.RefusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.Permanent():
		return &model.RefusalError{Code: model.CodeTooLarge, Reason: err.Error(), NotRun: true}
	case errors.As(err, &refused):
		return &model.RefusalError{Code: model.CodeOverloaded, Reason: err.Error(), NotRun: true, RetryAfter: intake.RetryAfter * time.Second}
	case errors.As(err, &tooLarge):
		reason := fmt.Sprintf("the body is longer than %d bytes", tooLarge.Limit)
		return &model.RefusalError{Code: model.CodeTooLarge, Reason: reason, NotRun: true}
	case errors.As(err, &bad):
		return &model.RefusalError{Code: model.CodeBadRequest, Field: bad.Field, Line: bad.Line, Reason: bad.Error(), NotRun: true}
	}
	return &model.RefusalError{Code: model.CodeBadRequest, Reason: "the body can't be read: " + err.Error(), NotRun: true}
}

// answer writes a message. It sets the write deadline only now, since the request may have waited
// much longer than writeTimeout for its answer.
func answer(c echo.Context, status int, m proto.Message) error {
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
	return body.Write(c, status, m)
}

// fail writes an error as a Refusal and counts it.
func (f *Front) fail(c echo.Context, err error) error {
	refusal := refusalOf(err)
	f.Metrics.Refusals.WithLabelValues(string(refusal.Code)).Inc()
	status, ok := statuses[refusal.Code]
	if !ok {
		status = http.StatusInternalServerError
	}
	_ = http.NewResponseController(c.Response()).SetWriteDeadline(time.Now().Add(writeTimeout))
	return writeRefusal(c, status, refusal)
}

// writeRefusal answers with all fields of a refusal.
func writeRefusal(c echo.Context, status int, refusal *model.RefusalError) error {
	return c.Blob(status, body.ContentJSON, append(codec.FullJSON(wireRefusal(refusal)), '\n'))
}

// refusalOf converts an error to a refusal. It returns a RefusalError unchanged. After a FullError
// or GoneError of a mailbox the request was not accepted, so nothing has run. After any other error
// the outcome is unknown.
func refusalOf(err error) *model.RefusalError {
	var refusal *model.RefusalError
	var full *kernel.FullError
	var gone *kernel.GoneError
	switch {
	case errors.As(err, &refusal):
		return refusal
	case errors.As(err, &full):
		return &model.RefusalError{Code: model.CodeOverloaded, Reason: err.Error()}
	case errors.As(err, &gone):
		return &model.RefusalError{Code: model.CodeStopping, Reason: err.Error()}
	default:
		return &model.RefusalError{Code: model.CodeOutcomeUnknown, Reason: "no answer came in time: " + err.Error()}
	}
}

func wireRefusal(r *model.RefusalError) *wire.Refusal {
	return &wire.Refusal{
		Code:         string(r.Code),
		Reason:       r.Reason,
		Field:        r.Field,
		Line:         uint32(r.Line),
		NotRun:       r.NotRun,
		RetryAfterMs: uint32(r.RetryAfter.Milliseconds()),
	}
}

func wireAnswer(a *model.Answer) *wire.Answer {
	w := &wire.Answer{Job: a.Job, State: a.State.String()}
	for _, result := range a.Results {
		w.Results = append(w.Results, string(result))
	}
	if a.Refusal != nil {
		w.Refusal = wireRefusal(a.Refusal)
	}
	return w
}

func wireCancelled(done jobs.Cancelled) *wire.Cancelled {
	w := &wire.Cancelled{Jobs: uint32(done.Jobs)}
	for _, at := range done.DataCentres {
		w.DataCentres = append(w.DataCentres, &wire.CancelledAt{
			DataCentre: at.DataCentre, Answered: at.Refusal == nil, Jobs: uint32(at.Jobs),
		})
	}
	if done.Refusal != nil {
		w.Refusal = wireRefusal(done.Refusal)
	}
	return w
}

// routeError answers requests that match no route.
func (f *Front) routeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var he *echo.HTTPError
	if errors.As(err, &he) {
		reason := fmt.Sprintf("%s %s is not served: %v", c.Request().Method, c.Request().URL.Path, he.Message)
		_ = writeRefusal(c, he.Code, &model.RefusalError{Code: model.CodeNotFound, Reason: reason, NotRun: true})
		return
	}
	_ = f.fail(c, err)
}
