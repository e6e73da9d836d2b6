package lists

import (
	"slices"
	"strings"

	"github.com/pmezard/go-difflib/difflib"
)

// diffContext is the number of unchanged lines shown around a change.
const diffContext = 3

// Diff returns the unified diff between two texts, or the empty string if they
// are equal.
func Diff(fromName, from, toName, to string) string {
	if from == to {
		return ""
	}
	diff, err := difflib.GetUnifiedDiffString(difflib.UnifiedDiff{
		A:        splitLines(from),
		B:        splitLines(to),
		FromFile: fromName,
		ToFile:   toName,
		Context:  diffContext,
	})
	if err != nil {
		return err.Error()
	}
	return diff
}

// splitLines returns the lines of a text, each ending in a line break.
func splitLines(text string) []string {
	lines := slices.Collect(strings.Lines(text))
	if n := len(lines); n > 0 && !strings.HasSuffix(lines[n-1], "\n") {
		lines[n-1] += "\n"
	}
	return lines
}
