package routes

import "fmt"

// InvalidError reports an invalid routes document.
type InvalidError struct {
	Route  int    // index in Document.Routes, -1 if the field doesn't belong to a route
	Field  string // of the route or of the document
	Reason string
}

// Error returns the message for logs and operators.
func (e *InvalidError) Error() string {
	if e.Route < 0 {
		return fmt.Sprintf("field %s: %s", e.Field, e.Reason)
	}
	return fmt.Sprintf("route %d, field %s: %s", e.Route, e.Field, e.Reason)
}

func invalid(route int, field, format string, args ...any) *InvalidError {
	return &InvalidError{Route: route, Field: field, Reason: fmt.Sprintf(format, args...)}
}
