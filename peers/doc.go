// Package peers carries messages between the services of different hosts.
//
// Each remote host has two links. A link is a service that owns its connection
// and keeps at most one batch in flight, which preserves the order of its
// messages. The reliable link retries a batch until the remote host acknowledges
// it, and the receiver drops duplicates, so each message is accepted once. The
// ephemeral link carries heartbeats and other messages that are worthless once
// late: it never retries and drops the oldest messages when its queue is full.
package peers
