package place

import "time"

// Default settings.
const (
	DefaultMinOrphanTime      = 10 * time.Second       // minimum time a grant keeps its slot after its entry host or server is lost
	DefaultNoServerTimeout    = 5 * time.Second        // time that tasks wait when no server can run them
	DefaultImpliedDeadline    = 30 * time.Second       // deadline assumed for a job without one, only to order it
	DefaultProbeInterval      = 500 * time.Millisecond // from the first ejection to its probe
	DefaultMaxProbeInterval   = 60 * time.Second       // upper bound of the interval between probes
	DefaultMaxEjectedShare    = 1.0 / 3                // of the servers of a service
	DefaultRetriesPerStart    = 0.2                    // retries that a start adds to the budget
	DefaultInitialRetryBudget = 20                     // retries available before the first start
)

// config holds the settings of a Placer. Tests turn off one of the switches at the end
// to show the effect of its mechanism.
type config struct {
	minOrphanTime      time.Duration
	noServerTimeout    time.Duration
	impliedDeadline    time.Duration
	probeInterval      time.Duration
	maxProbeInterval   time.Duration
	maxEjectedShare    float64
	retriesPerStart    float64
	initialRetryBudget float64
	recoverUntil       time.Time
	pendingHosts       map[string]bool
	firstGrant         uint64

	fair            bool // share slots by fair queueing; off: order of arrival
	eject           bool // eject servers and back off from them
	hold            bool // let tasks wait for faster servers
	learn           bool // learn the speeds of servers
	meanWithinShare bool // judge jobs within the customer's share by the mean run time
}

// Option changes a setting of a Placer.
type Option func(*config)

func defaults() config {
	return config{
		minOrphanTime:      DefaultMinOrphanTime,
		noServerTimeout:    DefaultNoServerTimeout,
		impliedDeadline:    DefaultImpliedDeadline,
		probeInterval:      DefaultProbeInterval,
		maxProbeInterval:   DefaultMaxProbeInterval,
		maxEjectedShare:    DefaultMaxEjectedShare,
		retriesPerStart:    DefaultRetriesPerStart,
		initialRetryBudget: DefaultInitialRetryBudget,
		pendingHosts:       map[string]bool{},
		firstGrant:         1,
		fair:               true,
		eject:              true,
		hold:               true,
		learn:              true,
		meanWithinShare:    true,
	}
}

// ImpliedDeadline sets the deadline that a job without one is assumed to have. It
// affects only the order of jobs.
func ImpliedDeadline(d time.Duration) Option { return func(c *config) { c.impliedDeadline = d } }

// ProbeIntervals sets the first interval between probes and its upper bound.
func ProbeIntervals(first, longest time.Duration) Option {
	return func(c *config) { c.probeInterval, c.maxProbeInterval = first, longest }
}

// RetryBudget sets how many retries each start adds to a customer's budget, and the
// budget of a customer before its first start.
func RetryBudget(perStart, initial float64) Option {
	return func(c *config) { c.retriesPerStart, c.initialRetryBudget = perStart, initial }
}

// RecoverUntil holds back grants until the given time, or until all given entry hosts
// have reported their outstanding grants, whichever is earlier. Without hosts, only
// the time counts.
func RecoverUntil(at time.Time, hosts ...string) Option {
	return func(c *config) {
		c.recoverUntil = at
		for _, h := range hosts {
			c.pendingHosts[h] = true
		}
	}
}

// FirstGrant sets the ID of the first grant, so that the IDs of successive
// primaries differ.
func FirstGrant(id uint64) Option { return func(c *config) { c.firstGrant = id } }
