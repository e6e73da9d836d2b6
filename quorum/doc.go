// Package quorum replicates a log of commands over a group of hosts by
// viewstamped replication with a primary lease.
//
// A Replica is a deterministic state machine: Step processes a message, Tick advances the time,
// Propose appends a command, and Drain returns the output to persist, send and apply. It has no
// goroutine, no clock and no socket. Messages may be lost, duplicated, delayed and reordered.
//
// A group without disks keeps its log in memory. A member that restarts has lost its state and
// neither votes nor serves until it has recovered from a majority of the members that includes the
// primary. So only a minority of the members may be restarted at a time; at the primary,
// Status.Current shows whether the others have recovered. A group with disks persists the log and
// its votes before it sends the messages that depend on them, and restarts from the persisted
// state.
//
// # Views
//
// The primary of a view sends each proposed entry to the backups and commits it once a majority
// holds it. The next message carries the commit number. A backup that receives no message from the
// primary within the election timeout requests the next view, and leaves its view only when a
// majority requests the same. Each member then votes with the state of its log, and the new primary
// adopts the most up-to-date log among a majority of votes before it starts the view.
//
// # Lease
//
// With each acknowledgement a backup promises to join no other view for the duration of a lease. The
// primary decides only until one lease duration after it sent the latest message that a majority
// has acknowledged, so it stops before another primary can start, even when it is partitioned or
// its process is paused.
//
// # Members
//
// Members are addressed by name. A lost host is replaced by one with another name in the same slot,
// see Replica.Replace. If all members have lost their state, they form a new generation, which
// Status.Generation shows; WithFormAfter lets a majority do so.
package quorum
