package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

func newRequest(ctx context.Context, host string, req call, body []byte) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, req.method, "http://"+host+req.path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	if req.body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	if req.key != "" {
		r.Header.Set(keyHeader, req.key)
	}
	return r, nil
}

// readAnswer decodes the response body into answer. It returns a model.RefusalError for a refusal
// and other errors for bodies that can't be read or decoded.
func (c *Client) readAnswer(response *http.Response, answer proto.Message) error {
	body, err := io.ReadAll(io.LimitReader(response.Body, c.MaxAnswerBytes+1))
	if err != nil {
		return err
	}
	if int64(len(body)) > c.MaxAnswerBytes {
		return &AnswerError{Status: response.StatusCode, Reason: "the answer is larger than allowed"}
	}
	unmarshal := protojson.UnmarshalOptions{DiscardUnknown: true} // fields of later releases
	if response.StatusCode == http.StatusOK || response.StatusCode == http.StatusAccepted {
		if err := unmarshal.Unmarshal(body, answer); err != nil {
			return &AnswerError{Status: response.StatusCode, Reason: DecodeReason(err)}
		}
		return nil
	}
	var refusal wire.Refusal
	if err := unmarshal.Unmarshal(body, &refusal); err != nil || refusal.Code == "" {
		return &AnswerError{Status: response.StatusCode, Reason: "the answer holds no refusal"}
	}
	return RefusalOf(&refusal)
}

// DecodeReason returns the text of a protojson error without the "proto: " prefix and the
// non-breaking spaces that protojson inserts to keep programs from relying on its texts.
func DecodeReason(err error) string {
	text := strings.ReplaceAll(err.Error(), "\u00a0", " ")
	return strings.TrimPrefix(text, "proto: ")
}

// RefusalOf converts a refusal on the wire to an error.
func RefusalOf(r *wire.Refusal) *model.RefusalError {
	return &model.RefusalError{
		Code:       model.Code(r.GetCode()),
		Reason:     r.GetReason(),
		Field:      r.GetField(),
		Line:       int(r.GetLine()),
		NotRun:     r.GetNotRun(),
		RetryAfter: time.Duration(r.GetRetryAfterMs()) * time.Millisecond,
	}
}
