package runs

import (
	"maps"
	"strconv"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	leaseTime    = 850 * time.Millisecond  // given with each order: after freshTime it ends before waitTime, nearly
	longestLease = 1000 * time.Millisecond // that an earlier placer may have given
	leastLease   = 250 * time.Millisecond  // that a task begins with: pulses and looks prolong it within that
	leaseSlack   = 30 * time.Millisecond   // added before a lease counts as over, for rounding and late timers
	clockRate    = 0.98                    // a server's clock runs at least at this rate
	settleTime   = 1200 * time.Millisecond // since a job was handed over, in which a lease that an earlier placer gave its runs ends on a slow clock: freshTime and leaseTime at clockRate, and a rounding
	orphanTime   = 250 * time.Millisecond  // in which a run that was found has to be claimed by an entry host: a renewal tells it of the placer each 200 ms
	endedMemory  = 3 * time.Second         // how long the ends of jobs, and of runs without a job, are remembered for a resend
	lateTime     = 13 * time.Second        // after which an order without an answer isn't carried out any more: they are up to 12 s late
	forgetServer = 10 * time.Second        // after which a server that no one hears of is dropped
)

// Placer places the runs of one data centre under one epoch.
type Placer struct {
	epoch    uint64
	began    time.Time
	settled  bool
	last     time.Time // last input
	resumeAt time.Time // latest, after the placer stood still
	whole    bool      // the servers used by the placer before are known
	asOf     time.Time // up to when, zero for all
	former   uint64    // epoch of the placer before

	servers     map[string]*server
	order       []*server // the same, by name
	jobs        map[string]*job
	waiting     []*job // jobs with tasks that wait for a server, most urgent first
	again       []*job // jobs that wait for what earlier placers left
	ended       map[string]endedJob
	hosts       map[string]*entryHost
	loose       map[string][]*run   // runs that no job holds and that haven't ended, by task
	found       map[string]foundEnd // what is known of ended runs that no job held, by task
	speeds      speeds
	unsureUntil time.Time          // orders got no answer lately
	away        map[string]awayJob // refused lately, by id
	full        map[string]int64   // least processor time of a task that found no room now, by service
	seq         uint64
	raised      uint64 // how often a fence was raised
	out         Output
}

type job struct {
	Job
	waiters []waiter
	tasks   []task
	open    int       // tasks that are not done
	idle    int       // tasks that wait for a server
	due     time.Time // latest start that meets the objective
	order   time.Time // place in the queue
	began   bool      // a task was started
	start   time.Time // latest of a task
	clear   time.Time // when no earlier placer can have prolonged its runs, while it waits for that
	others  time.Time // when the leases are over that placers before the last one gave its runs
	covered bool      // the table had all servers that they may be on when the job came
}

type task struct {
	job    *job
	name   string
	run    *run // nil while it waits or is done
	last   int  // number of its latest run
	failed int
	done   bool
	avoid  string // server that failed it last
}

type endedJob struct {
	state model.JobEnd
	at    time.Time
}

type foundEnd struct {
	run  int // the highest
	done bool
	at   time.Time
}

