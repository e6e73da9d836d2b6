// Package jobs runs the jobs of one entry host. The primary of the data centre claims and places
// each job, the host calls the tasks as it receives grants, and it returns the answer once the
// outcome has been committed.
//
// Runner makes the decisions. It is a state machine that handles messages and sends messages
// through function fields; it does not depend on their encoding.
package jobs
