// Package fleet decides what the core keeps for all hosts: the newest routes
// document, and which host places the runs of each data centre under which
// epoch. Book is the replicated state, Watch the leader's view of the hosts.
// Both are pure state machines without clock and sockets.
package fleet
