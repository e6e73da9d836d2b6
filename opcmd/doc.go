// Package opcmd implements the operators' command line. Its commands read and edit the two lists,
// call the APIs for callers, show the state of the system, and check logs and settings. It neither
// starts nor stops other parts of the system, nor controls them.
package opcmd
