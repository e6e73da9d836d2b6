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
	maxReasonBytes   = 2048 // of a refusal, which is remembered
)

var editIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Book is the state that the log of the lists group decides. Books that applied
// the same commands in the same order are equal.
type Registry struct {
	active  Active
	edits   edits
	history history
}

// NewBook returns a book of empty lists at version 0.
func NewRegistry() *Registry {
	return &Registry{active: newActive(Update{}, Parsed{}), edits: newEdits()}
}

// Force returns what the book has put in force.
func (b *Registry) Active() Active {
	return b.active
}

// Update returns the version in force for other hosts.
func (b *Registry) Update() Update {
	return b.active.Update
}

// Apply decides one command of the log. A put is refused with Conflict when the
// list changed after its base version, and otherwise judged by its text. A text
// equal to the one in force is accepted without a new version. A resend of a
// remembered edit id gets the first answer, also when that was a refusal.
func (b *Registry) Apply(c Command) Result {
	if c.Kind != KindPut {
		return b.result(c, nil)
	}
	if refusal := checkCommand(c); refusal != nil {
		return b.result(c, refusal)
	}
	if first, ok := b.edits.get(c.EditID); ok {
		return b.storedResult(c, first)
	}
	r := b.put(c)
	b.edits.add(Edit{ID: c.EditID, Digest: digestOf(c), Result: r})
	return r
}

func (b *Registry) storedResult(c Command, first Edit) Result {
	if first.Digest != digestOf(c) {
		return b.result(c, refuse(model.CodeKeyReused, "EditID", "edit id %s was used for another edit", c.EditID))
	}
	r := first.Result
	r.Repeated = true
	return r
}

func (b *Registry) put(c Command) Result {
	u := b.active.Update
	current := u.Text(c.List)
	if c.BaseVersion < current.Changed || c.BaseVersion > u.Version {
		return b.result(c, b.conflictRefusal(c))
	}
	if c.Text == current.Content && c.Text != "" {
		return b.result(c, nil)
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
		return b.result(c, textRefusal(c.List, err))
	}
	b.active = newActive(u, parsed)
	b.history.add(Change{Version: u.Version, List: c.List, EditID: c.EditID, Operator: c.Operator, At: truncateToMillis(c.At)}, c.Text)
	r := b.result(c, nil)
	r.Changed = true
	return r
}

func (b *Registry) result(c Command, refusal *model.RefusalError) Result {
	u := b.active.Update
	return Result{Version: u.Version, InForce: u.Text(c.List).Changed, Refusal: refusal}
}

func (b *Registry) conflictRefusal(c Command) *model.RefusalError {
	u := b.active.Update
	if c.BaseVersion > u.Version {
		return refuse(model.CodeConflict, "BaseVersion", "base version %d doesn't exist; version %d is in force", c.BaseVersion, u.Version)
	}
	changed := u.Text(c.List).Changed
	who := ""
	if change, ok := b.history.changeAt(changed); ok {
		who = fmt.Sprintf(" by %s", change.Operator)
	}
	return refuse(model.CodeConflict, "BaseVersion", "%s changed in version %d%s, after base version %d", c.List, changed, who, c.BaseVersion)
}

// checkCommand refuses what could not be remembered by its edit id.
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

// refuseText reports the errors of the edited list. The other list was valid
// before the edit, so what is wrong with it now is reported by the edited one.
func textRefusal(list string, err error) *model.RefusalError {
	all, _ := err.(config.FieldErrors)
	all = slices.DeleteFunc(slices.Clone(all), func(e *config.FieldError) bool { return e.File != list })
	r := refuse(model.CodeBadRequest, "Text", "%s", truncate(all.Error(), maxReasonBytes))
	if len(all) > 0 {
		r.Field, r.Line = all[0].Field, all[0].Line
	}
	return r
}

func truncate(s string, n int) string {
	if len(s) <= n {
		return s
	}
	return strings.ToValidUTF8(s[:n], "") + "..."
}

// roundTime drops what an encoding of the log might not carry.
func truncateToMillis(t time.Time) time.Time {
	return time.UnixMilli(t.UnixMilli()).UTC()
}
