// Package fleet decides what the core stores for all hosts: the newest routes document, the tables of
// backend servers, the number of shards of each data centre, and which host places the runs of each shard
// under which epoch. State is the
// replicated state, Watch the leader's view of the hosts. Both are pure state machines without a clock
// or sockets.
package fleet
