package runs

import (
	"fmt"
	"maps"
	"strconv"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/shed"
)

const (
	// leaseTime is the lease given with each order. A lease given at the end of
	// startWindow ends only slightly later than leaseWindow.
	leaseTime    = 850 * time.Millisecond
	maxLease     = 1000 * time.Millisecond // longest lease that an earlier placer may have given
	minLease     = 250 * time.Millisecond  // with which a task starts: pulses and polls renew it within that
	leaseSlack   = 30 * time.Millisecond   // added before a lease counts as expired, for rounding and late timers
	minClockRate = 0.98                    // slowest rate of a server's clock

	// formerLeaseTime is how long after a handover a lease that an earlier placer
	// gave the job's runs may last on a slow clock: startWindow, plus leaseTime
	// divided by minClockRate, plus rounding.
	formerLeaseTime = 1200 * time.Millisecond

	// orphanTime is how long a run that was found waits for an entry host to claim
	// it. A renewal, every 200 ms, informs the entry host of the placer.
	orphanTime = 250 * time.Millisecond

	endRetention = 3 * time.Second // how long the ends of jobs and of orphans are kept for a resend

	// maxOrderDelay is how long an unanswered order may still be carried out: orders are up
	// to 12 s late.
	maxOrderDelay = 13 * time.Second

	serverExpiry = 10 * time.Second // after which a server that wasn't heard from is removed
)

// MaxTasks is the largest number of tasks of a job.
const MaxTasks = 10_000

// Placer places the runs of one shard of a data centre under one epoch.
type Placer struct {
	epoch         uint64
	began         time.Time
	settled       bool // the runs of earlier placers are known, or their leases have expired
	lastInput     time.Time
	pollUntil     time.Time // after a stall, until when starts wait for answers to polls
	tableComplete bool      // all servers used by the previous placer are known, as of tableAsOf
	tableAsOf     time.Time // zero if the previous placer used no other servers later
	former        uint64    // epoch of the previous placer
	partial       bool      // the data centre has other servers, with another placer
	balanced      bool      // jobs may go to other data centres that have room

	servers         map[string]*server
	order           []*server // the same servers, sorted by name
	jobs            map[string]*job
	waiting         []*job // jobs with tasks that wait for a server, most urgent first
	deferred        []*job // jobs that wait until the runs of earlier placers are known
	ended           map[string]endedJob
	cancelled       CancelledJobs // jobs that were cancelled recently
	hosts           map[string]*entryHost
	orphans         map[string][]*run    // runs that no job holds and that haven't ended, by task
	orphanEnds      map[string]orphanEnd // ended runs that no job held, by task
	speeds          speeds
	unansweredUntil time.Time             // until then an order counts as recently unanswered
	refused         map[string]refusedJob // recently refused jobs, by id
	admission       shed.Admission
	loads           map[string]*load        // of the services, with shed.Cost
	planDue         bool                    // the waiting jobs have changed since they were compared by cost
	planAfter       time.Time               // when they may be compared again
	noRoomCPU       map[string]int64        // least CPU demand that found no room in this dispatch, by service
	eligible        map[string]*eligible    // servers for the tasks of this dispatch, by service
	typical         map[string]*typicalTask // by service, of which room is counted; only with several shards
	pollSeq         uint64
	fencesRaised    uint64 // number of times that a fence was raised
	evacuation      evacuation
	bars            map[string]map[string]time.Time // when copies of a job may start, by job and by the placer that bars it
	barsSent        map[string]time.Time            // when others were told of a bar, by job
	out             Output
}

type job struct {
	Job
	waiters        []waiter
	tasks          []task
	unfinished     int       // tasks that are not done
	pending        int       // tasks that wait for a server
	due            time.Time // latest start that meets the objective
	queueBy        time.Time // position in the queue
	started        bool      // a task was started
	lastStart      time.Time // latest start of a task
	deferredUntil  time.Time // when the leases given by earlier placers have expired; zero if not deferred
	otherLeasesEnd time.Time // when the leases given by placers other than the previous one have expired
	refusedTo      roomRef   // the shard that it goes to as it is refused
	tableCurrent   bool      // when the job arrived the table had all servers that may run its tasks
	cost           jobCost
}

