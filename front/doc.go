// Package front serves HTTP to callers, backend servers and operators. It converts between JSON
// and plain messages; the services behind it make all decisions.
package front
