package runs

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/shed"
)

const (
	// mixedRetention is how long the routes of a service count as differing in priority
	// after a job of another priority than the one before it.
	mixedRetention = time.Minute

	// initialUse is the share of the servers' cores in use at the capacity, before it was
	// measured: two tasks of half a server, give or take a fifth, often don't fit on one.
	initialUse = 0.8

	// planInterval is the least time between two comparisons of the waiting jobs, which take
	// 0.05 ms for 300 of them: 100 in a second are 3% of a host with 0.192 of a core. It is
	// half of a tick, and a ninth of the time that the shortest jobs may wait.
	planInterval = 10 * time.Millisecond

	minUse      = 0.1  // least value of the measured share
	useGain     = 0.1  // weight of a new sample of it; ticks are 20 ms apart
	demandGain  = 0.05 // weight of a job in the mean demand of a task
	maxServices = 1024 // more than a data centre has services
	coreUnits   = 1000 // of model.Demand and model.Server in a core
)

// Reasons of refusals by cost.
const (
	reasonOutranked = "jobs of more value for their work go first"
	reasonDisplaced = "displaced by jobs of more value for their work"
)

// load is what is known about the jobs of one service for the decision by cost. The next
// placer learns it again.
type load struct {
	decider  *shed.Decider
	seen     bool
	priority int          // of the latest job
	mixedAt  time.Time    // latest arrival of a job of another priority than the one before it, zero for none
	use      float64      // measured share of the cores in use while tasks find no room
	demand   model.Demand // mean of a task
	capacity shed.Capacity
	backlog  time.Duration // time in which the servers complete what waits, as of the latest plan

	entries []shed.Entry // of the latest plan, kept for its memory
	jobs    []*job       // of the entries
}

// jobCost is the state of a job in the decision by cost.
type jobCost struct {
	class   int
	slowest float64 // ratio of the run time of its slowest task to the expected one, as of its arrival
	large   bool    // belongs to the largest tenth of its route
	planned bool    // a plan had it
	yields  bool    // it waits behind the jobs that can be in time
	finish  bool    // it is started and too late to be in time, but keeps its place for what an answer is still worth
	counted bool    // as refused, since a plan took it out of the queue or its caller gets no answer in time
	inputs  *CostInputs
}

// SetAdmission sets the rule by which jobs are refused above the capacity.
func (p *Placer) SetAdmission(a shed.Admission) {
	p.admission = a
}

// byCost reports whether a job is compared with the other waiting ones: its service has
// jobs of different priorities, and any server may run it.
func (p *Placer) byCost(j *job, now time.Time) bool {
	if p.admission != shed.Cost || !anywhere(j.Demand) {
		return false
	}
	l, ok := p.loads[j.Service]
	return ok && l.mixed(now)
}

// anywhere reports whether tasks with this demand may run on any server with room for their
// cores. Accelerators are like labels: only some servers have them.
func anywhere(d model.Demand) bool {
	return d.Label == "" && d.PerServer == 0 && d.CPU > 0 && d.Accelerators == 0
}

// mixed reports whether jobs of different priorities have arrived recently.
func (l *load) mixed(now time.Time) bool {
	return !l.mixedAt.IsZero() && now.Sub(l.mixedAt) < mixedRetention
}

// noteOffered records a new job for the decision by cost.
func (p *Placer) noteOffered(j *job, now time.Time) {
	if p.admission != shed.Cost {
		return
	}
	l, ok := p.loads[j.Service]
	if !ok {
		if len(p.loads) >= maxServices {
			clear(p.loads) // services that are no longer configured; the others are learned again
		}
		l = &load{decider: shed.NewDecider(), use: initialUse, demand: model.Demand{CPU: j.Demand.CPU, MemoryMB: j.Demand.MemoryMB}}
		p.loads[j.Service] = l
	}
	if l.seen && l.priority != j.Priority {
		l.mixedAt = now
	}
	l.seen, l.priority = true, j.Priority
	if anywhere(j.Demand) {
		l.demand.CPU += int64(demandGain * float64(j.Demand.CPU-l.demand.CPU))
		l.demand.MemoryMB += int64(demandGain * float64(j.Demand.MemoryMB-l.demand.MemoryMB))
	}
	work := j.coreWork()
	j.cost.class, j.cost.large = shed.Class(shed.Weight(j.Priority), work), l.decider.Offered(j.Route, work)
	j.cost.slowest = p.speeds.slowest(j.Route, j.Tasks)
	p.planDue = true
}

