package fleet

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// settleTime is the time without a new host of a data centre after which its hosts are counted:
	// three renewals. All hosts of a system start within a few seconds, and the count never changes.
	settleTime = 3 * RenewInterval

	// maxSettleTime bounds the wait for further hosts of a data centre, in which it has no placer.
	maxSettleTime = 5 * settleTime

	// hostsPerShard is the least number of hosts for each shard, so that the loss of a placer always
	// leaves hosts that can take over.
	hostsPerShard = 3
)

// division is the state of the decision on the number of shards of a data centre.
type division struct {
	firstHost time.Time // first renewal of any host of the data centre
	lastHost  time.Time // first renewal of its latest host
	pending   bool      // the number isn't decided yet
	count     int       // 0 if nothing was decided
}

// noteHost records that a host of a data centre has renewed for the first time.
func (w *Watch) noteHost(dc string, now time.Time) {
	w.division(dc, now).lastHost = now
}

// division returns the state of a data centre, and adds it for a new one.
func (w *Watch) division(dc string, now time.Time) *division {
	d, ok := w.divisions[dc]
	if !ok {
		d = &division{firstHost: now}
		w.divisions[dc] = d
	}
	return d
}

// mayPlace reports whether the number of shards of a data centre is known.
func (w *Watch) mayPlace(dc string) bool {
	d := w.divisions[dc]
	return d == nil || !d.pending
}

// shardsOf returns the number of shards of a data centre. The placements of a data centre hold its
// number; one without a placement has the decided number.
func (w *Watch) shardsOf(dc string, placed map[model.ShardKey]model.Placement) int {
	for _, p := range placed {
		if p.DataCentre == dc {
			return p.Count()
		}
	}
	if d := w.divisions[dc]; d != nil {
		return max(d.count, 1)
	}
	return 1
}

// DecideShards decides the number of shards of the data centres that have neither a number nor a
// placement, and returns the numbers to propose before their placements. Data centres with one shard
// need no number. Capacity is the processor time that placing for a whole data centre needs, in
// thousandths of a core, 0 for a single shard in any case.
//
// It handles a load that needs more processor time for placing than the best host of a data centre
// has: the placer's queue grows while the processors of the other hosts are idle.
func (w *Watch) DecideShards(current []model.Placement, committed []model.ShardCount, capacity int64, now time.Time) []model.ShardCount {
	known := map[string]int{}
	for _, p := range current {
		known[p.DataCentre] = p.Count()
	}
	for _, c := range committed {
		known[c.DataCentre] = c.Shards
	}
	var proposals []model.ShardCount
	for _, dc := range w.dataCentres() {
		d := w.division(dc, now)
		if count, ok := known[dc]; ok {
			d.count, d.pending = count, false
			continue
		}
		if d.count > 0 {
			continue // it is proposed, or needs no proposal
		}
		count, ok := w.countShards(dc, capacity, now)
		d.pending = !ok
		if !ok {
			continue
		}
		d.count = count
		if count > 1 {
			proposals = append(proposals, model.ShardCount{DataCentre: dc, Shards: count})
		}
	}
	return proposals
}

// countShards returns the number of shards for the hosts of a data centre, and false while more hosts
// may come that change it.
func (w *Watch) countShards(dc string, capacity int64, now time.Time) (int, bool) {
	hosts, best := 0, int64(0)
	for _, h := range w.hosts {
		if h.renewal.DataCentre == dc {
			hosts++
			best = max(best, h.renewal.Capacity)
		}
	}
	if best <= 0 || best >= capacity {
		return 1, true
	}
	d := w.division(dc, now)
	if now.Sub(d.lastHost) < settleTime && now.Sub(d.firstHost) < maxSettleTime {
		return 0, false
	}
	needed := int((capacity + best - 1) / best)
	return max(1, min(hosts/hostsPerShard, needed, model.MaxShards)), true
}