type task struct {
	job     *job
	name    string
	run     *run // nil while the task waits or is done
	lastRun int  // number of its latest run
	failed  int
	done    bool
	avoid   string // server on which it failed last
}

type endedJob struct {
	state model.JobEnd
	at    time.Time
}

type orphanEnd struct {
	run  int // the highest
	done bool
	at   time.Time
}

// New returns a placer without servers and jobs. tableComplete states that TakeOver
// will name all servers that the previous placer has used.
func New(epoch uint64, tableComplete bool, now time.Time) *Placer {
	return &Placer{
		epoch:         epoch,
		tableComplete: tableComplete,
		began:         now,
		servers:       map[string]*server{},
		jobs:          map[string]*job{},
		ended:         map[string]endedJob{},
		bars:          map[string]map[string]time.Time{},
		barsSent:      map[string]time.Time{},
		hosts:         map[string]*entryHost{},
		orphans:       map[string][]*run{},
		orphanEnds:    map[string]orphanEnd{},
		refused:       map[string]refusedJob{},
		loads:         map[string]*load{},
		speeds:        newSpeeds(),
	}
}

// Epoch returns the epoch of the placer, from which its fences derive.
func (p *Placer) Epoch() uint64 {
	return p.epoch
}

// Jobs returns the number of jobs that have not ended.
func (p *Placer) Jobs() int {
	return len(p.jobs)
}

// Waiting returns the number of jobs with tasks that wait for a server.
func (p *Placer) Waiting() int {
	return len(p.waiting) + len(p.deferred)
}

// Submit accepts a job. If the job is known already it continues, and its end is
// reported to this host too.
func (p *Placer) Submit(j Job, now time.Time) {
	p.noteInput(now)
	h := p.host(j.Host)
	if w, ok := h.withdrawn[j.ID]; j.Hand < h.oldestHand || ok && j.Hand <= w.hand {
		return // its withdrawal arrived first
	}
	if p.refuseCancelled(j, now) || p.joinKnown(j, now) {
		return
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		p.out.Ends = append(p.out.Ends, End{
			Job: j.ID, Host: j.Host, Incarnation: j.Incarnation, Hand: j.Hand, Route: j.Route, State: model.JobEndFailed,
			Reason: fmt.Sprintf("it has %d tasks, not 1 to %d", j.Tasks, MaxTasks), Took: now.Sub(j.Arrived), Waited: now.Sub(j.Arrived),
		})
		return
	}
	k := &job{Job: j, waiters: []waiter{p.waiterOf(j)}, tasks: make([]task, j.Tasks), unfinished: j.Tasks, pending: j.Tasks}
	for i := range k.tasks {
		k.tasks[i] = task{job: k, name: j.ID + ".0.0." + strconv.Itoa(i)}
	}
	if reason := p.unplaceable(k, now); reason != "" {
		p.jobs[j.ID] = k
		p.end(k, p.unplaceableEnd(k), reason, now)
		return
	}
	p.noteOffered(k, now)
	p.noteTypical(k)
	if refusal := p.refusalReason(k, now); refusal != "" {
		p.jobs[j.ID], k.refusedTo = k, p.refusedTo(k, refusal)
		p.end(k, model.JobEndRefused, refusal, now)
		return
	}
	p.jobs[j.ID] = k
	delete(p.refused, j.ID)
	if !p.adoptTasks(k, now) {
		return
	}
	k.tableCurrent, k.otherLeasesEnd = p.tableCurrent(now), now.Add(p.otherLeaseTime(j))
	if p.barred(j.ID) {
		p.event(Event{Kind: EventBarred, Job: j.ID, Reason: "a copy waits"})
	}
	if p.mustWait(k, p.allPolled(), now) {
		k.deferredUntil = now.Add(formerLeaseTime)
		p.deferred = append(p.deferred, k)
		return
	}
	p.admit(k)
}

