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
	// RenewInterval is the time between a host's renewals. A placer is missed
	// after four of them.
	RenewInterval = 200 * time.Millisecond

	// PlacerSilence is the time after which a placer is superseded: one lost
	// message and a late one are borne.
	PlacerTimeout = 4 * RenewInterval

	suspectTimeout = 3 * RenewInterval / 2   // the same for one that another host of its data centre can't reach
	observeTime    = 11 * RenewInterval / 10 // in which a new leader only listens, so that every host has renewed
	hostRetention  = 20 * PlacerTimeout      // after which a silent host is no longer listed
	suspicionTime  = 2 * RenewInterval       // how long a suspicion counts
	proposalRetry  = 500 * time.Millisecond  // after which a placement that wasn't committed is proposed again
)

// Watch is the leader's view of the entry hosts. It starts empty with each lead.
type Watch struct {
	since       time.Time
	hosts       map[string]*hostState
	suspectedAt map[string]time.Time // when another host of its data centre couldn't reach a host
	proposedAt  map[string]time.Time // by data centre
	lastRenewal map[string]time.Time // latest renewal, by data centre
	returnedAt  map[string]time.Time // when a data centre was heard of again, of which no host was for a while
}

type hostState struct {
	processes model.Processes
	renewal   msgs.HostRenew
	renewedAt time.Time
}

// NewWatch returns the view of a host that leads since now.
func NewWatch(now time.Time) *Watch {
	return &Watch{
		since: now, hosts: map[string]*hostState{}, suspectedAt: map[string]time.Time{}, proposedAt: map[string]time.Time{},
		lastRenewal: map[string]time.Time{}, returnedAt: map[string]time.Time{},
	}
}

// Renew notes that a host lives. A renewal of a former process comes late.
func (w *Watch) Renew(m msgs.HostRenew, now time.Time) {
	h, ok := w.hosts[m.Host]
	if !ok {
		h = &hostState{}
		w.hosts[m.Host] = h
	}
	if !h.processes.Hear(m.Incarnation) {
		return
	}
	h.renewal, h.renewedAt = m, now
	if now.Sub(w.lastRenewal[m.DataCentre]) > PlacerTimeout {
		w.returnedAt[m.DataCentre] = now
	}
	w.lastRenewal[m.DataCentre] = now
	if s, ok := w.hosts[m.Suspect]; m.Suspect != "" && (!ok || s.renewal.DataCentre == m.DataCentre) {
		w.suspectedAt[m.Suspect] = now
	}
}

// Hosts returns the names of the hosts that renewed lately, sorted.
func (w *Watch) Hosts() []string {
	return slices.Sorted(maps.Keys(w.hosts))
}

// Renewal returns the last renewal of a host.
func (w *Watch) Renewal(host string) (msgs.HostRenew, bool) {
	h, ok := w.hosts[host]
	if !ok {
		return msgs.HostRenew{}, false
	}
	return h.renewal, true
}

// Seen is a host as the leader sees it.
type HostInfo struct {
	Host       string
	DataCentre string
	Routes     uint64        // version in force on it
	Age        time.Duration // since its last renewal
	Leaving    bool
}

// Seen returns the hosts that renewed lately, sorted by name.
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

// Decide returns the placements that have to change. Each is returned again
// only after a while, so that one that was not committed is repeated.
func (w *Watch) Decide(current []model.Placement, now time.Time) []model.Placement {
	w.evict(now)
	if now.Sub(w.since) < observeTime {
		return nil
	}
	placed := map[string]model.Placement{}
	for _, p := range current {
		placed[p.DataCentre] = p
	}
	var changes []model.Placement
	for _, dc := range w.dataCentres() {
		if w.placerUsable(placed[dc], now) || now.Sub(w.proposedAt[dc]) < proposalRetry {
			continue
		}
		best := w.bestHost(dc, placed[dc].Epoch, now)
		if best == nil {
			continue
		}
		w.proposedAt[dc] = now
		changes = append(changes, model.Placement{DataCentre: dc, Host: best.renewal.Host, Incarnation: best.renewal.Incarnation})
	}
	return changes
}

// fit tells whether a placer may go on. One that has not come to this leader yet
// may still follow the one before. Nobody in a data centre that is cut off can
// renew, so its placer may be on its way when the first host there comes back.
func (w *Watch) placerUsable(p model.Placement, now time.Time) bool {
	seen := w.since
	if h, ok := w.hosts[p.Host]; ok {
		if h.renewal.Incarnation != p.Incarnation || h.renewal.Leaving {
			return false
		}
		seen = h.renewedAt
	}
	if back := w.returnedAt[p.DataCentre]; back.After(seen) {
		seen = back
	}
	silent := now.Sub(seen)
	if now.Sub(w.suspectedAt[p.Host]) < suspicionTime && silent > suspectTimeout {
		return false
	}
	return silent <= PlacerTimeout
}

// best returns the host of a data centre that places best, of those that renewed
// within the last interval or so: one that has the table of backend servers of the
// epoch before goes first, as it can take over at once, the newest version before the
// others, then the most processor time.
func (w *Watch) bestHost(dc string, before uint64, now time.Time) *hostState {
	var best *hostState
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		h := w.hosts[name]
		if h.renewal.DataCentre != dc || h.renewal.Leaving || now.Sub(h.renewedAt) > suspectTimeout {
			continue
		}
		if best == nil || h.betterThan(best, before) {
			best = h
		}
	}
	return best
}

// tableOf ranks the versions of the table of an epoch, 0 for a host without it.
func (h *hostState) tableRank(epoch uint64) uint64 {
	if h.renewal.Epoch != epoch {
		return 0
	}
	return h.renewal.Servers + 1
}

func (h *hostState) betterThan(than *hostState, before uint64) bool {
	if has := h.tableRank(before); has != than.tableRank(before) {
		return has > than.tableRank(before)
	}
	return h.renewal.Capacity > than.renewal.Capacity
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
	maps.DeleteFunc(w.suspectedAt, func(_ string, at time.Time) bool { return now.Sub(at) > suspicionTime })
}
