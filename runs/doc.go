// Package runs places the tasks of jobs on backend servers that run them under
// a lease, and watches them until they end.
//
// A Placer is a pure state machine: its inputs are jobs, server reports, answers
// to orders and the time; Drain returns the resulting orders and job ends. It has
// no goroutine, clock or socket. Answers may be lost, late and out of order.
//
// # One run at a time
//
// Every order carries a fencing token from the range of the placer's epoch, so a
// server that the next placer has polled rejects orders from this one. An order
// without an answer may be carried out seconds later, possibly by a new process of
// the server. After such an order and after a restart the server's fence is raised,
// so that its next order fences off all earlier ones. A task is started again only
// when its last run is known to have ended: the server listed its end, or no longer
// lists it after its start or stop was answered, or the lease that this placer
// granted the server has expired on the server's own clock. A run whose start was
// not answered is stopped first. Orphans, which are runs that no job holds, are
// recorded by task name until they have ended, so that a resent job can't start a
// task that is still running.
//
// # Leases and waiting entry hosts
//
// A resent job may reach another placer, which doesn't know its runs. Therefore runs
// hold leases only for leaseWindow after an entry host last confirmed that it waits
// for their job, and start only within startWindow of that: they have ended before
// the job can be resent, whichever process is lost in the meantime. A server's lease
// covers all of its runs and is limited by the run with the oldest confirmation.
//
// # Taking over
//
// A new placer polls every server. Runs that it finds are adopted by their job as
// soon as that is handed over; runs that no job claims are stopped. Other tasks
// of jobs that an earlier placer may have started wait until all servers have
// answered, or until the last lease of the earlier placer has expired. The answers
// suffice only if the table has all servers in question. It must be known to have
// been the previous placer's complete table at most TableValidity ago, because a
// placer uses a server that other hosts don't know of only after ReplicationTime.
package runs