// joinKnown handles a copy of a job that is open or has ended here, and reports whether it is one.
func (p *Placer) joinKnown(j Job, now time.Time) bool {
	if known, ok := p.jobs[j.ID]; ok {
		p.addWaiter(known, j)
		return true
	}
	e, ok := p.ended[j.ID]
	if ok {
		p.out.Ends = append(p.out.Ends, End{
			Job: j.ID, Host: j.Host, Incarnation: j.Incarnation, Hand: j.Hand, Route: j.Route,
			State: e.state, Took: now.Sub(j.Arrived), Waited: now.Sub(j.Arrived),
		})
	}
	return ok
}

// mustWait reports whether tasks of the job that aren't known here may run or start elsewhere. Polled is the result of
// allPolled.
func (p *Placer) mustWait(j *job, polled bool, now time.Time) bool {
	return p.barred(j.ID) || j.Again && (!polled || !p.tableCovers(j, now))
}

// adoptTasks assigns to a job the runs that were found of its tasks. It returns false
// when that ended the job.
func (p *Placer) adoptTasks(j *job, now time.Time) bool {
	for i := range j.tasks {
		if !p.adopt(&j.tasks[i], now) {
			return false
		}
	}
	return true
}

// admit ends the deferral of a job, and queues it if it has pending tasks.
func (p *Placer) admit(j *job) {
	j.deferredUntil = time.Time{}
	if j.pending > 0 {
		p.enqueue(j)
	}
}

// drop removes a job and stops its runs, whose leases end at leaseEnd at the latest.
func (p *Placer) drop(j *job, leaseEnd time.Time, reason string, now time.Time) {
	delete(p.jobs, j.ID)
	p.dequeue(j)
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			p.orphan(r, leaseEnd)
			p.stop(r, reason, now)
		}
	}
}

// end reports the end of a job to its waiters and removes the job.
func (p *Placer) end(j *job, state model.JobEnd, reason string, now time.Time) {
	e := j.newEnd(state, reason, now)
	if state != model.JobEndComplete {
		e.Wait, e.Waiting, e.Servers = p.estimateWait(j, now), len(p.waiting), p.usableServers(now)
	}
	if state == model.JobEndRefused {
		e.RetryAfter, e.Cost = p.retryAfter(j, e.Wait, now), j.cost.inputs
		e.RoomIn, e.RoomDataCentre = j.refusedTo.shard, j.refusedTo.dataCentre
	}
	if state == model.JobEndRefused || state == model.JobEndUnknown {
		p.noteUnserved(j)
	}
	e.Unplaceable = state == model.JobEndRefused && reason == reasonUnplaceable
	e.Evacuated = reason == reasonEvacuated || reason == reasonEvacuationGrace
	for _, w := range j.waiters {
		p.out.Ends = append(p.out.Ends, e.to(w))
	}
	if state == model.JobEndRefused {
		p.recordRefusal(j)
	}
	if state == model.JobEndComplete || state == model.JobEndFailed {
		p.ended[j.ID] = endedJob{state: state, at: now}
	}
	p.drop(j, j.leaseLimit(), "job ended", now)
}

// newEnd returns how the job ended, without a recipient.
func (j *job) newEnd(state model.JobEnd, reason string, now time.Time) End {
	return End{Job: j.ID, Route: j.Route, State: state, Reason: reason, Took: now.Sub(j.Arrived), Waited: j.waited(now)}
}

// to returns the end addressed to a waiter.
func (e End) to(w waiter) End {
	e.Host, e.Incarnation, e.Hand = w.host, w.incarnation, w.hand
	return e
}

