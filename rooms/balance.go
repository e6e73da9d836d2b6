package rooms

import (
	"fmt"
	"slices"
)

// Balance selects how far a job may move, before any of its tasks has started, to where there is room for it.
type Balance string

// The values of Balance.
const (
	Shards      Balance = "Shards"      // between the shards of a data centre
	DataCentres Balance = "DataCentres" // between data centres, too
)

// Default is the Balance of a host that has no such setting.
const Default = Shards

// UnknownBalanceError reports a setting that names no Balance.
type UnknownBalanceError struct {
	Text string
}

// Error returns the text and the possible values.
func (e *UnknownBalanceError) Error() string {
	return fmt.Sprintf("%q is neither %q nor %q", e.Text, Shards, DataCentres)
}

// ParseBalance returns the Balance that a setting names, Default for an empty setting. Errors are
// UnknownBalanceErrors.
func ParseBalance(text string) (Balance, error) {
	if text == "" {
		return Default, nil
	}
	if b := Balance(text); slices.Contains([]Balance{Shards, DataCentres}, b) {
		return b, nil
	}
	return Default, &UnknownBalanceError{Text: text}
}
