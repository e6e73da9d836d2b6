// Package body reads and writes the JSON bodies of HTTP requests and responses, for
// servers and clients.
package body

import (
	"math"
	"net/http"

	"github.com/labstack/echo/v4"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/intake"
	"dogwoodrock.example/dogwoodrock/weight"
)

// ContentJSON is the content type of all bodies.
const ContentJSON = "application/json"

// elementBytes is what an element of an array takes once it is decoded. The largest one is a task of a job, which is
// held in the message and in the submission.
const elementBytes = 512

var weighJSON = intake.WithWeight(func() func(p []byte) int64 { return weight.JSON(elementBytes, elementBytes) })

// Read decodes the body of a request into m. It returns a codec.JSONError if the body
// doesn't match the message, or the error of reading the body.
func Read(c echo.Context, m proto.Message) error {
	b, err := intake.Read(c.Response(), c.Request(), math.MaxInt64-1, weighJSON)
	if err != nil {
		return err
	}
	defer b.Release()
	return codec.FromJSON(b.Data, m)
}

// Bind decodes the body like Read, but returns any error as an echo.HTTPError with status 400.
func Bind(c echo.Context, m proto.Message) error {
	if err := Read(c, m); err != nil {
		return echo.NewHTTPError(http.StatusBadRequest, err.Error())
	}
	return nil
}

// Write sends a response with the message as its body, without empty fields.
func Write(c echo.Context, status int, m proto.Message) error {
	return c.Blob(status, ContentJSON, append(codec.JSON(m), '\n'))
}
