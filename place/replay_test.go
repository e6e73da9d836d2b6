package place

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/bench"
	"dogwoodrock.example/dogwoodrock/claim"
	"dogwoodrock.example/dogwoodrock/model"
)

const (
	replayHosts        = 9                // entry hosts, three in each data centre
	replayLength       = time.Minute      // of each recording
	replayCallTime     = 2 * ms           // overhead of a call on top of the run time
	replayLoadInterval = 100 * ms         // between updates of the load
	replayMinGain      = 100 * ms         // minimum saving for which a job is sent to wait elsewhere
	replayMinWait      = 20 * ms          // wait from which sending to another data centre pays off
	replaySeeds        = uint64(8)        // recordings of each profile
	replayRandomSeed   = uint64(20261204) // seed for the choice of data centres
	replayEnd          = 2 * replayLength // after which no timers are needed, only running tasks
)

var replayFleet = bench.Fleet{
	DataCentres: []string{"changwon", "gimhae", "jinju"}, Servers: 2, Slots: simServerSlots, Speeds: []float64{1, 2, 3, 4},
}

// replay runs a recording on the placers of three data centres. Jobs without a
// key are sent to other data centres by the rule of package jobs.
type replay struct {
	*timeline
	*rand.Rand
	placers []*Placer
	wakes   []time.Time
	views   [][]Load // by entry host and data centre, minus the tasks that the host sent there
	jobs    map[string]*replayJob
	counts  map[string]jobCounts // by customer
}

type replayJob struct {
	bench.Event
	remaining int
	refused   bool
}

// jobCounts counts the jobs of a customer and those of them on time.
type jobCounts struct{ jobs, onTime int }

func (c jobCounts) onTimeShare() float64 { return float64(c.onTime) / float64(c.jobs) }

// replays replays the recordings of a profile for seeds 1 to replaySeeds and adds up the
// counts.
func replays(p bench.Profile, opts ...Option) map[string]jobCounts {
	sum := map[string]jobCounts{}
	for seed := range replaySeeds {
		r := newReplay(p, opts...)
		scale := bench.Scale{Seed: seed + 1, Duration: replayLength, Capacity: replayFleet.Capacity(), TaskTime: 1}
		r.run(bench.Generate(p, scale))
		for customer, t := range r.counts {
			sum[customer] = jobCounts{sum[customer].jobs + t.jobs, sum[customer].onTime + t.onTime}
		}
	}
	return sum
}

func newReplay(profile bench.Profile, opts ...Option) *replay {
	r := &replay{
		timeline: newTimeline(), Rand: rand.New(rand.NewPCG(replayRandomSeed, 0)), views: make([][]Load, replayHosts),
		jobs: map[string]*replayJob{}, counts: map[string]jobCounts{}, wakes: make([]time.Time, len(replayFleet.DataCentres)),
	}
	var plans []model.Plan
	for _, c := range profile.Customers {
		plans = append(plans, plan(c.Name, 1))
	}
	for range replayFleet.DataCentres {
		r.placers = append(r.placers, newPlacer(listsOf(plans...), 0, 0, opts...))
	}
	for i := range replayFleet.Servers * len(r.placers) {
		r.placers[i%len(r.placers)].Announce(backend(i, replayFleet.Slots), start)
	}
	return r
}

func (r *replay) run(recording bench.Recording) {
	for at := time.Duration(0); at < replayLength; at += replayLoadInterval {
		r.at(start.Add(at), r.updateViews)
	}
	for i, e := range recording.Events {
		if e.Kind == bench.KindJob {
			r.at(start.Add(e.At), func() { r.arrive(e, i%replayHosts) })
		}
	}
	for r.events.Len() > 0 {
		r.step()
		for dc := range r.placers {
			r.drain(dc)
		}
	}
}

func (r *replay) updateViews() {
	for host := range r.views {
		r.views[host] = nil
		for _, p := range r.placers {
			r.views[host] = append(r.views[host], p.Loads()[0])
		}
	}
}

func (r *replay) arrive(e bench.Event, host int) {
	j := &replayJob{Event: e, remaining: len(e.Tasks)}
	r.jobs[e.Label] = j
	t := r.counts[e.Customer]
	r.counts[e.Customer] = jobCounts{t.jobs + 1, t.onTime}
	req := jobOf(e.Label, e.Customer, len(e.Tasks))
	req.Deadline = r.now.Add(e.Deadline)
	for i, d := range e.Tasks {
		req.Tasks[i].Expected = d
	}
	j.refused = r.placers[r.dataCentre(e, host)].Submit(req, r.now) != nil
}

