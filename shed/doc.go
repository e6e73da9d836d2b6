// Package shed decides which of the jobs that wait for backend servers yield or are refused
// when the servers can't serve all of them in time: those whose loss costs their callers
// least for the capacity that it frees.
//
// It handles bursts of 1.2 to 3 times the capacity, of one kind of job or of all, in a
// queue whose jobs differ in priority, in their work and in the time that they may wait.
// It is a pure state machine without a clock, a goroutine or a network, and does nothing
// while every job is expected to start in time.
//
// # The rule
//
// Plan goes through the queue in the order in which it is served and adds up the work.
// Where a job would start too late to be in time, jobs are taken out of the part of the
// queue up to there until it starts in time, the one with the least value for its work
// first. A job that was taken out is displaced if another placer may still serve it in
// time. Otherwise it waits behind the others as long as it may still be of use there,
// which is decided in the same way, and is displaced if not. This is the algorithm of Moore
// and Hodgson for the least number of late jobs, with values in place of equal weights.
//
// # Bounds
//
// Value for work is compared by classes, and within a class and a priority the job that
// arrived last is taken out first. A kind of job, which is a route, keeps a guaranteed
// share, and its largest tenth a share relative to that of the kind, see Decider.Offered.
package shed
