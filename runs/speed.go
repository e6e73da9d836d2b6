package runs

import (
	"math"
	"time"
)

const (
	minGain        = 0.02 // weight of a new sample of a kind with many samples
	serverGain     = 0.25 // weight of a new sample of one server relative to its kind
	minSamples     = 4    // of a kind before its speed is used
	untestedFactor = 0.7  // of the declared time, assumed for a kind with fewer samples, so that it gets tasks
	maxLogRatio    = 3.0  // bound on the logarithm of one sample

	minSpreadSamples = 20    // of a route before its spread is used
	maxSpreadRoutes  = 16384 // more than a configuration has routes
	maxSlowest       = 4.0   // bound on the ratio for the slowest task of a job: run times are up to four times their mean
	defaultRunTime   = 200 * time.Millisecond
)

// speeds holds the learned ratios of measured to declared run times. Servers of one kind
// share one ratio.
type speeds struct {
	kinds   map[kindKey]*kindSpeed
	spreads map[string]map[kindKey]*spread // by route
}

// spread is a running mean and variance of the logarithm of measured over expected run
// times of the tasks of a route on servers of a kind.
type spread struct {
	mean     float64
	variance float64
	count    float64
}

type kindKey struct {
	service string
	kind    string
}

// kindSpeed is a running mean of the logarithm of measured over declared run times.
type kindSpeed struct {
	logMean float64
	count   float64
}

func newSpeeds() speeds {
	return speeds{spreads: map[string]map[kindKey]*spread{}, kinds: map[kindKey]*kindSpeed{}}
}

func (v *speeds) of(s *server) *kindSpeed {
	key := kindKey{service: s.Service, kind: s.Kind()}
	k, ok := v.kinds[key]
	if !ok {
		k = &kindSpeed{}
		v.kinds[key] = k
	}
	return k
}

// refresh recalculates the factor of a server.
func (v *speeds) refresh(s *server) {
	s.speed = v.of(s)
	s.factor = math.Exp(s.health.slowness)
	if s.speed.count < minSamples {
		s.factor *= untestedFactor
		return
	}
	s.factor *= math.Exp(s.speed.logMean)
}

// expected returns how long a task with a declared run time runs on a server.
// defaultRunTime stands in for a run time that isn't declared.
func (v *speeds) expected(declared time.Duration, s *server) time.Duration {
	return runTime(declared, v.factorOf(s))
}

// runTime returns the run time for a ratio of measured to declared run times.
func runTime(declared time.Duration, factor float64) time.Duration {
	if declared <= 0 {
		declared = defaultRunTime
	}
	return time.Duration(float64(declared) * factor)
}

// factorOf returns the ratio of measured to declared run times on a server.
func (v *speeds) factorOf(s *server) float64 {
	if s.speed == nil {
		v.refresh(s)
	}
	return s.factor
}

// learn adds the run time of a task as a sample.
func (v *speeds) learn(declared, took time.Duration, s *server) {
	if declared <= 0 || took <= 0 {
		return
	}
	k := v.of(s)
	ratio := math.Log(took.Seconds() / declared.Seconds())
	ratio = min(max(ratio, -maxLogRatio), maxLogRatio)
	residual := ratio - k.logMean
	k.count++
	if k.count <= minSamples {
		k.logMean += residual / k.count
		v.refresh(s)
		return
	}
	s.health.slowness += serverGain * (residual - s.health.slowness)
	k.logMean += max(1/k.count, minGain) * (residual - s.health.slowness)
	v.refresh(s)
}

// learnSpread adds the run time of a task as a sample of its route.
func (v *speeds) learnSpread(route string, expected, took time.Duration, s *server) {
	if expected <= 0 || took <= 0 {
		return
	}
	kinds, ok := v.spreads[route]
	if !ok {
		if len(v.spreads) >= maxSpreadRoutes {
			clear(v.spreads) // routes that are no longer configured; the spreads are learned again
		}
		kinds = map[kindKey]*spread{}
		v.spreads[route] = kinds
	}
	key := kindKey{service: s.Service, kind: s.Kind()}
	k, ok := kinds[key]
	if !ok {
		k = &spread{}
		kinds[key] = k
	}
	ratio := min(max(math.Log(took.Seconds()/expected.Seconds()), -maxLogRatio), maxLogRatio)
	k.count++
	gain := max(1/k.count, minGain)
	residual := ratio - k.mean
	k.mean += gain * residual
	k.variance += gain * (residual*residual*(1-gain) - k.variance)
}

// slowest returns how many times as long as expected the slowest task of a job of a route
// runs, at the median: with half a chance all tasks are faster. The tasks may run on any of
// the kinds of servers on which earlier ones ran.
func (v *speeds) slowest(route string, tasks int) float64 {
	var count, mean, square float64
	for _, k := range v.spreads[route] {
		weight := min(k.count, 1/minGain)
		count += weight
		mean += weight * k.mean
		square += weight * (k.variance + k.mean*k.mean)
	}
	if count < minSpreadSamples {
		return 1
	}
	mean /= count
	deviation := math.Sqrt(max(square/count-mean*mean, 0))
	// The normal quantile below which one of the tasks is with this probability.
	quantile := math.Sqrt2 * math.Erfinv(2*math.Pow(0.5, 1/float64(max(tasks, 1)))-1)
	return min(max(math.Exp(mean+deviation*quantile), 1/maxSlowest), maxSlowest)
}