// noteUnserved counts a job that is refused, or whose caller gets no answer in time, in the shares that the routes are
// guaranteed.
func (p *Placer) noteUnserved(j *job) {
	if l, ok := p.loads[j.Service]; ok && !j.cost.counted {
		l.decider.Refused(j.Route, j.cost.large)
		j.cost.counted = true
	}
}

// retryAfter returns when the caller of a refused job may expect capacity for it.
func (p *Placer) retryAfter(j *job, wait time.Duration, now time.Time) time.Duration {
	after := max(wait, model.MinRetryAfter)
	if p.byCost(j, now) {
		l := p.loads[j.Service]
		after = max(after, l.decider.RetryAfter(j.coreWork(), l.capacity, l.backlog, !j.Strict, now))
	}
	return after
}

// coreWork returns the declared run time of the pending tasks times their cores, in seconds.
func (j *job) coreWork() float64 {
	return float64(j.pending) * runTime(j.Demand.Expected, 1).Seconds() * j.taskCores()
}

func (j *job) taskCores() float64 {
	return float64(j.Demand.CPU) / coreUnits
}

// shedByCost compares the waiting jobs of each service, if they have changed. Those that cost
// least yield or are refused, so that the others start in time. Nothing was started of a job
// that is refused, and none of its tasks has a run left.
func (p *Placer) shedByCost(now time.Time) {
	if !p.planDue || now.Before(p.planAfter) {
		return
	}
	p.planDue, p.planAfter = false, now.Add(planInterval)
	for _, service := range slices.Sorted(maps.Keys(p.loads)) {
		p.planService(service, p.loads[service], now)
	}
}

func (p *Placer) planService(service string, l *load, now time.Time) {
	var factor, cores float64
	l.entries, l.jobs = l.entries[:0], l.jobs[:0]
	for _, j := range p.waiting {
		if j.Service == service && j.pending > 0 {
			l.jobs = append(l.jobs, j)
			cores += float64(j.pending) * j.taskCores()
		}
	}
	l.backlog = 0
	l.capacity, factor = p.capacityOf(service, l, now)
	if !l.mixed(now) || l.capacity.Rate == 0 || cores <= l.capacity.Free {
		for _, j := range l.jobs {
			l.keep(j, now)
		}
		return
	}
	for _, j := range l.jobs {
		l.entries = append(l.entries, p.entryOf(j, factor, now))
	}
	result := l.decider.Plan(l.entries, l.capacity)
	l.backlog = result.Backlog
	for i, j := range l.jobs {
		e := &l.entries[i]
		waited := j.cost.planned
		j.cost.planned, j.cost.yields = true, e.Verdict == shed.Yield && !e.Late
		j.cost.finish = j.started && e.Verdict == shed.Keep && j.late(now)
		if !e.Late {
			j.cost.counted = e.Verdict != shed.Keep
		}
		if e.Verdict == shed.Displace {
			p.displace(j, e, result.Class, waited, now)
		}
	}
}

// keep gives a waiting job its place without a plan, as there is room for all. One that yielded counts no
// longer as refused, unless it is late, as in a plan.
func (l *load) keep(j *job, now time.Time) {
	if j.cost.yields && j.cost.counted && !j.late(now) {
		l.decider.Kept(j.Route, j.cost.large)
		j.cost.counted = false
	}
	j.cost.planned, j.cost.yields, j.cost.finish = true, false, false
}