// waited returns how long the job waited for the latest start of a task.
func (j *job) waited(now time.Time) time.Duration {
	if j.pending > 0 || j.lastStart.IsZero() {
		return now.Sub(j.Arrived)
	}
	return max(0, j.lastStart.Sub(j.Arrived)) // a resend may have set Arrived later than the start
}

// Tick handles timeouts, repeats stops and removes expired records.
func (p *Placer) Tick(now time.Time) {
	p.noteInput(now)
	p.expireBars(now)
	p.settle(now)
	for _, s := range p.order {
		p.speeds.refresh(s)
		p.tickServer(s, now)
	}
	p.expire(now)
	p.reportLateStarts(now)
	maps.DeleteFunc(p.ended, func(_ string, e endedJob) bool { return now.Sub(e.at) > endRetention })
	p.cancelled.Evict(now)
	p.evictHosts(now)
	maps.DeleteFunc(p.refused, func(_ string, a refusedJob) bool { return !now.Before(a.until) })
	maps.DeleteFunc(p.orphanEnds, func(_ string, e orphanEnd) bool { return now.Sub(e.at) > endRetention })
}

// settle admits deferred jobs once the runs of earlier placers are known or their
// leases have expired.
func (p *Placer) settle(now time.Time) {
	if p.settled && len(p.deferred) == 0 {
		return
	}
	known := p.allPolled()
	if !p.settled && (known || now.Sub(p.began) >= formerLeaseTime) {
		p.settled = true
		p.event(Event{Kind: EventSettled, Took: now.Sub(p.began)})
	}
	deferred := p.deferred
	p.deferred = nil
	for _, j := range deferred {
		if p.barred(j.ID) || now.Before(j.deferredUntil) && p.mustWait(j, known, now) {
			p.deferred = append(p.deferred, j)
			continue
		}
		p.admit(j)
	}
}

// tableCovers reports whether the table has all servers on which earlier placers may
// have started tasks of a job.
func (p *Placer) tableCovers(j *job, now time.Time) bool {
	return !now.Before(j.otherLeasesEnd) && (j.tableCurrent || (p.tableComplete && p.tableAsOf.IsZero()))
}

// otherLeaseTime returns how long leases of a job's runs may last if they were given by
// placers other than the previous one. The table doesn't have servers that only they used.
func (p *Placer) otherLeaseTime(j Job) time.Duration {
	switch {
	case j.Former != p.former:
		return formerLeaseTime
	case j.Held > 0:
		return max(0, formerLeaseTime-j.Held)
	}
	return 0
}

// allPolled reports whether all servers of the previous placer are known and have answered a
// poll. It doesn't wait for servers that have only reported since: the previous placer used
// none of them, and the report may come from another writer.
func (p *Placer) allPolled() bool {
	for _, s := range p.order {
		if s.inherited && !s.polled {
			return false
		}
	}
	return p.tableComplete && len(p.order) > 0
}

// expire refuses jobs that can no longer end in time to be useful, and ends those
// whose callers stop waiting.
func (p *Placer) expire(now time.Time) {
	p.refuseLate(now)
	p.measureUse(now)
	for _, j := range inOrder(p.jobs) {
		switch {
		case now.Sub(j.Arrived) >= j.Expires && (j.started || p.hasOrphans(j)):
			p.end(j, model.JobEndUnknown, "the time of its caller is over", now)
		case !j.started && now.Sub(j.Arrived) >= j.latestUsefulStart() && !p.hasOrphans(j) && j.deferredUntil.IsZero():
			p.end(j, model.JobEndRefused, "no backend server had room in time", now)
		}
	}
}

// Drain starts tasks, polls servers and returns the output since the last call.
func (p *Placer) Drain(now time.Time) Output {
	p.settle(now)
	if !p.out.Fenced { // otherwise the next placer decides
		p.evacuateJobs(now)
		p.shedByCost(now)
		p.dispatch(now)
		p.pollServers(now)
	}
	out := p.out
	p.out = Output{}
	return out
}

func (p *Placer) event(e Event) {
	p.out.Events = append(p.out.Events, e)
}
