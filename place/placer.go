package place

import "time"

// Placer decides the placement of tasks in one data centre. It has a single
// owner and is not safe for concurrent use.
type Placer struct {
	cfg           config
	customers     map[string]*customer
	services      map[string]*service
	servers       map[string]*server
	jobs          map[string]*job
	hosts         map[hostKey]*hostState
	grants        map[uint64]*grantRecord
	freeRecords   []*grantRecord
	timers        timerQueue
	dirty         []*service
	virtualTime   float64 // of fair queueing between services
	jobSeq        uint64
	serverSeq     int
	nextGrant     uint64
	purgedAt      time.Time
	shares        map[string]Share
	waitsForHosts bool            // recovery ends early once all pending hosts have reported
	pendingHosts  map[string]bool // entry hosts that have not reported their grants
	out           Output
	drained       Output // returned by the latest Drain; its slices are reused
}

// New returns a Placer without backend servers, customers or jobs.
func New(opts ...Option) *Placer {
	cfg := defaults()
	for _, opt := range opts {
		opt(&cfg)
	}
	return &Placer{
		cfg:           cfg,
		customers:     map[string]*customer{},
		services:      map[string]*service{},
		servers:       map[string]*server{},
		jobs:          map[string]*job{},
		hosts:         map[hostKey]*hostState{},
		grants:        map[uint64]*grantRecord{},
		timers:        newTimerQueue(),
		nextGrant:     cfg.firstGrant,
		waitsForHosts: len(cfg.pendingHosts) > 0,
		pendingHosts:  cfg.pendingHosts,
	}
}

// Ready reports whether the placer may grant slots: after a change of primary, either all
// pending entry hosts have reported their outstanding grants or the recovery time is over.
func (p *Placer) Ready(now time.Time) bool {
	if !now.Before(p.cfg.recoverUntil) {
		return true
	}
	return p.waitsForHosts && len(p.pendingHosts) == 0
}

// Tick processes everything that is due: leases, deadlines, probes, quotas and
// the release of orphaned grants.
func (p *Placer) Tick(now time.Time) {
	p.timers.fireDue(now)
	p.dispatch(now)
}

// NextWake returns the time at which Tick must be called next, or zero for never.
func (p *Placer) NextWake(now time.Time) time.Time {
	next := p.timers.next()
	if !p.Ready(now) && (next.IsZero() || p.cfg.recoverUntil.Before(next)) {
		return p.cfg.recoverUntil
	}
	return next
}

// Drain returns the results of the inputs since the last call. The slices are
// valid until the next call.
func (p *Placer) Drain() Output {
	out := p.out
	p.out = Output{
		Grants:   p.drained.Grants[:0],
		Refusals: p.drained.Refusals[:0],
		Events:   p.drained.Events[:0],
	}
	p.drained = out
	return out
}

func (p *Placer) event(e Event) {
	p.out.Events = append(p.out.Events, e)
}
