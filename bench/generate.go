package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	minTask        = 50 * time.Millisecond // run times
	usualMaxTask   = time.Second           // upper limit of the run time, but for longTaskShare of the tasks
	maxTask        = 5 * time.Second
	longTaskShare  = 0.01 // share of tasks that take longer than usualMaxTask
	maxJobTasks    = 130
	deadlineFactor = 3 // multiple of the ideal response time
	deadlineMargin = 500 * time.Millisecond
	groupInterval  = 2 * time.Second  // jobs that a customer sends in one interval share a group
	pcgStream      = 0x646f67776f6f64 // second word of the random seed
)

// generator generates one recording.
type generator struct {
	profile Profile
	scale   Scale
	rnd     *rand.Rand
	events  []Event
	jobs    int
}

// Generate returns an open-loop recording: arrivals do not wait for answers. The same profile and
// scale always give the same recording.
func Generate(p Profile, s Scale) Recording {
	g := &generator{profile: p, scale: s, rnd: rand.New(rand.NewPCG(s.Seed, pcgStream))}
	for at := g.drawInterval(0); at < s.Duration; at += g.drawInterval(at) {
		g.addJob(at)
	}
	g.addCancelWaves()
	slices.SortStableFunc(g.events, func(a, b Event) int { return int(a.At - b.At) })
	return Recording{Events: g.events}
}

// drawInterval draws the time from at until the next job.
func (g *generator) drawInterval(at time.Duration) time.Duration {
	work := meanJobTasks() * meanTaskTime().Seconds() * g.scale.TaskTime
	rate := g.profile.Load * g.scale.Capacity / work
	if fifth := g.scale.Duration / 5; at >= 2*fifth && at < 3*fifth {
		rate *= g.profile.Burst
	}
	return time.Duration(g.rnd.ExpFloat64() / rate * float64(time.Second))
}

func (g *generator) addJob(at time.Duration) {
	g.jobs++
	customer := g.drawCustomer()
	e := Event{
		Kind:     KindJob,
		At:       at.Truncate(time.Millisecond),
		Customer: customer,
		Group:    groupName(customer, at),
		Label:    fmt.Sprintf("j%d", g.jobs),
		Keyed:    g.rnd.Float64() < g.profile.KeyedShare,
		Tasks:    g.drawTasks(),
	}
	e.Deadline = deadlineFactor*e.Ideal() + deadlineMargin
	g.events = append(g.events, e)
	if e.Keyed && g.rnd.Float64() < g.profile.ResubmitShare {
		resubmit := e
		resubmit.Kind = KindResubmit
		resubmit.At += (e.Ideal() / 2).Truncate(time.Millisecond)
		g.events = append(g.events, resubmit)
	}
}

func (g *generator) drawCustomer() string {
	total := 0.0
	for _, c := range g.profile.Customers {
		total += c.Share
	}
	drawn := g.rnd.Float64() * total
	for _, c := range g.profile.Customers {
		if drawn -= c.Share; drawn < 0 {
			return c.Name
		}
	}
	return g.profile.Customers[0].Name
}

func (g *generator) drawTasks() []time.Duration {
	n := int(g.logUniform(1, maxJobTasks+1))
	tasks := make([]time.Duration, n)
	for i := range tasks {
		shortest, longest := minTask, usualMaxTask
		if g.rnd.Float64() < longTaskShare {
			shortest, longest = usualMaxTask, maxTask
		}
		d := g.logUniform(float64(shortest), float64(longest)) * g.scale.TaskTime
		tasks[i] = max(time.Duration(d).Truncate(time.Millisecond), time.Millisecond)
	}
	return tasks
}

// addCancelWaves adds cancellations in which each customer in turn cancels its latest group.
func (g *generator) addCancelWaves() {
	for i := range g.profile.CancelWaves {
		at := g.scale.Duration * time.Duration(i+1) / time.Duration(g.profile.CancelWaves+1)
		customer := g.profile.Customers[i%len(g.profile.Customers)].Name
		g.events = append(g.events, Event{
			Kind:     KindCancel,
			At:       at.Truncate(time.Millisecond),
			Customer: customer,
			Group:    groupName(customer, at),
		})
	}
}

func (g *generator) logUniform(low, high float64) float64 {
	return low * math.Exp(g.rnd.Float64()*math.Log(high/low))
}

func groupName(customer string, at time.Duration) string {
	return fmt.Sprintf("%s-%d", customer, at/groupInterval)
}

func meanJobTasks() float64 {
	return meanLogUniform(1, maxJobTasks+1)
}

func meanTaskTime() time.Duration {
	usual := meanLogUniform(float64(minTask), float64(usualMaxTask))
	long := meanLogUniform(float64(usualMaxTask), float64(maxTask))
	return time.Duration((1-longTaskShare)*usual + longTaskShare*long)
}

func meanLogUniform(low, high float64) float64 {
	return (high - low) / math.Log(high/low)
}