// entryOf returns a waiting job as the decision sees it. factor is the mean ratio of
// measured to declared run times on the servers in use.
func (p *Placer) entryOf(j *job, factor float64, now time.Time) shed.Entry {
	expected := runTime(j.Demand.Expected, factor*j.cost.slowest)
	due, late := j.Arrived.Add(min(j.Objective-expected, j.latestUsefulStart())), j.late(now)
	if j.started { // what has run already would be lost with it, so that only the rest counts
		weight := shed.Weight(j.Priority)
		if late {
			weight, due, late = weight*shed.LateValue, j.Arrived.Add(j.latestUsefulStart()), now.Sub(j.Arrived) > j.latestUsefulStart()
		}
		j.cost.class = shed.Class(weight, j.coreWork())
	}
	return shed.Entry{
		Kind: j.Route, Priority: j.Priority, Class: j.cost.class, Large: j.cost.large, Age: now.Sub(j.Arrived),
		Work: j.coreWork(), Cores: float64(j.pending) * j.taskCores(),
		Due:     due.Sub(now),
		Last:    j.Arrived.Add(j.latestUsefulStart()).Sub(now),
		Margin:  time.Duration(declaredError * float64(j.Demand.Expected)),
		Fixed:   j.started || j.Again || !anywhere(j.Demand) || p.hasOrphans(j),
		Strict:  j.Strict,
		Late:    late,
		Yielded: j.cost.yields || j.cost.counted,
	}
}

// displace refuses a job because its loss costs least.
func (p *Placer) displace(j *job, e *shed.Entry, highest int, waited bool, now time.Time) {
	j.cost.inputs = &CostInputs{
		Waited: waited, Class: e.Class, Highest: highest, Large: e.Large,
		Work: e.Work, Rate: p.loads[j.Service].capacity.Rate, Start: e.Start, Due: e.Due, Last: e.Last,
	}
	reason := reasonOutranked
	if waited {
		reason = reasonDisplaced
	}
	p.end(j, model.JobEndRefused, reason, now)
}

// capacityOf returns what the servers of a service can take, and the mean ratio of
// measured to declared run times on them.
func (p *Placer) capacityOf(service string, l *load, now time.Time) (c shed.Capacity, factor float64) {
	cores := 0.0
	for _, s := range p.order {
		if s.Service != service || !s.usable(now) {
			continue
		}
		cores += float64(s.CPU)
		c.Rate += float64(s.CPU) / p.speeds.factorOf(s)
		c.Free += float64(s.roomFor(l.demand) * l.demand.CPU)
	}
	if c.Rate == 0 {
		return shed.Capacity{}, 1
	}
	factor = cores / c.Rate
	c.Rate *= l.use / coreUnits
	c.Free /= coreUnits
	return c, factor
}

// roomFor returns how many further tasks with this demand fit on the server.
func (s *server) roomFor(d model.Demand) int64 {
	free := *s
	free.CPU -= s.used.CPU
	free.MemoryMB -= s.used.MemoryMB
	free.Accelerators -= s.used.Accelerators
	return max(free.slots(d), 0)
}

// measureUse measures which share of the cores is in use while tasks find no room, and has
// the waiting jobs compared again, since time has passed.
func (p *Placer) measureUse(now time.Time) {
	if len(p.waiting) == 0 || p.admission != shed.Cost {
		return
	}
	p.planDue = true
	for service, l := range p.loads {
		if _, full := p.noRoomCPU[service]; !full {
			continue
		}
		var cores, used int64
		for _, s := range p.order {
			if s.Service == service && s.usable(now) {
				cores += s.CPU
				used += min(s.used.CPU, s.CPU)
			}
		}
		if cores > 0 {
			l.use = max(l.use+useGain*(float64(used)/float64(cores)-l.use), minUse)
		}
	}
}

// learnRun learns from the run time of a task that is done.
func (p *Placer) learnRun(r *run, took time.Duration) {
	p.speeds.learn(r.task.job.Demand.Expected, took, r.server)
	if p.admission == shed.Cost {
		p.speeds.learnSpread(r.task.job.Route, r.expected, took, r.server)
	}
}
