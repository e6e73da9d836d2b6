package lists

import "slices"

// Snapshot is the complete state of a Registry. Equal registries have equal snapshots.
type Snapshot struct {
	Update  Update
	Edits   []Edit    // oldest first
	Changes []Change  // oldest first
	Texts   []OldText // oldest first
}

// Snapshot returns the state of the registry.
func (r *Registry) Snapshot() Snapshot {
	return Snapshot{
		Update:  r.active.Update,
		Edits:   slices.Clone(r.edits.order),
		Changes: slices.Clone(r.history.changes),
		Texts:   slices.Clone(r.history.texts),
	}
}

// Restore returns a registry with the state of a snapshot. Its error is the
// config.FieldErrors of lists that can't be parsed.
func Restore(s Snapshot) (*Registry, error) {
	parsed, err := Parse(s.Update.Customers.Content, s.Update.Plans.Content)
	if err != nil {
		return nil, err
	}
	r := &Registry{active: newActive(s.Update, parsed), edits: newEdits()}
	for _, edit := range s.Edits {
		r.edits.add(edit)
	}
	r.history.changes = slices.Clone(s.Changes)
	r.history.texts = slices.Clone(s.Texts)
	for _, t := range s.Texts {
		r.history.bytes += len(t.Content)
	}
	return r, nil
}
