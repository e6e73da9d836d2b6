package lists

import "slices"

// Snapshot is the whole state of a Book. The snapshots of equal books are equal.
type Snapshot struct {
	Update  Update
	Edits   []Edit    // oldest first
	Changes []Change  // oldest first
	Texts   []OldText // oldest first
}

// Snapshot returns the state of the book.
func (b *Registry) Snapshot() Snapshot {
	return Snapshot{
		Update:  b.active.Update,
		Edits:   slices.Clone(b.edits.order),
		Changes: slices.Clone(b.history.changes),
		Texts:   slices.Clone(b.history.texts),
	}
}

// Restore returns a book with the state of a snapshot. It returns the
// config.FieldErrors of lists that can't be read.
func Restore(s Snapshot) (*Registry, error) {
	parsed, err := Parse(s.Update.Customers.Content, s.Update.Plans.Content)
	if err != nil {
		return nil, err
	}
	b := &Registry{active: newActive(s.Update, parsed), edits: newEdits()}
	for _, edit := range s.Edits {
		b.edits.add(edit)
	}
	b.history.changes = slices.Clone(s.Changes)
	b.history.texts = slices.Clone(s.Texts)
	for _, t := range s.Texts {
		b.history.bytes += len(t.Content)
	}
	return b, nil
}
