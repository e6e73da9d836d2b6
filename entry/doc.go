// Package entry holds the open requests of callers on an entry host. It finds the
// route of a job, hands the job over to the placer of the data centre, and answers
// the caller when the job has ended. It sends renewals to the core, which answers
// with the routes in force and the hosts that place.
package entry
