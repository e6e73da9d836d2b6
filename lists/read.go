package lists

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Text returns the text of a list in force, or the text that it had at an
// earlier version. It returns a model.RefusalError for a version that is not
// kept any more or doesn't exist yet.
func (b *Registry) Text(list string, version uint64) (Text, error) {
	u := b.active.Update
	current := u.Text(list)
	switch {
	case list != Customers && list != Plans:
		return Text{}, refuse(model.CodeNotFound, "List", "no list is named %q", list)
	case version > u.Version:
		return Text{}, refuse(model.CodeNotFound, "Version", "version %d doesn't exist; version %d is in force", version, u.Version)
	case version >= current.Changed:
		return current, nil
	}
	if old, ok := b.history.textAt(list, version); ok {
		return Text{Content: old.Content, Changed: old.Version}, nil
	}
	return Text{}, refuse(model.CodeNotFound, "Version", "the text of %s at version %d is not kept", list, version)
}

// Changes returns who made the last versions, newest first.
func (b *Registry) Changes() []Change {
	changes := slices.Clone(b.history.changes)
	slices.Reverse(changes)
	return changes
}
