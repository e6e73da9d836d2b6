package codec

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// JSONError reports JSON text that is invalid or doesn't match its message.
type JSONError struct {
	Line   int    // from 1
	Column int    // from 1
	Field  string // as named in the text, empty for invalid JSON
	Reason string
}

// Error returns the position, the field and the reason.
func (e *JSONError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("line %d, column %d: %s", e.Line, e.Column, e.Reason)
	}
	return fmt.Sprintf("line %d, column %d: field %s: %s", e.Line, e.Column, e.Field, e.Reason)
}

var (
	compactJSON = protojson.MarshalOptions{UseProtoNames: true}
	fullJSON    = protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}

	positionPattern = regexp.MustCompile(`\(line (\d+):(\d+)\): (.*)$`)
	fieldPattern    = regexp.MustCompile(`field "?([A-Za-z.]+)"?|for [a-z0-9]+ field ([A-Za-z]+)`)
)

// JSON encodes a message as JSON without its empty fields.
func JSON(m proto.Message) []byte {
	data, err := compactJSON.Marshal(m)
	if err != nil {
		panic(err) // only strings that aren't valid UTF-8 fail, and they are rejected on input
	}
	return data
}

// FullJSON encodes a message as JSON with all its fields.
func FullJSON(m proto.Message) []byte {
	data, err := fullJSON.Marshal(m)
	if err != nil {
		panic(err)
	}
	return data
}

// FromJSON decodes JSON text into m. It returns a JSONError if the text is invalid
// or has an unknown field.
func FromJSON(data []byte, m proto.Message) error {
	if err := protojson.Unmarshal(data, m); err != nil {
		return jsonError(err)
	}
	return nil
}

func jsonError(err error) *JSONError {
	// The text quotes names of any length, after the position.
	const maxText = 1000
	text := err.Error()
	if len(text) > maxText {
		text = strings.ToValidUTF8(text[:maxText], "") + "..."
	}
	// protojson deliberately varies the space after its prefix, so that callers don't rely on the text.
	text = strings.ReplaceAll(text, "\u00a0", " ")
	e := &JSONError{Line: 1, Column: 1, Reason: strings.TrimSpace(strings.TrimPrefix(text, "proto:"))}
	if pos := positionPattern.FindStringSubmatch(text); pos != nil {
		e.Line, _ = strconv.Atoi(pos[1])
		e.Column, _ = strconv.Atoi(pos[2])
		e.Reason = pos[3]
	}
	if field := fieldPattern.FindStringSubmatch(e.Reason); field != nil {
		e.Field = field[1] + field[2]
	}
	return e
}
