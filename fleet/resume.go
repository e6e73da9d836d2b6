package fleet

import "time"

// Resume continues the view of a leader whose lease had lapsed and was renewed. Renewals that arrived
// meanwhile may still wait, so the silence of the placers counts from now, as for a new leader. So does the
// time in which hosts are counted to decide a number of shards, which is permanent.
//
// It handles a leader that stands still for longer than its lease now and then, as on a host without
// processor time: with an empty view each time it would know no hosts for a renewal interval.
func (w *Watch) Resume(now time.Time) {
	w.since = now
	for dc := range w.lastRenewal {
		w.returnedAt[dc] = now
	}
	for _, d := range w.divisions {
		if d.count == 0 { // hosts that came meanwhile may not have renewed here yet
			d.firstHost, d.lastHost = now, now
		}
	}
}
