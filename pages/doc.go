// Package pages tests the documentation: the examples of requests, answers and commands on the pages are
// run, and names and links must exist.
package pages
