package opcmd

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

const columnGap = 2 // spaces between the columns of a table

// show prints the text, or with --json the answer as JSON.
func (r *runner) show(answer proto.Message, text string) error {
	if !r.JSON {
		return r.write(text)
	}
	document, err := toJSON(answer)
	if err != nil {
		return err
	}
	return r.write(document + "\n")
}

func (r *runner) write(text string) error {
	_, err := io.WriteString(r.Stdout, text)
	return err
}

// toJSON returns indented JSON. The result is the same for equal messages: json.Indent removes the
// random whitespace of protojson.
func toJSON(m proto.Message) (string, error) {
	document, err := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}.Marshal(m)
	if err != nil {
		return "", err
	}
	var b bytes.Buffer
	if err := json.Indent(&b, document, "", "  "); err != nil {
		return "", err
	}
	return b.String(), nil
}

// refusalJSON returns the refusal that err wraps as JSON, or text if there is none.
func refusalJSON(err error, text string) string {
	var refusal *model.RefusalError
	if !errors.As(err, &refusal) {
		return text
	}
	document, err := toJSON(&wire.Refusal{
		Code:         string(refusal.Code),
		Reason:       refusal.Reason,
		Field:        refusal.Field,
		Line:         uint32(refusal.Line),
		NotRun:       refusal.NotRun,
		RetryAfterMs: uint32(refusal.RetryAfter.Milliseconds()),
	})
	if err != nil {
		return text
	}
	return document
}

// table formats rows of cells with aligned columns.
func table(rows [][]any) string {
	var b strings.Builder
	w := tabwriter.NewWriter(&b, 0, 0, columnGap, ' ', 0)
	for _, row := range rows {
		cells := make([]string, len(row))
		for i, cell := range row {
			cells[i] = fmt.Sprint(cell)
		}
		_, _ = fmt.Fprintln(w, strings.Join(cells, "\t")) // writes to a strings.Builder don't fail
	}
	_ = w.Flush()
	return b.String()
}
