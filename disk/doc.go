// Package disk keeps the state of a durable replica in one data folder.
//
// The folder holds one log, one snapshot and a mark. Each Save appends one
// record with a length and a checksum to the log and syncs it. A snapshot
// begins a new log, which replaces the old one by an atomic rename. The mark is
// written after the first record, so that a folder that has only a mark has lost
// its state.
//
// A full disk isn't a broken one: what a Save left of a record is cut off, and
// the same Save may be tried again. A sync that fails ends the use of the folder.
package disk
