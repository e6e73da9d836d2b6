package runs

import (
	"maps"
	"strconv"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	leaseTime       = 850 * time.Millisecond  // given with each order: after freshTime it ends before waitTime, nearly
	maxLease        = 1000 * time.Millisecond // that an earlier placer may have given
	minLease        = 250 * time.Millisecond  // that a task begins with: pulses and looks prolong it within that
	leaseSlack      = 30 * time.Millisecond   // added before a lease counts as over, for rounding and late timers
	minClockRate    = 0.98                    // a server's clock runs at least at this rate
	formerLeaseTime = 1200 * time.Millisecond // since a job was handed over, in which a lease that an earlier placer gave its runs ends on a slow clock: freshTime and leaseTime at clockRate, and a rounding
	orphanTime      = 250 * time.Millisecond  // in which a run that was found has to be claimed by an entry host: a renewal tells it of the placer each 200 ms
	endRetention    = 3 * time.Second         // how long the ends of jobs, and of runs without a job, are remembered for a resend
	maxOrderDelay   = 13 * time.Second        // after which an order without an answer isn't carried out any more: they are up to 12 s late
	serverExpiry    = 10 * time.Second        // after which a server that no one hears of is dropped
)

// Placer places the runs of one data centre under one epoch.
type Placer struct {
	epoch         uint64
	began         time.Time
	settled       bool
	lastInput     time.Time // last input
	pollUntil     time.Time // latest, after the placer stood still
	tableComplete bool      // the servers used by the placer before are known
	tableAsOf     time.Time // up to when, zero for all
	former        uint64    // epoch of the placer before

	servers         map[string]*server
	order           []*server // the same, by name
	jobs            map[string]*job
	waiting         []*job // jobs with tasks that wait for a server, most urgent first
	deferred        []*job // jobs that wait for what earlier placers left
	ended           map[string]endedJob
	hosts           map[string]*entryHost
	orphans         map[string][]*run    // runs that no job holds and that haven't ended, by task
	orphanEnds      map[string]orphanEnd // what is known of ended runs that no job held, by task
	speeds          speeds
	unansweredUntil time.Time             // orders got no answer lately
	refused         map[string]refusedJob // refused lately, by id
	noRoomCPU       map[string]int64      // least processor time of a task that found no room now, by service
	pollSeq         uint64
	fencesRaised    uint64 // how often a fence was raised
	out             Output
}

type job struct {
	Job
	waiters        []waiter
	tasks          []task
	unfinished     int       // tasks that are not done
	pending        int       // tasks that wait for a server
	due            time.Time // latest start that meets the objective
	queueBy        time.Time // place in the queue
	started        bool      // a task was started
	lastStart      time.Time // latest of a task
	deferredUntil  time.Time // when no earlier placer can have prolonged its runs, while it waits for that
	olderLeasesEnd time.Time // when the leases are over that placers before the last one gave its runs
	tableCurrent   bool      // the table had all servers that they may be on when the job came
}

type task struct {
	job     *job
	name    string
	run     *run // nil while it waits or is done
	lastRun int  // number of its latest run
	failed  int
	done    bool
	avoid   string // server that failed it last
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

// New returns a placer without servers and jobs. Whole tells that TakeOver will
// name all servers that the placer before has used.
func New(epoch uint64, tableComplete bool, now time.Time) *Placer {
	return &Placer{
		epoch:         epoch,
		tableComplete: tableComplete,
		began:         now,
		servers:       map[string]*server{},
		jobs:          map[string]*job{},
		ended:         map[string]endedJob{},
		hosts:         map[string]*entryHost{},
		orphans:       map[string][]*run{},
		orphanEnds:    map[string]orphanEnd{},
		refused:       map[string]refusedJob{},
		speeds:        newSpeeds(),
	}
}

// Epoch returns the epoch under which the placer orders.
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

// Submit takes a job. One that is known already goes on, and its end is told to
// this host too.
func (p *Placer) Submit(j Job, now time.Time) {
	p.noteInput(now)
	h := p.host(j.Host)
	if w, ok := h.withdrawn[j.ID]; j.Hand < h.oldestHand || ok && j.Hand <= w.hand {
		return // the withdrawal came first
	}
	if known, ok := p.jobs[j.ID]; ok {
		p.addWaiter(known, j)
		return
	}
	if e, ok := p.ended[j.ID]; ok {
		p.out.Ends = append(p.out.Ends, End{
			Job: j.ID, Host: j.Host, Incarnation: j.Incarnation, Hand: j.Hand, Route: j.Route,
			State: e.state, Took: now.Sub(j.Arrived), Waited: now.Sub(j.Arrived),
		})
		return
	}
	k := &job{Job: j, waiters: []waiter{p.waiterOf(j)}, tasks: make([]task, j.Tasks), unfinished: j.Tasks, pending: j.Tasks}
	for i := range k.tasks {
		k.tasks[i] = task{job: k, name: j.ID + ".0.0." + strconv.Itoa(i)}
	}
	if reason := p.unplaceable(k); reason != "" {
		p.jobs[j.ID] = k
		p.end(k, model.JobEndFailed, reason, now)
		return
	}
	if refusal := p.refusalReason(k, now); refusal != "" {
		p.jobs[j.ID] = k
		p.end(k, model.JobEndRefused, refusal, now)
		return
	}
	p.jobs[j.ID] = k
	delete(p.refused, j.ID)
	if !p.adoptTasks(k, now) {
		return
	}
	k.tableCurrent, k.olderLeasesEnd = p.tableCurrent(now), now.Add(p.olderLeaseTime(j))
	if j.Again && (!p.allPolled() || !p.tableCovers(k, now)) {
		k.deferredUntil = now.Add(formerLeaseTime)
		p.deferred = append(p.deferred, k)
		return
	}
	p.admit(k)
}

// claim gives a job the runs that were found of it. It returns false when that
// ended the job.
func (p *Placer) adoptTasks(j *job, now time.Time) bool {
	for i := range j.tasks {
		if !p.adopt(&j.tasks[i], now) {
			return false
		}
	}
	return true
}

// admit puts a job into the queue.
func (p *Placer) admit(j *job) {
	j.deferredUntil = time.Time{}
	if j.pending > 0 {
		p.enqueue(j)
	}
}

// drop forgets a job and stops its runs, whose leases have to end by a time.
func (p *Placer) drop(j *job, until time.Time, reason string, now time.Time) {
	delete(p.jobs, j.ID)
	p.dequeue(j)
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			p.orphan(r, until)
			p.stop(r, reason, now)
		}
	}
}

