// Package runs places the tasks of jobs on backend servers that run them under
// a lease, and watches them until they end.
//
// A Placer is a pure state machine: it takes jobs, reports of servers, answers
// to orders and the time, and returns orders and ends of jobs from Drain. It has
// no goroutine, clock or socket. Answers may be lost, late and out of order.
//
// # One run at a time
//
// All orders carry a fence out of the range of the placer's epoch, so a server that
// the next placer has looked at refuses those of this one. An order without an
// answer may be carried out seconds later, also by another process that the server
// runs by then; the fence of the server is raised after such an order and after a
// restart, so that its next order bars all earlier ones. A task is started again only
// when its last run is known to have ended: the server listed its end, or lists
// it no more after its start or stop was answered, or the lease that this placer
// gave the server is over on the server's own clock. A start whose answer was
// lost is stopped first. Runs that no job holds are kept by their task's name
// until they have ended, so that a job that comes back can't begin beside them.
//
// # Leases of waiting
//
// A job that is sent again may reach another placer, which knows nothing of its
// runs. So runs hold leases only for waitTime since an entry host is known to
// have waited for their job, and begin only within freshTime of that: they have
// ended before the job can come back, whoever is lost meanwhile. A server's lease
// holds for all of its runs; the one that is waited for least bounds it.
//
// # Taking over
//
// A new placer looks at every server. Runs that it finds belong to their job as
// soon as that is handed over; those that nobody claims are stopped. Other tasks
// of jobs that an earlier placer may have started wait until all servers have
// answered, or the last lease of the earlier placer is over. The first suffices
// only for servers that the placer knows: those of a table that is known to have
// been all of the placer before TableTime ago at most, as that one uses a server
// that others don't know of only after SpreadTime.
package runs
