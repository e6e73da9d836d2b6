// Package group implements a member of the data-centre group. The members replicate the claim
// registry and the quota ledger in memory. The primary also grants leases to the entry hosts and
// places tasks.
//
// A Member is the state of one task: a replica, the state machines driven by its log and, while this
// host is the primary or serves alone, a placer. It handles plain messages and is independent of
// their encoding, except for the functions in [Codec] that encode the log and its snapshots.
package group