// dataCentre returns the index of the data centre that runs a job.
func (r *replay) dataCentre(e bench.Event, host int) int {
	if e.Keyed {
		return slices.Index(replayFleet.DataCentres, claim.Home(replayFleet.DataCentres, e.Customer, e.Label))
	}
	own := host * len(r.placers) / replayHosts
	view := r.views[host]
	chosen := own
	if l := view[own]; l.Idle == 0 || l.Idle < len(e.Tasks) && l.Wait > replayMinWait {
		chosen = r.drawIdle(view, own)
		if chosen == own {
			chosen = r.shorterWait(view, own)
		}
	}
	view[chosen].Idle = max(view[chosen].Idle-len(e.Tasks), 0)
	return chosen
}

// drawIdle draws another data centre, weighted by idle slots. It returns own if none has any.
func (r *replay) drawIdle(view []Load, own int) int {
	chosen, total := own, 0
	for i, l := range view {
		if i == own || l.Idle == 0 {
			continue
		}
		total += l.Idle
		if r.IntN(total) < l.Idle {
			chosen = i
		}
	}
	return chosen
}

// shorterWait returns the data centre with the shortest wait, with a probability
// that rises with the time saved, or own.
func (r *replay) shorterWait(view []Load, own int) int {
	shortest := own
	for i := range view {
		if view[i].Wait < view[shortest].Wait {
			shortest = i
		}
	}
	gain := view[own].Wait - view[shortest].Wait
	if gain < replayMinGain || r.Int64N(int64(view[own].Wait)) >= int64(gain) {
		return own
	}
	return shortest
}

// drain processes the grants and refusals of a placer.
func (r *replay) drain(dc int) {
	p := r.placers[dc]
	p.Tick(r.now)
	out := p.Drain()
	for _, g := range out.Grants {
		r.begin(p, g)
	}
	for _, f := range out.Refusals {
		r.jobs[f.Job].refused = true
	}
	wake := p.NextWake(r.now)
	if wake.After(r.now) && wake != r.wakes[dc] && wake.Before(start.Add(replayEnd)) {
		r.wakes[dc] = wake
		r.at(wake, func() {})
	}
}

func (r *replay) begin(p *Placer, g Grant) {
	server, _ := strconv.Atoi(g.BackendServer[1:])
	j := r.jobs[g.Job]
	ran := time.Duration(float64(j.Tasks[g.Task]) / replayFleet.Speeds[server%len(replayFleet.Speeds)])
	r.at(r.now.Add(ran+replayCallTime), func() {
		j.remaining--
		if j.remaining == 0 && !j.refused && r.now.Sub(start) <= j.At+j.Deadline {
			t := r.counts[j.Customer]
			r.counts[j.Customer] = jobCounts{t.jobs, t.onTime + 1}
		}
		p.Complete(Completion{Grant: g.ID, RunTime: ran}, r.now)
	})
}

// A customer that asks for an eighth of the capacity is within its share of a half. It must stay
// on time while another customer asks for nine times as much.
func TestSmallCustomer(t *testing.T) {
	const (
		minJobs  = 100
		minShare = 0.95
	)
	tests := map[string]struct {
		off func(c *config)
		met bool
	}{
		"jobs within the share are judged by their mean run time": {func(*config) {}, true},
		"all jobs are judged by their longest run time":           {func(c *config) { c.meanWithinShare = false }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := replays(bench.Profiles()["small-customer"], tt.off)
			small, large := got["small"], got["large"]
			if small.jobs < minJobs {
				t.Fatalf("%d jobs of the small customer, want %d", small.jobs, minJobs)
			}
			if met := small.onTimeShare() >= max(large.onTimeShare(), minShare); met != tt.met {
				t.Errorf("on time: small %.3f, large %.3f; met %v, want %v", small.onTimeShare(), large.onTimeShare(), met, tt.met)
			}
		})
	}
}

// BenchmarkReplay reports the percentage of jobs on time, by profile and customer.
func BenchmarkReplay(b *testing.B) {
	policies := map[string]func(c *config){
		"Placer":   func(*config) {},
		"NoFavour": func(c *config) { c.meanWithinShare = false },
	}
	for _, profile := range []string{"steady", "overload", "burst", "small-customer"} {
		for name, off := range policies {
			b.Run(profile+"/"+name, func(b *testing.B) {
				var got map[string]jobCounts
				for range b.N {
					got = replays(bench.Profiles()[profile], off)
				}
				b.ReportMetric(0, "ns/op")
				var all jobCounts
				for customer, t := range got {
					b.ReportMetric(100*t.onTimeShare(), customer+"-%")
					all = jobCounts{all.jobs + t.jobs, all.onTime + t.onTime}
				}
				b.ReportMetric(100*all.onTimeShare(), "all-%")
			})
		}
	}
}
