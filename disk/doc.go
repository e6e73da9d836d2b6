// Package disk stores the state of a durable replica in one data folder.
//
// The folder holds a log, a snapshot and a mark file. Each Save appends one
// record with a length and a checksum to the log and syncs it. A snapshot starts
// a new log, which becomes valid by an atomic rename and replaces the old one.
// The mark file is written after the first record, so a folder with only a mark
// file has lost its state.
//
// A full disk is not a failure: Save truncates the incomplete record, and the same
// Save may be retried. After a failed sync the folder can't be used any more until
// it is opened again, because its content is unknown.
package disk
