package place

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"dogwoodrock.example/dogwoodrock/pqueue"
)

const simServerSlots = 8

// scenario describes the load on a set of backend servers.
type scenario struct {
	servers  int
	spread   float64 // run time of the slowest server relative to the fastest
	load     float64 // of the capacity
	broken   int     // servers that fail every task immediately
	noisy    float64 // load of customer noisy relative to customer quiet
	jobs     int
	deadline time.Duration // of each job after its arrival, 0 for none
}

// policy is the placement policy under test, as function fields.
type policy struct {
	submit   func(Request, time.Time)
	complete func(Completion, time.Time)
	tick     func(time.Time) (grants []Grant, wake time.Time)
}

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

// timeline is the virtual time of a simulation and its scheduled events.
type timeline struct {
	now    time.Time
	events pqueue.Heap[simEvent]
	seq    int
}

func newTimeline() *timeline {
	l := &timeline{now: start}
	l.events.Less = func(a, b simEvent) bool { return a.at.Before(b.at) || a.at.Equal(b.at) && a.seq < b.seq }
	l.events.SetPos = func(simEvent, int) {}
	return l
}

func (l *timeline) at(t time.Time, do func()) {
	l.seq++
	l.events.Push(simEvent{at: t, seq: l.seq, do: do})
}

// step advances the time to the next event and runs it.
func (l *timeline) step() {
	e := l.events.Top()
	l.events.Remove(0)
	l.now = e.at
	e.do()
}

type simJob struct {
	Request
	remaining int
	failed    bool
	ideal     time.Duration
	runTimes  []time.Duration
}

type sim struct {
	scenario
	policy
	*rand.Rand
	*timeline
	jobs   map[string]*simJob
	ratios map[string][]float64 // response time divided by the ideal response time, sorted
	failed int
	onTime int
}

// factor returns the run time on a server relative to the fastest one.
func (s *sim) factor(i int) float64 { return math.Pow(s.spread, float64(i)/float64(s.servers-1)) }

// arrive submits a job of 1 to 16 tasks, most of 50 ms to a second and some of
// several seconds, with declared run times off by up to a factor of 10.
func (s *sim) arrive(n int) {
	customer := "quiet"
	if s.Float64() < s.noisy/(s.noisy+1) {
		customer = "noisy"
	}
	j := &simJob{remaining: 1 + s.IntN(16)}
	j.Request = jobOf(fmt.Sprintf("j%d", n), customer, j.remaining)
	j.AcceptedAt = s.now
	if s.deadline > 0 {
		j.Deadline = s.now.Add(s.deadline)
	}
	var work, capacity float64
	for i := range j.Tasks {
		run := time.Duration(50*math.Pow(20, s.Float64())) * ms
		if s.Float64() < 0.03 {
			run = time.Duration((1 + 3*s.Float64()) * float64(time.Second))
		}
		j.Tasks[i].Expected = time.Duration(float64(run) * math.Pow(10, 2*s.Float64()-1))
		j.runTimes, j.ideal, work = append(j.runTimes, run), max(j.ideal, run), work+run.Seconds()
	}
	for i := s.broken; i < s.servers; i++ {
		capacity += simServerSlots / s.factor(i)
	}
	s.jobs[j.Job] = j
	s.submit(j.Request, s.now)
	if n+1 < s.scenario.jobs {
		gap := s.ExpFloat64() * work / s.load / capacity
		s.at(s.now.Add(time.Duration(gap*float64(time.Second))), func() { s.arrive(n + 1) })
	}
}

func (s *sim) begin(g Grant) {
	server, _ := strconv.Atoi(g.BackendServer[1:])
	j := s.jobs[g.Job]
	d := Completion{Grant: g.ID, RunTime: time.Duration(float64(j.runTimes[g.Task]) * s.factor(server))}
	if server < s.broken {
		d.Result, d.RunTime = Failed, ms
	}
	s.at(s.now.Add(d.RunTime+ms), func() {
		j.remaining--
		j.failed = j.failed || d.Result != Succeeded
		if took := s.now.Sub(j.AcceptedAt); j.remaining == 0 && j.failed {
			s.failed++
		} else if j.remaining == 0 {
			s.ratios[j.Customer] = append(s.ratios[j.Customer], float64(took)/float64(j.ideal))
			s.onTime += map[bool]int{true: 1}[took <= s.deadline]
		}
		s.complete(d, s.now)
	})
}

// simulate runs a scenario to its end with a fixed seed.
func simulate(sc scenario, p policy) *sim {
	s := &sim{scenario: sc, policy: p, Rand: rand.New(rand.NewPCG(2026, 12)), timeline: newTimeline(), jobs: map[string]*simJob{}, ratios: map[string][]float64{}}
	s.at(start, func() { s.arrive(0) })
	for last := (time.Time{}); s.events.Len() > 0; {
		s.step()
		grants, wake := s.tick(s.now)
		for _, g := range grants {
			s.begin(g)
		}
		if s.events.Len() > 0 && wake.After(s.now) && wake != last {
			last = wake
			s.at(wake, func() {})
		}
	}
	for _, list := range s.ratios {
		slices.Sort(list)
	}
	return s
}

func (s *sim) quantile(customer string, q float64) float64 {
	return s.ratios[customer][int(q*float64(len(s.ratios[customer])))]
}
