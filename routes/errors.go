package routes

import "fmt"

// InvalidError reports a document that can't be put in force.
type InvalidError struct {
	Route  int    // position in the list, -1 when the field is not one of a route
	Field  string // of the route or of the document
	Reason string
}

// Error returns the sentence for logs and operators.
func (e *InvalidError) Error() string {
	if e.Route < 0 {
		return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("route %d, field %s: %s", e.Route, e.Field, e.Reason)
}

func invalid(route int, field, format string, args ...any) *InvalidError {
	return &InvalidError{Route: route, Field: field, Reason: fmt.Sprintf(format, args...)}
}
