package lists

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Text returns the text that a list had at a version. It returns a
// model.RefusalError for an unknown list and for a version that is no longer kept
// or doesn't exist yet.
func (r *Registry) Text(list string, version uint64) (Text, error) {
	u := r.active.Update
	current := u.Text(list)
	switch {
	case list != Customers && list != Plans:
		return Text{}, refuse(model.CodeNotFound, "List", "no list is named %q", list)
	case version > u.Version:
		return Text{}, refuse(model.CodeNotFound, "Version", "version %d doesn't exist; version %d is in force", version, u.Version)
	case version >= current.Changed:
		return current, nil
	}
	if old, ok := r.history.textAt(list, version); ok {
		return Text{Content: old.Content, Changed: old.Version}, nil
	}
	return Text{}, refuse(model.CodeNotFound, "Version", "the text of %s at version %d is not kept", list, version)
}

// Changes returns the edits that created the latest versions, newest first.
func (r *Registry) Changes() []Change {
	changes := slices.Clone(r.history.changes)
	slices.Reverse(changes)
	return changes
}
