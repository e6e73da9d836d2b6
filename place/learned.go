package place

import (
	"maps"
	"slices"
	"time"
)

// maxLearned bounds each list of Learned.
const maxLearned = 1000

// Learned holds the learned run times and speeds that a placer hands to its successor.
type Learned struct {
	Speeds []LearnedSpeed
	Runs   []LearnedRun
}

// LearnedSpeed is the run time on a backend server relative to its peers.
type LearnedSpeed struct {
	BackendServer string
	Service       string
	Log           float64
	Count         float64 // samples, prior included
}

// LearnedRun is the run time of the tasks of a customer, or of all customers
// if Customer is empty.
type LearnedRun struct {
	Customer string
	Service  string
	Log      float64 // of seconds
	Count    float64 // samples, prior included
	Average  float64 // seconds
	Variance float64 // of the logarithm
	Worst    time.Duration
}

// Learned returns what was learned of announced servers and known customers, in
// a fixed order.
func (p *Placer) Learned() Learned {
	var l Learned
	for _, s := range slices.SortedFunc(maps.Values(p.servers), byName) {
		for _, m := range s.members {
			if m.announced() && m.speed.count > priorSpeedSamples {
				l.Speeds = append(l.Speeds, LearnedSpeed{
					BackendServer: s.info.Name, Service: m.service.name, Log: m.speed.log, Count: m.speed.count,
				})
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		l.addRun("", name, &p.services[name].run)
	}
	for _, name := range slices.Sorted(maps.Keys(p.customers)) {
		c := p.customers[name]
		for _, f := range c.flowList {
			if c.known {
				l.addRun(name, f.service.name, &f.run)
			}
		}
	}
	l.Speeds = l.Speeds[:min(len(l.Speeds), maxLearned)]
	l.Runs = l.Runs[:min(len(l.Runs), maxLearned)]
	return l
}

func (l *Learned) addRun(customer, service string, r *runTime) {
	if r.count <= priorRunSamples {
		return
	}
	l.Runs = append(l.Runs, LearnedRun{
		Customer: customer, Service: service,
		Log: r.log, Count: r.count, Average: r.average, Variance: r.variance, Worst: r.worst,
	})
}

// SetLearned applies what a former primary has learned. Servers and customers
// that this placer doesn't know are ignored.
func (p *Placer) SetLearned(l Learned) {
	for _, e := range l.Speeds {
		p.setSpeed(e)
	}
	for _, e := range l.Runs {
		p.setRunTime(e)
	}
}

func (p *Placer) setSpeed(e LearnedSpeed) {
	s, ok := p.servers[e.BackendServer]
	if !ok {
		return
	}
	m := s.member(e.Service)
	if m == nil {
		return
	}
	m.service.logSpeedSum += e.Log - m.speed.log
	m.speed = estimate{log: e.Log, count: e.Count}
	p.refresh(m)
}

func (p *Placer) setRunTime(e LearnedRun) {
	r := runTime{
		estimate: estimate{log: e.Log, count: e.Count}, average: e.Average, variance: e.Variance, worst: e.Worst,
	}
	r.refresh()
	if e.Customer == "" {
		p.service(e.Service).run = r
		return
	}
	if c, ok := p.customers[e.Customer]; ok {
		p.flow(c, p.service(e.Service)).run = r
	}
}
