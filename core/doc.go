// Package core runs one host's part of the core: the small replicated group that stores the newest
// routes document and decides which entry host places the runs of each data centre. A host that
// isn't a member of the group refers requests to the leader.
package core
