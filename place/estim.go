package place

import (
	"math"
	"time"
)

const (
	defaultRunTime    = 200 * time.Millisecond // assumed run time before one is declared or learned
	minRunTime        = 100 * time.Microsecond // shorter run times are learned as this
	priorRunSamples   = 1.0                    // weight of a declared run time, in samples
	priorSpeedSamples = 2.0                    // weight of the mean speed as a prior, in samples
	minSpeedGain      = 0.01                   // minimum weight of a new speed sample; speeds differ less than run times
	minRunGain        = 0.05                   // minimum weight of a new run time sample
	trustSamples      = 3.0                    // samples at which a run time has half its weight in judging a server
	maxResidual       = 1.4                    // bound of the logarithm of one residual, about a factor of 4
	meterPeriod       = 2 * time.Second        // time constant of rate measurements
	worstDecay        = 0.999                  // of the longest run time, per sample
)

// estimate is a robust running mean of the logarithm of a positive quantity.
type estimate struct {
	log   float64
	count float64 // samples, including the prior
}

// gain returns the weight of the next sample.
func (e *estimate) gain(minimum float64) float64 {
	return max(1/(e.count+1), minimum)
}

func (e *estimate) update(residual, weight float64) {
	e.log += weight * residual
	e.count++
}

// runTime is the learned run time of the tasks of one customer and service on
// a server of mean speed.
type runTime struct {
	estimate
	worst    time.Duration // longest run time, decaying slowly
	mean     time.Duration // geometric mean, from the estimate
	average  float64       // arithmetic mean in seconds, which long run times raise
	variance float64       // of the logarithm
}

// setPrior sets the prior from the first declared run time.
func (r *runTime) setPrior(d time.Duration) {
	if r.count > 0 {
		return
	}
	if d <= 0 {
		d = defaultRunTime
	}
	r.log = logSeconds(d)
	r.count = priorRunSamples
	r.refresh()
	r.average = r.mean.Seconds()
}

func (r *runTime) refresh() {
	r.mean = time.Duration(math.Exp(r.log) * float64(time.Second))
}

// learn updates the run time, and the speed of the server, with a run time measured on it.
func (r *runTime) learn(ran time.Duration, speed *estimate) {
	residual := logSeconds(ran) - r.log - speed.log
	trust := (r.count - priorRunSamples) / (r.count - priorRunSamples + trustSamples)
	bounded := min(max(residual, -maxResidual), maxResidual)
	ownWeight, speedWeight := r.gain(minRunGain), speed.gain(minSpeedGain)*trust
	if r.count > priorRunSamples+trustSamples {
		residual = bounded
	}
	r.update(residual, ownWeight)
	r.average += r.gain(minSpeedGain) * (ran.Seconds()*math.Exp(-speed.log) - r.average)
	r.variance += ownWeight * (bounded*bounded - r.variance)
	speed.update(bounded, speedWeight)
	r.worst = max(ran, time.Duration(float64(r.worst)*worstDecay))
	r.refresh()
}

func logSeconds(d time.Duration) float64 {
	return math.Log(max(d, minRunTime).Seconds())
}

// longest returns the expected run time in seconds of the longest of n tasks
// on a server of mean speed.
func (r *runTime) longest(n int) float64 {
	deviations := math.Sqrt(2 * math.Log(float64(n)))
	return r.mean.Seconds() * math.Exp(deviations*math.Sqrt(r.variance))
}

// rateMeter measures the recent rate of an event.
type rateMeter struct {
	sum  float64 // of events, exponentially decayed
	last time.Time
}

func (m *rateMeter) add(now time.Time) {
	m.sum = m.decayed(now) + 1
	m.last = now
}

func (m *rateMeter) decayed(now time.Time) float64 {
	return m.sum * math.Exp(-now.Sub(m.last).Seconds()/meterPeriod.Seconds())
}

func (m *rateMeter) perSecond(now time.Time) float64 {
	return m.decayed(now) / meterPeriod.Seconds()
}
