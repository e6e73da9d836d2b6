// Package stand provides stand-in backend servers for tests, benchmarks and demonstrations.
// They follow docs/BACKENDS.md, misbehave on request and count every start, so that a test can
// check what the backend servers themselves received. A stand-in server keeps a record of every
// task until it stops.
package stand
