// Package routes holds the routes document: which requests go to which service,
// and how urgent they are. It decides whether a document is valid and which
// route a request takes.
package routes
