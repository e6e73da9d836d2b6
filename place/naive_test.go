package place

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// naive is a slow reference model of the placer: plain lists that are scanned for
// every decision. It covers servers of equal speed and without faults.
type naive struct {
	customers    []model.Plan // each with one customer of the same name
	servers      []model.BackendServer
	unannounced  map[string]bool
	waiting      []*naiveTask
	running      []*naiveTask
	started      []*naiveTask                     // in order of grant ID
	flows        map[string]map[string]*naiveFlow // by service and customer
	startTags    map[string]float64               // of services
	virtualTimes map[string]float64               // of services
	virtualTime  float64
	arrivals     int
}

type naiveTask struct {
	Shape
	Request
	due     time.Time
	arrival int
	flow    *naiveFlow
	server  string
	at      time.Time
	charged float64
	id      uint64
}

type naiveFlow struct {
	model.Plan
	index    int // of the customer
	startTag float64
	active   bool
	run      runTime
}

func newNaive(customers []model.Plan) *naive {
	n := &naive{customers: customers, unannounced: map[string]bool{}, startTags: map[string]float64{}, virtualTimes: map[string]float64{}}
	n.flows = map[string]map[string]*naiveFlow{"check": {}, "swap": {}}
	for i, c := range customers {
		for _, flows := range n.flows {
			flows[c.Name] = &naiveFlow{Plan: c, index: i}
		}
	}
	return n
}

func (n *naive) submit(req Request, now time.Time) {
	n.arrivals++
	for _, s := range req.Tasks {
		t := &naiveTask{Shape: s, Request: req, due: req.Deadline, arrival: n.arrivals, flow: n.flows[s.Service][req.Customer]}
		if req.Deadline.IsZero() {
			t.due = impliedDue(now, DefaultImpliedDeadline)
		}
		t.flow.run.setPrior(s.Expected)
		n.waiting = append(n.waiting, t)
	}
	n.dispatch(now)
}

func (n *naive) complete(id uint64, ran time.Duration, now time.Time) {
	t := n.started[id-1]
	t.flow.run.learn(ran, &estimate{count: priorSpeedSamples})
	t.flow.startTag += (now.Sub(t.at).Seconds() - t.charged) / float64(t.flow.Weight)
	n.running = slices.DeleteFunc(n.running, func(o *naiveTask) bool { return o == t })
	n.dispatch(now)
}

// drop removes the waiting tasks that match.
func (n *naive) drop(match func(t *naiveTask) bool, now time.Time) {
	n.waiting = slices.DeleteFunc(n.waiting, match)
	n.activate(now)
}

func (n *naive) cancel(job string, now time.Time) {
	n.drop(func(t *naiveTask) bool { return t.Job == job }, now)
}

func (n *naive) tick(now time.Time) {
	n.drop(func(t *naiveTask) bool { return !t.Deadline.IsZero() && !now.Before(t.Deadline) }, now)
	n.dispatch(now)
}

func count(list []*naiveTask, match func(t *naiveTask) bool) (n int) {
	for _, t := range list {
		if match(t) {
			n++
		}
	}
	return n
}

// competes reports whether a flow has waiting tasks and its customer's quotas allow a start.
func (n *naive) competes(f *naiveFlow, now time.Time) bool {
	own := func(t *naiveTask) bool { return t.Customer == f.Name }
	recent := func(t *naiveTask) bool { return own(t) && now.Sub(t.at) < time.Second }
	return count(n.running, own) < f.MaxRunning && count(n.started, recent) < f.StartsPerSecond &&
		count(n.waiting, func(t *naiveTask) bool { return t.flow == f }) > 0
}

// activate updates which flows compete. A flow that starts to compete has its start tag
// raised to the virtual time of the service.
func (n *naive) activate(now time.Time) {
	for _, service := range []string{"check", "swap"} {
		for _, f := range n.flows[service] {
			f.active = f.active && n.competes(f, now)
		}
	}
	for _, service := range []string{"check", "swap"} {
		for _, c := range n.customers {
			f := n.flows[service][c.Name]
			if f.active || !n.competes(f, now) {
				continue
			}
			f.startTag = max(f.startTag, n.virtualTimes[service])
			if n.weight(service) == 0 {
				n.startTags[service] = max(n.startTags[service], n.virtualTime)
			}
			f.active = true
		}
	}
}

func (n *naive) weight(service string) (sum float64) {
	for _, f := range n.flows[service] {
		if f.active {
			sum += float64(f.Weight)
		}
	}
	return sum
}

func (n *naive) dispatch(now time.Time) {
	for {
		n.activate(now)
		var best *naiveTask
		for _, t := range n.waiting {
			if t.flow.active && n.slot(t) != "" && (best == nil || n.before(t, best)) {
				best = t
			}
		}
		switch {
		case best == nil:
			return
		case !best.Deadline.IsZero() && best.flow.run.count >= minLearnedSamples && now.Add(best.flow.run.mean).After(best.Deadline):
			n.cancel(best.Job, now)
		default:
			n.start(best, now)
		}
	}
}

func (n *naive) before(a, b *naiveTask) bool {
	remaining := func(job string) int {
		own := func(t *naiveTask) bool { return t.Job == job }
		return count(n.waiting, own) + count(n.running, own)
	}
	switch {
	case a.Service != b.Service && n.startTags[a.Service] != n.startTags[b.Service]:
		return n.startTags[a.Service] < n.startTags[b.Service]
	case a.Service != b.Service:
		return a.Service < b.Service
	case a.flow.startTag != b.flow.startTag:
		return a.flow.startTag < b.flow.startTag
	case a.flow != b.flow:
		return a.flow.index < b.flow.index
	case !a.due.Equal(b.due):
		return a.due.Before(b.due)
	case remaining(a.Job) != remaining(b.Job):
		return remaining(a.Job) < remaining(b.Job)
	default:
		return a.arrival < b.arrival
	}
}

// slot returns the least loaded server that can take a task, or an empty string.
func (n *naive) slot(t *naiveTask) (best string) {
	lowestLoad := 2.0
	for _, s := range n.servers {
		used, memory := 0, t.MemoryBytes
		for _, r := range n.running {
			if r.server == s.Name {
				used++
				memory += r.MemoryBytes
			}
		}
		load := float64(used) / float64(s.Slots)
		if !n.unannounced[s.Name] && slices.Contains(s.Services, t.Service) && used < s.Slots && memory <= s.MemoryBytes && load < lowestLoad {
			best, lowestLoad = s.Name, load
		}
	}
	return best
}

func (n *naive) start(t *naiveTask, now time.Time) {
	t.server, t.at, t.charged = n.slot(t), now, t.flow.run.mean.Seconds()
	n.virtualTimes[t.Service] = max(n.virtualTimes[t.Service], t.flow.startTag)
	n.virtualTime = max(n.virtualTime, n.startTags[t.Service])
	n.startTags[t.Service] += t.charged / n.weight(t.Service)
	t.flow.startTag += t.charged / float64(t.flow.Weight)
	n.waiting = slices.DeleteFunc(n.waiting, func(o *naiveTask) bool { return o == t })
	n.running, n.started = append(n.running, t), append(n.started, t)
	t.id = uint64(len(n.started))
}
