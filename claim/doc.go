// Package claim deduplicates submissions: it decides which submission of a key starts a job, and
// records the single outcome of that job.
//
// A [Registry] is the state machine of a data centre's replication group: every member applies the
// same commands in the same order and reaches the same state. It reads no clock and draws no random
// numbers; time, identifiers and epochs are part of each [Command]. A Registry is not safe for
// concurrent use; it belongs to a single goroutine.
package claim
