package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	// RenewInterval is the time between a host's renewals. A placer times out after four of them.
	RenewInterval = 200 * time.Millisecond

	// PlacerTimeout is the silence after which a placer is replaced. It tolerates one lost renewal
	// and a late one.
	PlacerTimeout = 4 * RenewInterval

	suspectTimeout = 3 * RenewInterval / 2   // timeout of a placer that another host of its data centre can't reach
	observeTime    = 11 * RenewInterval / 10 // a new leader waits until every host has renewed
	hostRetention  = 20 * PlacerTimeout      // silence after which a host is removed
	suspicionTime  = 2 * RenewInterval       // validity of a suspicion
	proposalRetry  = 500 * time.Millisecond  // after which an uncommitted placement is proposed again
)

// SmallDataCentre is the number of entry hosts up to which all hosts of a data centre pulse its placers each 200 ms and
// keep the tables of all shards.
const SmallDataCentre = 30

// SmallPlacers is the number of placers that a system of 30 hosts usually has at most: a data centre has at most a third
// as many shards as entry hosts. Systems of more placers send fewer of the messages whose number grows with it. Smaller
// systems can have more placers: a data centre of one or two hosts has one too, and one that lost hosts keeps its shards.
const SmallPlacers = 10

// Watch is the leader's view of the entry hosts. Each new leader starts with an empty one.
type Watch struct {
	since       time.Time
	hosts       map[string]*hostState
	suspectedAt map[string]time.Time        // by host, last report of its data centre that it is unreachable
	proposals   map[model.ShardKey]proposal // last proposal of a placement
	divisions   map[string]*division        // by data centre
	sizes       map[string]int              // by data centre, number of hosts at the latest eviction
	lastRenewal map[string]time.Time        // by data centre, latest renewal of any host
	returnedAt  map[string]time.Time        // by data centre, first renewal after PlacerTimeout without any
}

// proposal is a placement that was proposed.
type proposal struct {
	at   time.Time
	host string
}

type hostState struct {
	processes model.Processes
	renewal   msgs.HostRenew
	renewedAt time.Time
}

// NewWatch returns the view of a host that becomes the leader now.
func NewWatch(now time.Time) *Watch {
	return &Watch{
		since: now, hosts: map[string]*hostState{}, suspectedAt: map[string]time.Time{}, proposals: map[model.ShardKey]proposal{},
		divisions: map[string]*division{}, lastRenewal: map[string]time.Time{}, returnedAt: map[string]time.Time{},
	}
}

// Renew records a renewal. It ignores late renewals of a previous process of the host.
func (w *Watch) Renew(m msgs.HostRenew, now time.Time) {
	h, ok := w.hosts[m.Host]
	if !ok {
		h = &hostState{}
		w.hosts[m.Host] = h
		w.noteHost(m.DataCentre, now)
	}
	if !h.processes.Observe(m.Incarnation) {
		return
	}
	h.renewal, h.renewedAt = m, now
	if now.Sub(w.lastRenewal[m.DataCentre]) > PlacerTimeout {
		w.returnedAt[m.DataCentre] = now
	}
	w.lastRenewal[m.DataCentre] = now
	for _, name := range append([]string{m.Suspect}, m.Suspects...) {
		if s, ok := w.hosts[name]; name != "" && (!ok || s.renewal.DataCentre == m.DataCentre) {
			w.suspectedAt[name] = now
		}
	}
}

// Hosts returns the sorted names of the hosts that renewed within the retention time.
func (w *Watch) Hosts() []string {
	return slices.Sorted(maps.Keys(w.hosts))
}

// Renewal returns the last renewal of a host, and false if the host is unknown.
func (w *Watch) Renewal(host string) (msgs.HostRenew, bool) {
	h, ok := w.hosts[host]
	if !ok {
		return msgs.HostRenew{}, false
	}
	return h.renewal, true
}

// Large reports whether the data centre of a host has more than SmallDataCentre entry hosts.
func (w *Watch) Large(host string) bool {
	h, ok := w.hosts[host]
	return ok && w.sizes[h.renewal.DataCentre] > SmallDataCentre
}

// HostInfo is the state of a host as the leader knows it.
type HostInfo struct {
	Host       string
	DataCentre string
	Routes     uint64        // version that it uses
	Age        time.Duration // since its last renewal
	Leaving    bool
}

// HostInfos returns the state of the hosts that renewed within the retention time, sorted by name.
func (w *Watch) HostInfos(now time.Time) []HostInfo {
	var list []HostInfo
	for _, name := range w.Hosts() {
		h := w.hosts[name]
		list = append(list, HostInfo{
			Host: name, DataCentre: h.renewal.DataCentre, Routes: h.renewal.Routes, Age: now.Sub(h.renewedAt), Leaving: h.renewal.Leaving,
		})
	}
	return list
}

// Decide returns the placements to propose. A placement that isn't committed is returned again after
// proposalRetry.
func (w *Watch) Decide(current []model.Placement, now time.Time) []model.Placement {
	w.evict(now)
	if now.Sub(w.since) < observeTime {
		return nil
	}
	placed := map[model.ShardKey]model.Placement{}
	for _, p := range current {
		placed[p.Key()] = p
	}
	var changes []model.Placement
	for _, dc := range w.dataCentres() {
		if w.mayPlace(dc) {
			changes = append(changes, w.decideShards(dc, placed, now)...)
		}
	}
	return changes
}

