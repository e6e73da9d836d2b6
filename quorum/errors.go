package quorum

import "fmt"

// NotPrimaryError reports that this replica is not a primary that may decide now.
type NotPrimaryError struct {
	Primary int // slot of the primary of the view; may be this replica if it has no lease
	View    uint64
}

func (e *NotPrimaryError) Error() string {
	return fmt.Sprintf("replica is not a primary that may decide: view %d, primary in slot %d", e.View, e.Primary)
}

// FullError reports that Config.MaxPending entries are already waiting to be committed.
type FullError struct {
	Pending int // entries
}

func (e *FullError) Error() string {
	return fmt.Sprintf("too many uncommitted entries: %d pending", e.Pending)
}

// ReplacementError reports that a member replacement was refused.
type ReplacementError struct {
	Slot   int
	Reason string
}

func (e *ReplacementError) Error() string {
	return fmt.Sprintf("cannot replace the member in slot %d: %s", e.Slot, e.Reason)
}
