package opcmd

import (
	"context"
	"errors"
	"fmt"
	"os"

	"dogwoodrock.example/dogwoodrock/client"
	"dogwoodrock.example/dogwoodrock/lists"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/wire"
)

func get(ctx context.Context, r *runner) error {
	l, err := r.list(ctx, r.Get.Args.List, r.Get.At)
	if err != nil {
		return err
	}
	return r.show(l, withBase(l))
}

func put(ctx context.Context, r *runner) error {
	list := r.Put.Args.List
	if err := checkList(list); err != nil {
		return err
	}
	content, err := os.ReadFile(r.Put.Args.File)
	if err != nil {
		return fileError(r.Put.Args.File, err)
	}
	base, text, ok := splitBase(string(content))
	if r.Put.Base != nil {
		base, ok = *r.Put.Base, true
	}
	if !ok {
		return &UsageError{Reason: "the file doesn't end with its base version; print it with get, or give --base"}
	}
	return r.replace(ctx, list, base, text)
}

// replace sends an edit. Its ID is stored until the edit is answered, so that a repeated put is a
// retry of the same edit.
func (r *runner) replace(ctx context.Context, list string, base uint64, text string) error {
	edit := &wire.PutList{BaseVersion: base, Operator: r.Operator, Text: text}
	pending := newPendingEdit(r.State, list, edit)
	id, err := pending.id(r.NewEditID)
	if err != nil {
		return err
	}
	edit.EditID = id
	version, err := r.client.PutList(ctx, list, edit)
	if isUnanswered(err) {
		return &EditError{Advice: "put the same text with the same base version again: it is sent as the same edit", Cause: err}
	}
	if err := errors.Join(err, pending.remove()); err != nil {
		return err
	}
	return r.show(&wire.PutListAnswer{Version: version}, fmt.Sprintf("%s: accepted as version %d\n", list, version))
}

// isUnanswered reports whether the outcome of an edit is still open.
func isUnanswered(err error) bool {
	var refusal *model.RefusalError
	var unreachable *client.UnreachableError
	switch {
	case errors.As(err, &refusal):
		return isOutcomeUnknown(refusal) || refusal.Code == model.CodeUnavailable || refusal.Code == model.CodeStopping
	case errors.As(err, &unreachable):
		return true
	}
	return false
}

func edit(ctx context.Context, r *runner) error {
	list := r.Edit.Args.List
	l, err := r.list(ctx, list, 0)
	if err != nil {
		return err
	}
	path, err := r.writeDraft(list, l.Text)
	if err != nil {
		return err
	}
	if err := r.OpenFile(path); err != nil {
		return handleEditorError(path, l.Text, err)
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return fileError(path, err)
	}
	if string(text) != l.Text {
		err = r.replace(ctx, list, baseVersion(l), string(text))
	} else {
		err = r.show(&wire.PutListAnswer{Version: l.Version}, list+": not changed\n")
	}
	if err != nil {
		return &EditError{Advice: fmt.Sprintf("the text is kept in %s; its base version is %d", path, baseVersion(l)), Cause: err}
	}
	return os.Remove(path)
}

// handleEditorError returns the error for a failed editor. It removes the draft unless it was
// changed.
func handleEditorError(path, original string, cause error) error {
	usageErr := &UsageError{Reason: "the editor failed: " + cause.Error()}
	text, err := os.ReadFile(path)
	if err != nil || string(text) != original {
		return &EditError{Advice: "the text is kept in " + path, Cause: usageErr}
	}
	if err := os.Remove(path); err != nil {
		return fileError(path, err)
	}
	return usageErr
}

// writeDraft writes the text to edit to a new file in the state folder and returns its path.
func (r *runner) writeDraft(list, text string) (string, error) {
	if err := os.MkdirAll(r.State, 0o700); err != nil {
		return "", fileError(r.State, err)
	}
	f, err := os.CreateTemp(r.State, list+"-*.yaml")
	if err != nil {
		return "", fileError(r.State, err)
	}
	_, err = f.WriteString(text)
	if err := errors.Join(err, f.Close()); err != nil {
		return "", fileError(f.Name(), err)
	}
	return f.Name(), nil
}

func diff(ctx context.Context, r *runner) error {
	content, err := os.ReadFile(r.Diff.Args.File)
	if err != nil {
		return fileError(r.Diff.Args.File, err)
	}
	l, err := r.list(ctx, r.Diff.Args.List, 0)
	if err != nil {
		return err
	}
	_, text, _ := splitBase(string(content))
	inForce := fmt.Sprintf("%s, version %d", r.Diff.Args.List, l.Version)
	return r.write(lists.Diff(inForce, l.Text, r.Diff.Args.File, text))
}

func history(ctx context.Context, r *runner) error {
	h, err := r.client.History(ctx)
	if err != nil {
		return &ReadOnlyError{Cause: err}
	}
	rows := [][]any{{"VERSION", "LIST", "OPERATOR", "AT", "EDIT"}}
	for _, c := range h.Changes {
		rows = append(rows, []any{c.Version, c.List, c.Operator, c.At, c.EditID})
	}
	return r.show(h, table(rows))
}

func (r *runner) list(ctx context.Context, list string, version uint64) (*wire.ListText, error) {
	if err := checkList(list); err != nil {
		return nil, err
	}
	l, err := r.client.List(ctx, list, version)
	if err != nil {
		return nil, &ReadOnlyError{Cause: err}
	}
	return l, nil
}