// decideShards returns the placements to propose for the shards of a data centre. A host places for at
// most one shard; a shard for which no host is left waits.
func (w *Watch) decideShards(dc string, placed map[model.ShardKey]model.Placement, now time.Time) []model.Placement {
	count := w.shardsOf(dc, placed)
	taken := map[string]bool{} // hosts that place for a shard or are proposed for one
	var free []model.ShardKey
	for shard := range count {
		key := model.ShardKey{DataCentre: dc, Shard: shard}
		p, proposed := placed[key], w.proposals[key]
		switch {
		case w.placerUsable(p, now) && !superseded(p, placed):
			taken[p.Host] = true
		case now.Sub(proposed.at) < proposalRetry:
			taken[proposed.host] = true
		default:
			free = append(free, key)
		}
	}
	var changes []model.Placement
	for _, key := range free {
		best := w.bestHost(placed[key], key, taken, now)
		if best == nil {
			continue
		}
		host := best.renewal.Host
		taken[host] = true
		w.proposals[key] = proposal{at: now, host: host}
		p := model.Placement{DataCentre: dc, Host: host, Incarnation: best.renewal.Incarnation, Shard: key.Shard}
		if count > 1 {
			p.Shards = count
		}
		changes = append(changes, p)
	}
	return changes
}

// superseded reports whether the placer's host has a newer placement for another shard. The host
// places under the newer one only.
func superseded(p model.Placement, placed map[model.ShardKey]model.Placement) bool {
	for _, other := range placed {
		if other.Host == p.Host && other.DataCentre == p.DataCentre && other.Epoch > p.Epoch {
			return true
		}
	}
	return false
}

// placerUsable reports whether a placer may stay. One that has not renewed at this leader yet may still
// renew at the previous one, so its silence counts from the start of this leader. While a data centre
// is partitioned none of its hosts can renew, so the silence counts from the first renewal afterwards:
// that of the placer may be on its way.
func (w *Watch) placerUsable(p model.Placement, now time.Time) bool {
	lastSeen := w.since
	if h, ok := w.hosts[p.Host]; ok {
		if h.renewal.Incarnation != p.Incarnation || h.renewal.Leaving {
			return false
		}
		lastSeen = h.renewedAt
	}
	if returned := w.returnedAt[p.DataCentre]; returned.After(lastSeen) {
		lastSeen = returned
	}
	silent := now.Sub(lastSeen)
	if now.Sub(w.suspectedAt[p.Host]) < suspicionTime && silent > suspectTimeout {
		return false
	}
	return silent <= PlacerTimeout
}

// bestHost returns the best placer of a shard among the hosts of its data centre that renewed within
// suspectTimeout and aren't taken, nil if there is none. Hosts with the server table of the previous
// placement's epoch come first, newest version first, because they can take over immediately; then the
// most processor time counts, in a large data centre after the newest table of another epoch. With several shards, the host of the previous placement comes last: it
// was lost or is placed for another shard.
func (w *Watch) bestHost(previous model.Placement, key model.ShardKey, taken map[string]bool, now time.Time) *hostState {
	var best *hostState
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		h := w.hosts[name]
		if h.renewal.DataCentre != key.DataCentre || h.renewal.Leaving || taken[name] || now.Sub(h.renewedAt) > suspectTimeout {
			continue
		}
		switch {
		case best == nil, previous.Count() > 1 && best.renewal.Host == previous.Host:
			best = h
		case previous.Count() > 1 && name == previous.Host:
		case h.betterThan(best, key.Shard, previous.Epoch, w.sizes[key.DataCentre] > SmallDataCentre):
			best = h
		}
	}
	return best
}

// tableRank returns the rank of a host's server table of a shard and epoch: higher for newer versions,
// 0 for a host without that table.
func (h *hostState) tableRank(shard int, epoch uint64) uint64 {
	t := h.renewal.TableOf(shard)
	if t.Epoch != epoch {
		return 0
	}
	return t.Servers + 1
}

// betterThan reports whether a host is preferred to another one. If neither has the table of the previous epoch, the
// previous placer was lost before it had sent its table. In a large data centre few hosts have that of an earlier one.
func (h *hostState) betterThan(other *hostState, shard int, previous uint64, large bool) bool {
	if rank := h.tableRank(shard, previous); rank != other.tableRank(shard, previous) {
		return rank > other.tableRank(shard, previous)
	}
	if a, b := h.renewal.TableOf(shard), other.renewal.TableOf(shard); large && (a.Epoch != b.Epoch || a.Servers != b.Servers) {
		return a.Epoch > b.Epoch || a.Epoch == b.Epoch && a.Servers > b.Servers
	}
	return h.renewal.Capacity > other.renewal.Capacity
}

func (w *Watch) dataCentres() []string {
	names := map[string]bool{}
	for _, h := range w.hosts {
		names[h.renewal.DataCentre] = true
	}
	return slices.SortedFunc(maps.Keys(names), cmp.Compare[string])
}

func (w *Watch) evict(now time.Time) {
	maps.DeleteFunc(w.hosts, func(_ string, h *hostState) bool { return now.Sub(h.renewedAt) > hostRetention })
	w.sizes = map[string]int{}
	for _, h := range w.hosts {
		w.sizes[h.renewal.DataCentre]++
	}
	maps.DeleteFunc(w.suspectedAt, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionTime })
}
