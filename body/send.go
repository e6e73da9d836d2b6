package body

import (
	"bytes"
	"context"
	"io"
	"net/http"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// Send sends a request with m as its body, or with an empty body if m is nil, and
// returns the status and the complete body of the response. header may be nil; Send
// sets its Content-Type.
func Send(ctx context.Context, client *http.Client, method, url string, header http.Header, m proto.Message) (int, []byte, error) {
	var data []byte
	if m != nil {
		var err error
		if data, err = (protojson.MarshalOptions{UseProtoNames: true}).Marshal(m); err != nil {
			return 0, nil, err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return 0, nil, err
	}
	if header != nil {
		req.Header = header
	}
	req.Header.Set("Content-Type", ContentJSON)
	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, content, err
}

// Decode decodes a response body. It ignores unknown fields, which a later release may send.
func Decode(data []byte, m proto.Message) error {
	return protojson.UnmarshalOptions{DiscardUnknown: true}.Unmarshal(data, m)
}
