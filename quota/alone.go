package quota

import "time"

const (
	reserveDivisor     = 8 // a host's reserve is about this part of the data centre's share
	clockMarginDivisor = 5 // a wait is longer by a fifth, for clocks that drift by a tenth
)

// Reserve returns the part of a data centre's share that the host at the given
// place among its hosts may use while it serves alone. The reserves of all hosts
// are together at most half of the share, since the other half may be lent.
//
// A share that is greater by one gives at most one host a reserve that is
// greater, by one. While a change of a limit spreads, what the primary and the
// hosts that serve alone use therefore stays within the greater share.
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

// AloneTimes are the times by which hosts promise not to serve alone.
type AloneTimes struct {
	Promise    time.Duration // that a promise lasts
	GrantDelay time.Duration // longest time until a grant arrives
	MaxRun     time.Duration // longest time that a task runs
}

// covered returns the time after a promise in which its reserve may be in use by
// the primary: until the promise ends, the last grant that it covered arrives
// and the task of that grant ends.
func (t AloneTimes) reserveInUse() time.Duration { return t.Promise + t.GrantDelay + t.MaxRun }

// Wait returns how long a host waits after its last promise before it serves
// alone.
func (t AloneTimes) AloneDelay() time.Duration { return withMargin(t.reserveInUse()) }

// Rest returns how long a host that has just started waits before it promises,
// as tasks that it started alone in an earlier process may still run.
func (t AloneTimes) StartupDelay() time.Duration { return withMargin(t.MaxRun) }

func withMargin(d time.Duration) time.Duration { return d + d/clockMarginDivisor }

// Promises holds which hosts have promised the primary not to serve alone. It
// belongs to one primary; the next one begins without any.
type Promises struct {
	times    AloneTimes
	unusedAt time.Time            // until then no host had ever served alone
	sentAt   map[string]time.Time // of the lease that the newest promise answers, by host
}

// NewPromises returns Promises of which none is given.
func NewPromises(t AloneTimes) *Promises {
	return &Promises{times: t, sentAt: map[string]time.Time{}}
}

// NoneUsed notes that no host has ever served alone.
func (p *Promises) MarkUnused(now time.Time) { p.unusedAt = now }

// Note takes a host's promise in answer to a lease that was sent then.
func (p *Promises) Record(host string, sentAt time.Time) {
	if sentAt.After(p.sentAt[host]) {
		p.sentAt[host] = sentAt
	}
}

// Hold reports whether a host's promise holds, so that the primary may use the
// host's reserve.
func (p *Promises) Valid(host string, now time.Time) bool {
	at, ok := p.sentAt[host]
	return ok && now.Before(at.Add(p.times.Promise))
}

// Unused reports whether no process of the host can have served alone since
// its last promise, so that it needs no Rest.
func (p *Promises) Unused(host string, now time.Time) bool {
	at := p.sentAt[host]
	if p.unusedAt.After(at) {
		at = p.unusedAt
	}
	return !at.IsZero() && now.Before(at.Add(p.times.reserveInUse()))
}

// Alone decides when a host serves alone, and when it may promise not to.
type Alone struct {
	times         AloneTimes
	notBefore     time.Time // before which it serves not alone, zero until it has promised once
	serving       bool
	served        bool      // it has served alone
	reserveFreeAt time.Time // from which its reserve is not in use
}

// NewAlone returns the state of a host that has just started. It serves alone
// only after it has promised once: before, it knows no fence that backend
// servers accept.
func NewAlone(t AloneTimes, now time.Time) Alone {
	return Alone{times: t, reserveFreeAt: now.Add(t.StartupDelay())}
}

// Serving tells whether the host serves alone.
func (a *Alone) Serving() bool { return a.serving }

// Used tells whether the host has served alone since its start.
func (a *Alone) HasServed() bool { return a.served }

// Begin reports whether the host, which has no lease, begins to serve alone now.
func (a *Alone) TryStart(now time.Time) bool {
	if a.serving || a.notBefore.IsZero() || now.Before(a.notBefore) {
		return false
	}
	a.serving = true
	a.served = true
	return true
}

// Leased takes a lease of the primary while running tasks are on the host's
// reserve; unused tells that the primary knows it unused by earlier processes. It
// ends serving alone and reports whether the host promises not to serve alone:
// its reserve, starts of the last second included, is not in use.
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

// startsWindow is the time over which StartsPerSecond counts.
const startsWindow = time.Second