// end tells the end of a job and forgets it.
func (p *Placer) end(j *job, state model.JobEnd, reason string, now time.Time) {
	e := j.newEnd(state, reason, now)
	if state != model.JobEndComplete {
		e.Wait, e.Waiting, e.Servers = p.estimateWait(j, now), len(p.waiting), p.usableServers(now)
	}
	if state == model.JobEndRefused {
		e.RetryAfter = max(e.Wait, model.LeastRetryAfter)
	}
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

// newEnd returns how the job ended, addressed to no waiter yet.
func (j *job) newEnd(state model.JobEnd, reason string, now time.Time) End {
	return End{Job: j.ID, Route: j.Route, State: state, Reason: reason, Took: now.Sub(j.Arrived), Waited: j.waited(now)}
}

// to addresses an end to one that waits for it.
func (e End) to(w waiter) End {
	e.Host, e.Incarnation, e.Hand = w.host, w.incarnation, w.hand
	return e
}

// waited returns how long the job waited for the latest start of a task.
func (j *job) waited(now time.Time) time.Duration {
	if j.pending > 0 || j.lastStart.IsZero() {
		return now.Sub(j.Arrived)
	}
	return max(0, j.lastStart.Sub(j.Arrived)) // Came may be that of a resend
}

// Tick does what is due by time.
func (p *Placer) Tick(now time.Time) {
	p.noteInput(now)
	p.settle(now)
	for _, s := range p.order {
		p.speeds.refresh(s)
		p.tickServer(s, now)
	}
	p.expire(now)
	maps.DeleteFunc(p.ended, func(_ string, e endedJob) bool { return now.Sub(e.at) > endRetention })
	p.forgetHosts(now)
	maps.DeleteFunc(p.refused, func(_ string, a refusedJob) bool { return !now.Before(a.until) })
	maps.DeleteFunc(p.orphanEnds, func(_ string, e orphanEnd) bool { return now.Sub(e.at) > endRetention })
}

// settle lets the jobs of earlier placers go on once it is known what runs.
func (p *Placer) settle(now time.Time) {
	if p.settled && len(p.deferred) == 0 {
		return
	}
	known := p.allPolled()
	if !p.settled && (known || now.Sub(p.began) >= formerLeaseTime) {
		p.settled = true
		p.event(Event{Kind: EventSettled, Took: now.Sub(p.began)})
	}
	again := p.deferred
	p.deferred = nil
	for _, j := range again {
		if now.Before(j.deferredUntil) && (!known || !p.tableCovers(j, now)) {
			p.deferred = append(p.deferred, j)
			continue
		}
		p.admit(j)
	}
}

// sure tells whether the table has all servers on which earlier placers may have
// left tasks of a job.
func (p *Placer) tableCovers(j *job, now time.Time) bool {
	return !now.Before(j.olderLeasesEnd) && (j.tableCurrent || (p.tableComplete && p.tableAsOf.IsZero()))
}

// others returns how long the leases may last that others than the placer before
// gave runs of a job: servers that only they have used aren't in the table.
func (p *Placer) olderLeaseTime(j Job) time.Duration {
	switch {
	case j.Former != p.former:
		return formerLeaseTime
	case j.Held > 0:
		return max(0, formerLeaseTime-j.Held)
	}
	return 0
}

func (p *Placer) allPolled() bool {
	for _, s := range p.order {
		if !s.polled {
			return false
		}
	}
	return p.tableComplete && len(p.order) > 0
}

// expire refuses jobs that can't end while it is of use, and ends those whose
// caller leaves.
func (p *Placer) expire(now time.Time) {
	p.refuseLate(now)
	for _, j := range inOrder(p.jobs) {
		switch {
		case now.Sub(j.Arrived) >= j.Expires && (j.started || p.hasOrphans(j)):
			p.end(j, model.JobEndUnknown, "the time of its caller is over", now)
		case !j.started && now.Sub(j.Arrived) >= j.latestUsefulStart() && !p.hasOrphans(j) && j.deferredUntil.IsZero():
			p.end(j, model.JobEndRefused, "no backend server had room in time", now)
		}
	}
}

// Drain returns what followed from the inputs since the last call.
func (p *Placer) Drain(now time.Time) Output {
	p.settle(now)
	if !p.out.Fenced { // the next placer decides then
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
