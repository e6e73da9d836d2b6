package lists

import (
	"fmt"
	"regexp"
	"slices"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/config"
	"dogwoodrock.example/dogwoodrock/model"
)

const (
	maxOperatorBytes = 128
	maxReasonBytes   = 2048 // refusals are kept in the edit history and in snapshots
)

var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Registry is the deterministic state machine of the lists group. Registries that
// applied the same commands in the same order are equal. A Registry is not safe
// for concurrent use.
type Registry struct {
	active  Active
	edits   edits
	history history
}

// NewRegistry returns a registry of empty lists at version 0.
func NewRegistry() *Registry {
	return &Registry{active: newActive(Update{}, Parsed{}), edits: newEdits()}
}

// Active returns the active version of the lists.
func (r *Registry) Active() Active {
	return r.active
}

// Update returns the active version in the form that is sent to other hosts.
func (r *Registry) Update() Update {
	return r.active.Update
}

// Apply applies one command of the log. A put is refused with Conflict if the
// list changed after its base version; otherwise its text is validated. A text
// equal to the active one is accepted without a new version. A resend with a
// known edit id gets the stored result, even if that was a refusal.
func (r *Registry) Apply(c Command) Result {
	if c.Kind != KindPut {
		return r.result(c, nil)
	}
	if refusal := checkCommand(c); refusal != nil {
		return r.result(c, refusal)
	}
	if previous, ok := r.edits.get(c.EditID); ok {
		return r.storedResult(c, previous)
	}
	res := r.put(c)
	r.edits.add(Edit{ID: c.EditID, Digest: digestOf(c), Result: res})
	return res
}

// storedResult returns the result of an earlier edit with the same id. An edit with
// other content is refused.
func (r *Registry) storedResult(c Command, previous Edit) Result {
	if previous.Digest != digestOf(c) {
		return r.result(c, refuse(model.CodeKeyReused, "EditID", "edit id %s was used for another edit", c.EditID))
	}
	res := previous.Result
	res.Repeated = true
	return res
}

func (r *Registry) put(c Command) Result {
	u := r.active.Update
	current := u.Text(c.List)
	if c.BaseVersion < current.Changed || c.BaseVersion > u.Version {
		return r.result(c, r.conflictRefusal(c))
	}
	if c.Text == current.Content && c.Text != "" {
		return r.result(c, nil)
	}
	u.Version++
	next := Text{Content: c.Text, Changed: u.Version}
	if c.List == Plans {
		u.Plans = next
	} else {
		u.Customers = next
	}
	parsed, err := Parse(u.Customers.Content, u.Plans.Content)
	if err != nil {
		return r.result(c, textRefusal(c.List, err))
	}
	r.active = newActive(u, parsed)
	r.history.add(Change{Version: u.Version, List: c.List, EditID: c.EditID, Operator: c.Operator, At: truncateToMillis(c.At)}, c.Text)
	res := r.result(c, nil)
	res.Changed = true
	return res
}

func (r *Registry) result(c Command, refusal *model.RefusalError) Result {
	u := r.active.Update
	return Result{Version: u.Version, InForce: u.Text(c.List).Changed, Refusal: refusal}
}

func (r *Registry) conflictRefusal(c Command) *model.RefusalError {
	u := r.active.Update
	if c.BaseVersion > u.Version {
		return refuse(model.CodeConflict, "BaseVersion", "base version %d doesn't exist; version %d is in force", c.BaseVersion, u.Version)
	}
	changed := u.Text(c.List).Changed
	author := ""
	if change, ok := r.history.changeAt(changed); ok {
		author = fmt.Sprintf(" by %s", change.Operator)
	}
	return refuse(model.CodeConflict, "BaseVersion", "%s changed in version %d%s, after base version %d", c.List, changed, author, c.BaseVersion)
}

// checkCommand refuses malformed commands. These refusals are not stored under the
// edit id.
func checkCommand(c Command) *model.RefusalError {
	switch {
	case c.List != Customers && c.List != Plans:
		return refuse(model.CodeNotFound, "List", "no list is named %q", truncate(c.List, maxOperatorBytes))
	case !editIDPattern.MatchString(c.EditID):
		return refuse(model.CodeBadRequest, "EditID", "must be 1 to 64 letters, digits, dots, dashes or underscores")
	case c.Operator == "" || len(c.Operator) > maxOperatorBytes:
		return refuse(model.CodeBadRequest, "Operator", "must be 1 to %d bytes", maxOperatorBytes)
	case c.Text == "":
		return refuse(model.CodeBadRequest, "Text", "is empty")
	case len(c.Text) > MaxTextBytes:
		return refuse(model.CodeTooLarge, "Text", "has %d bytes, more than the %d allowed", len(c.Text), MaxTextBytes)
	}
	return nil
}

func refuse(code model.Code, field, reason string, args ...any) *model.RefusalError {
	return &model.RefusalError{Code: code, Field: field, Reason: fmt.Sprintf(reason, args...), NotRun: true}
}

// textRefusal reports the errors of the edited list only. The other list was valid
// before the edit, so each of its errors follows from one in the edited list.
func textRefusal(list string, err error) *model.RefusalError {
	all, _ := err.(config.FieldErrors)
	all = slices.DeleteFunc(slices.Clone(all), func(e *config.FieldError) bool { return e.File != list })
	refusal := refuse(model.CodeBadRequest, "Text", "%s", truncate(all.Error(), maxReasonBytes))
	if len(all) > 0 {
		refusal.Field, refusal.Line = all[0].Field, all[0].Line
	}
	return refusal
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "") + "..."
}

// truncateToMillis removes the monotonic clock reading, the location and fractions
// of a millisecond, which the encoding of the log might not preserve.
func truncateToMillis(t time.Time) time.Time {
	return time.UnixMilli(t.UnixMilli()).UTC()
}
