// Package daemon builds the services of one entry host from its settings and runs
// them until a signal arrives or a fatal error occurs.
package daemon