// New returns a placer without servers and jobs. Whole tells that TakeOver will
// name all servers that the placer before has used.
func New(epoch uint64, whole bool, now time.Time) *Placer {
	return &Placer{
		epoch:   epoch,
		whole:   whole,
		began:   now,
		servers: map[string]*server{},
		jobs:    map[string]*job{},
		ended:   map[string]endedJob{},
		hosts:   map[string]*entryHost{},
		loose:   map[string][]*run{},
		found:   map[string]foundEnd{},
		away:    map[string]awayJob{},
		speeds:  newSpeeds(),
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
	return len(p.waiting) + len(p.again)
}

// Submit takes a job. One that is known already goes on, and its end is told to
// this host too.
func (p *Placer) Submit(j Job, now time.Time) {
	p.awake(now)
	h := p.host(j.Host)
	if w, ok := h.withdrawn[j.ID]; j.Hand < h.oldest || ok && j.Hand <= w.hand {
		return // the withdrawal came first
	}
	if known, ok := p.jobs[j.ID]; ok {
		p.rejoin(known, j)
		return
	}
	if e, ok := p.ended[j.ID]; ok {
		p.out.Ends = append(p.out.Ends, End{
			Job: j.ID, Host: j.Host, Incarnation: j.Incarnation, Hand: j.Hand, Route: j.Route,
			State: e.state, Took: now.Sub(j.Came), Waited: now.Sub(j.Came),
		})
		return
	}
	k := &job{Job: j, waiters: []waiter{p.waiterOf(j)}, tasks: make([]task, j.Tasks), open: j.Tasks, idle: j.Tasks}
	for i := range k.tasks {
		k.tasks[i] = task{job: k, name: j.ID + ".0.0." + strconv.Itoa(i)}
	}
	if reason := p.impossible(k); reason != "" {
		p.jobs[j.ID] = k
		p.end(k, model.JobEndFailed, reason, now)
		return
	}
	if refusal := p.refuse(k, now); refusal != "" {
		p.jobs[j.ID] = k
		p.end(k, model.JobEndRefused, refusal, now)
		return
	}
	p.jobs[j.ID] = k
	delete(p.away, j.ID)
	if !p.claim(k, now) {
		return
	}
	k.covered, k.others = p.covers(now), now.Add(p.others(j))
	if j.Again && (!p.allKnown() || !p.sure(k, now)) {
		k.clear = now.Add(settleTime)
		p.again = append(p.again, k)
		return
	}
	p.admit(k)
}

// claim gives a job the runs that were found of it. It returns false when that
// ended the job.
func (p *Placer) claim(j *job, now time.Time) bool {
	for i := range j.tasks {
		if !p.adopt(&j.tasks[i], now) {
			return false
		}
	}
	return true
}

// admit puts a job into the queue.
func (p *Placer) admit(j *job) {
	j.clear = time.Time{}
	if j.idle > 0 {
		p.enqueue(j)
	}
}

// drop forgets a job and stops its runs, whose leases have to end by a time.
func (p *Placer) drop(j *job, until time.Time, reason string, now time.Time) {
	delete(p.jobs, j.ID)
	p.unqueue(j)
	for i := range j.tasks {
		if r := j.tasks[i].run; r != nil {
			p.loosen(r, until)
			p.stop(r, reason, now)
		}
	}
}

// end tells the end of a job and forgets it.
func (p *Placer) end(j *job, state model.JobEnd, reason string, now time.Time) {
	e := j.newEnd(state, reason, now)
	if state != model.JobEndComplete {
		e.Wait, e.Waiting, e.Servers = p.wait(j, now), len(p.waiting), p.inUse(now)
	}
	if state == model.JobEndRefused {
		e.RetryAfter = max(e.Wait, model.MinRetryAfter)
	}
	for _, w := range j.waiters {
		p.out.Ends = append(p.out.Ends, e.to(w))
	}
	if state == model.JobEndRefused {
		p.sendAway(j)
	}
	if state == model.JobEndComplete || state == model.JobEndFailed {
		p.ended[j.ID] = endedJob{state: state, at: now}
	}
	p.drop(j, j.until(), "job ended", now)
}

// newEnd returns how the job ended, addressed to no waiter yet.
func (j *job) newEnd(state model.JobEnd, reason string, now time.Time) End {
	return End{Job: j.ID, Route: j.Route, State: state, Reason: reason, Took: now.Sub(j.Came), Waited: j.waited(now)}
}

// to addresses an end to one that waits for it.
func (e End) to(w waiter) End {
	e.Host, e.Incarnation, e.Hand = w.host, w.incarnation, w.hand
	return e
}

// waited returns how long the job waited for the latest start of a task.
func (j *job) waited(now time.Time) time.Duration {
	if j.idle > 0 || j.start.IsZero() {
		return now.Sub(j.Came)
	}
	return max(0, j.start.Sub(j.Came)) // Came may be that of a resend
}

// Tick does what is due by time.
func (p *Placer) Tick(now time.Time) {
	p.awake(now)
	p.settle(now)
	for _, s := range p.order {
		p.speeds.refresh(s)
		p.tickServer(s, now)
	}
	p.expire(now)
	maps.DeleteFunc(p.ended, func(_ string, e endedJob) bool { return now.Sub(e.at) > endedMemory })
	p.forgetHosts(now)
	maps.DeleteFunc(p.away, func(_ string, a awayJob) bool { return !now.Before(a.until) })
	maps.DeleteFunc(p.found, func(_ string, e foundEnd) bool { return now.Sub(e.at) > endedMemory })
}

// settle lets the jobs of earlier placers go on once it is known what runs.
func (p *Placer) settle(now time.Time) {
	if p.settled && len(p.again) == 0 {
		return
	}
	known := p.allKnown()
	if !p.settled && (known || now.Sub(p.began) >= settleTime) {
		p.settled = true
		p.event(Event{Kind: EventSettled, Took: now.Sub(p.began)})
	}
	again := p.again
	p.again = nil
	for _, j := range again {
		if now.Before(j.clear) && (!known || !p.sure(j, now)) {
			p.again = append(p.again, j)
			continue
		}
		p.admit(j)
	}
}

// sure tells whether the table has all servers on which earlier placers may have
// left tasks of a job.
func (p *Placer) sure(j *job, now time.Time) bool {
	return !now.Before(j.others) && (j.covered || (p.whole && p.asOf.IsZero()))
}

// others returns how long the leases may last that others than the placer before
// gave runs of a job: servers that only they have used aren't in the table.
func (p *Placer) others(j Job) time.Duration {
	switch {
	case j.Former != p.former:
		return settleTime
	case j.Held > 0:
		return max(0, settleTime-j.Held)
	}
	return 0
}

func (p *Placer) allKnown() bool {
	for _, s := range p.order {
		if !s.known {
			return false
		}
	}
	return p.whole && len(p.order) > 0
}

// expire refuses jobs that can't end while it is of use, and ends those whose
// caller leaves.
func (p *Placer) expire(now time.Time) {
	p.refuseLate(now)
	for _, j := range inOrder(p.jobs) {
		switch {
		case now.Sub(j.Came) >= j.Expires && (j.began || p.left(j)):
			p.end(j, model.JobEndUnknown, "the time of its caller is over", now)
		case !j.began && now.Sub(j.Came) >= j.useful() && !p.left(j) && j.clear.IsZero():
			p.end(j, model.JobEndRefused, "no backend server had room in time", now)
		}
	}
}

// Drain returns what followed from the inputs since the last call.
func (p *Placer) Drain(now time.Time) Output {
	p.settle(now)
	if !p.out.Fenced { // the next placer decides then
		p.pump(now)
		p.lookAround(now)
	}
	out := p.out
	p.out = Output{}
	return out
}

func (p *Placer) event(e Event) {
	p.out.Events = append(p.out.Events, e)
}
