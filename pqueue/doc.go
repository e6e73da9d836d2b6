// Package pqueue provides an indexed binary heap: a priority queue whose items
// are notified of their position, so that any of them can be moved or removed.
package pqueue
