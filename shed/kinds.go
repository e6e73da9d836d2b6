package shed

import "time"

const (
	// MinShare is the share of its latest jobs that each kind is guaranteed. The largest
	// burst on top of the periodic variation is three times the mean load. If the servers can
	// do no more than the mean, the guarantees take three quarters of them then, and the rest
	// is given by value.
	MinShare = 0.25

	// largeShare is the guaranteed share of the largest tenth of a kind, relative to that of
	// the kind: half, plus a reserve for the jobs that end late for other reasons.
	largeShare = 0.6

	// countWindow and largeWindow are the numbers of jobs over which shares are taken. They
	// count jobs, not time, so that the shares of a rare kind hold too.
	countWindow = 32
	largeWindow = 16

	largeQuantile = 0.9  // of the sizes of a kind, above which a job belongs to its largest tenth
	quantileGain  = 0.05 // by which the estimate of this quantile follows the sizes

	maxKinds = 16384 // more than a configuration has routes
)

// kind holds the counts of one kind of job. They decay with each offered job.
type kind struct {
	offered, refused           float64
	largeOffered, largeRefused float64
	taken, largeTaken          float64 // out of the queue by the present plan
	large                      float64 // estimate of the size above which a job is large
}

// Decider holds what the decisions about the jobs of one service have in common.
type Decider struct {
	kinds    map[string]*kind
	nextFree time.Time // until when the capacity is promised to refused callers
}

// NewDecider returns a Decider without any counts.
func NewDecider() *Decider {
	return &Decider{kinds: map[string]*kind{}}
}

func (d *Decider) kind(name string) *kind {
	k, ok := d.kinds[name]
	if !ok {
		if len(d.kinds) >= maxKinds {
			clear(d.kinds) // names that are no longer configured; the shares are learned again
		}
		k = &kind{}
		d.kinds[name] = k
	}
	return k
}

// commit counts the jobs that a plan takes out of the queue when it first does, as they stay
// in it for a while. One that gets its place back no longer counts.
func (d *Decider) commit(queue []Entry) {
	for i := range queue {
		switch e := &queue[i]; {
		case e.Late:
		case e.Verdict != Keep && !e.Yielded:
			d.kind(e.Kind).count(e.Large, 1)
		case e.Verdict == Keep && e.Yielded:
			d.kind(e.Kind).count(e.Large, -1)
		}
	}
}

// Offered counts a job that arrives, and reports whether it belongs to the largest tenth of
// its kind. Of the latest jobs of a kind at least MinShare aren't taken out of the queue
// while another kind has more than that, and of its largest tenth at least largeShare times
// the share of the kind.
func (d *Decider) Offered(name string, size float64) (large bool) {
	k := d.kind(name)
	k.offered += 1 - k.offered/countWindow
	k.refused -= k.refused / countWindow
	large = k.large > 0 && size > k.large
	switch {
	case k.large == 0:
		k.large = size
	case large:
		k.large *= 1 + quantileGain*largeQuantile
	default:
		k.large *= 1 - quantileGain*(1-largeQuantile)
	}
	if large {
		k.largeOffered += 1 - k.largeOffered/largeWindow
		k.largeRefused -= k.largeRefused / largeWindow
	}
	return large
}

// Kept no longer counts a job that a plan took out of the queue and that has its place back without a plan.
func (d *Decider) Kept(name string, large bool) {
	d.kind(name).count(large, -1)
}

// Refused counts a job that ends as refused and that no plan took out of the queue.
func (d *Decider) Refused(name string, large bool) {
	d.kind(name).count(large, 1)
}

// count adds n refused jobs.
func (k *kind) count(large bool, n float64) {
	k.refused = max(k.refused+n, 0)
	if large {
		k.largeRefused = max(k.largeRefused+n, 0)
	}
}

// take takes a job of the kind out of the present plan. It returns false if that would
// break a guarantee.
func (k *kind) take(large bool) bool {
	gone := k.refused + k.taken + 1
	// The first jobs of a kind may be taken, since it counts as having had one before.
	if gone > (1-MinShare)*(k.offered+1) {
		return false
	}
	if large {
		served := 1 - gone/(k.offered+1)
		if 1-(k.largeRefused+k.largeTaken+1)/(k.largeOffered+1) < largeShare*served {
			return false
		}
		k.largeTaken++
	}
	k.taken++
	return true
}
