// Package routes defines the routes document: which requests go to which service, and how urgent they
// are. It validates documents and matches requests to routes.
package routes
