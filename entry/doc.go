// Package entry holds the requests of callers on an entry host: it finds the
// route of a job, hands the job to the placer of the data centre, and answers
// the caller when the job has ended. It renews with the core, which tells it the
// routes in force and who places.
package entry
