package opcmd

import (
	"context"
	"io"
	"os"
	"strings"

	"google.golang.org/protobuf/encoding/protojson"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

// maxSubmissionBytes is the maximum size of a submission file; the rest is ignored.
const maxSubmissionBytes = 64 << 20

func session(ctx context.Context, r *runner) error {
	s, err := r.client.OpenSession(ctx, r.Session.Args.Customer)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	return r.show(s, s.Session+"\n")
}

func submit(ctx context.Context, r *runner) error {
	s, err := r.readSubmission(r.Submit.Args.File)
	if err != nil {
		return err
	}
	answer, err := r.client.SubmitKeyed(ctx, r.Submit.Key, s)
	if err != nil {
		return err
	}
	return r.showAnswer(answer)
}

func fetch(ctx context.Context, r *runner) error {
	answer, err := r.client.Fetch(ctx, r.Fetch.Args.Job, r.Fetch.Wait)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	return r.showAnswer(answer)
}

func cancel(ctx context.Context, r *runner) error {
	o := r.Cancel
	if o.Key == "" && o.Group == "" {
		return &UsageError{Reason: "cancel needs --key or --group"}
	}
	answer, err := r.client.Cancel(ctx, &wire.Cancel{Customer: o.Customer, Session: o.Session, Key: o.Key, Group: o.Group})
	if err != nil {
		return err
	}
	if err := r.show(answer, cancelledTable(answer)); err != nil {
		return err
	}
	if answer.Refusal != nil {
		return client.RefusalOf(answer.Refusal)
	}
	return nil
}

func cancelledTable(answer *wire.Cancelled) string {
	total := table([][]any{{"CANCELLED", answer.Jobs}})
	if len(answer.DataCentres) == 0 {
		return total
	}
	rows := [][]any{{"DATA CENTRE", "CANCELLED"}}
	for _, at := range answer.DataCentres {
		if at.Answered {
			rows = append(rows, []any{at.DataCentre, at.Jobs})
			continue
		}
		rows = append(rows, []any{at.DataCentre, "no answer"})
	}
	return total + "\n" + table(rows)
}

func (r *runner) readSubmission(path string) (*wire.Submission, error) {
	source := r.Stdin
	if path != "-" {
		f, err := os.Open(path)
		if err != nil {
			return nil, fileError(path, err)
		}
		defer f.Close() //nolint:errcheck // opened only for reading
		source = f
	}
	text, err := io.ReadAll(io.LimitReader(source, maxSubmissionBytes))
	if err != nil {
		return nil, fileError(path, err)
	}
	s := new(wire.Submission)
	if err := protojson.Unmarshal(text, s); err != nil {
		return nil, &FileError{File: path, Reason: client.DecodeReason(err)}
	}
	return s, nil
}

// showAnswer prints the answer to a job. For a failed job it also returns the refusal in the answer.
func (r *runner) showAnswer(answer *wire.Answer) error {
	rows := [][]any{{"JOB", answer.Job}, {"STATE", answer.State}}
	for i, result := range answer.Results {
		rows = append(rows, []any{"RESULT", i, strings.TrimSpace(result)})
	}
	if err := r.show(answer, table(rows)); err != nil {
		return err
	}
	if answer.State == model.JobFailed.String() {
		return client.RefusalOf(answer.Refusal)
	}
	return nil
}
