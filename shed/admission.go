package shed

import (
	"fmt"
	"slices"
)

// Admission selects the rule by which jobs are refused above the capacity.
type Admission string

// The rules.
const (
	Wait Admission = "Wait" // each arriving job is judged by the work ahead of it
	Cost Admission = "Cost" // all waiting jobs are compared by what their loss costs their callers
)

// Default is the rule of a host that has no such setting.
const Default = Wait

// UnknownAdmissionError reports a setting that names no rule.
type UnknownAdmissionError struct {
	Text string
}

// Error returns the text and the rules there are.
func (e *UnknownAdmissionError) Error() string {
	return fmt.Sprintf("%q is neither %q nor %q", e.Text, Cost, Wait)
}

// ParseAdmission returns the rule that a setting names, Default for an empty setting. Errors
// are UnknownAdmissionErrors.
func ParseAdmission(text string) (Admission, error) {
	if text == "" {
		return Default, nil
	}
	if a := Admission(text); slices.Contains([]Admission{Wait, Cost}, a) {
		return a, nil
	}
	return Default, &UnknownAdmissionError{Text: text}
}
