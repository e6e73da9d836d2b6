package quota

import "time"

const (
	reserveDivisor     = 8 // a host's reserve is about 1/8 of the data centre's share
	clockMarginDivisor = 5 // delays are extended by a fifth, to tolerate clocks whose rates differ by a tenth
)

// Reserve returns the part of a data centre's share that the host with the given index may use
// while it serves alone, that is, dispatches without a lease from the primary. The reserves of all
// hosts add up to at most half of the share, since the other half may be lent. With fewer than two
// hosts, there is no reserve.
//
// Increasing the share by one increases the reserve of at most one host, by one. While a change of
// a limit propagates, the combined use of the primary and of the hosts that serve alone therefore
// stays within the greater of the two shares.
func Reserve(share Limits, hosts, index int) Limits {
	if hosts < 2 {
		return Limits{}
	}
	part := func(limit, _ int) int {
		total := min(limit/2, max(hosts, limit*hosts/max(reserveDivisor, 2*hosts)))
		return (total + hosts - 1 - index) / hosts
	}
	return share.combine(share, part)
}

// AloneTimes are the durations that bound how long a host's reserve may be in use after the host
// has promised not to serve alone.
type AloneTimes struct {
	Promise    time.Duration // validity of a promise
	GrantDelay time.Duration // maximum delay until a grant arrives
	MaxRun     time.Duration // maximum run time of a task
}

// reserveInUse returns how long after a promise the primary may be using the reserve: until the
// promise expires, the last grant issued under it arrives and the task of that grant ends.
func (t AloneTimes) reserveInUse() time.Duration { return t.Promise + t.GrantDelay + t.MaxRun }

// AloneDelay returns how long a host waits after its last promise before it serves alone.
func (t AloneTimes) AloneDelay() time.Duration { return withMargin(t.reserveInUse()) }

// StartupDelay returns how long a host waits after its start before it promises, because tasks that
// an earlier process started while serving alone may still be running.
func (t AloneTimes) StartupDelay() time.Duration { return withMargin(t.MaxRun) }

func withMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// Promises records which hosts have promised the primary not to serve alone. It belongs to one
// primary; a new primary starts without promises.
type Promises struct {
	times    AloneTimes
	unusedAt time.Time            // no host had ever served alone until then
	sentAt   map[string]time.Time // send time of the lease that the latest promise answers, by host
}

// NewPromises returns an empty Promises.
func NewPromises(t AloneTimes) *Promises {
	return &Promises{times: t, sentAt: map[string]time.Time{}}
}

// MarkUnused records that no host has ever served alone until now.
func (p *Promises) MarkUnused(now time.Time) { p.unusedAt = now }

// Record stores a host's promise. sentAt is when the lease that it answers was sent, by the
// primary's clock; older promises are ignored.
func (p *Promises) Record(host string, sentAt time.Time) {
	if sentAt.After(p.sentAt[host]) {
		p.sentAt[host] = sentAt
	}
}

// Valid reports whether a host's promise is valid, so that the primary may use the host's reserve.
func (p *Promises) Valid(host string, now time.Time) bool {
	at, ok := p.sentAt[host]
	return ok && now.Before(at.Add(p.times.Promise))
}

// Unused reports whether no process of the host can have served alone since its last promise, so
// that the host can promise without waiting for StartupDelay.
func (p *Promises) Unused(host string, now time.Time) bool {
	at := p.sentAt[host]
	if p.unusedAt.After(at) {
		at = p.unusedAt
	}
	return !at.IsZero() && now.Before(at.Add(p.times.reserveInUse()))
}

// Alone decides when a host serves alone, and when it may promise not to serve alone.
type Alone struct {
	times         AloneTimes
	notBefore     time.Time // earliest time to serve alone; zero until the first promise
	serving       bool
	served        bool      // the host has served alone since its start
	reserveFreeAt time.Time // time from which the reserve is not in use
}

// NewAlone returns the state of a host that has just started. It can serve alone only after its
// first promise: before that, it knows no fencing token that backend servers accept.
func NewAlone(t AloneTimes, now time.Time) Alone {
	return Alone{times: t, reserveFreeAt: now.Add(t.StartupDelay())}
}

// Serving reports whether the host serves alone.
func (a *Alone) Serving() bool { return a.serving }

// HasServed reports whether the host has served alone since its start.
func (a *Alone) HasServed() bool { return a.served }

// TryStart makes a host without a lease serve alone if it has promised before and AloneDelay has
// passed since the last lease that it received. It reports whether the host started to serve alone
// now.
func (a *Alone) TryStart(now time.Time) bool {
	if a.serving || a.notBefore.IsZero() || now.Before(a.notBefore) {
		return false
	}
	a.serving = true
	a.served = true
	return true
}

// OnLease handles a lease from the primary: the host stops serving alone. running is the number of
// tasks on the host's reserve; unused means that the primary knows that no earlier process has
// served alone. OnLease reports whether the host promises not to serve alone, which requires that
// its reserve is not in use. Starts of the last second count as use, since StartsPerSecond limits
// them.
func (a *Alone) OnLease(running int, unused bool, now time.Time) bool {
	if a.serving || running > 0 {
		a.reserveFreeAt = now.Add(withMargin(startsWindow))
	}
	a.serving = false
	promises := !now.Before(a.reserveFreeAt) || unused && !a.served
	if promises || !a.notBefore.IsZero() {
		a.notBefore = now.Add(a.times.AloneDelay())
	}
	return promises
}

// startsWindow is the window over which StartsPerSecond is counted.
const startsWindow = time.Second
