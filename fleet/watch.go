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
	PlacerSilence = 4 * RenewInterval

	suspectSilence = 3 * RenewInterval / 2   // the same for one that another host of its data centre can't reach
	settleTime     = 11 * RenewInterval / 10 // in which a new leader only listens, so that every host has renewed
	forgetAfter    = 20 * PlacerSilence      // after which a silent host is no longer listed
	suspectFor     = 2 * RenewInterval       // how long a suspicion counts
	placeRetry     = 500 * time.Millisecond  // after which a placement that wasn't committed is proposed again
)

// Watch is the leader's view of the entry hosts. It starts empty with each lead.
type Watch struct {
	since    time.Time
	hosts    map[string]*watched
	suspects map[string]time.Time // when another host of its data centre couldn't reach a host
	proposed map[string]time.Time // by data centre
	heard    map[string]time.Time // latest renewal, by data centre
	back     map[string]time.Time // when a data centre was heard of again, of which no host was for a while
}

type watched struct {
	processes model.Processes
	renew     msgs.HostRenew
	seen      time.Time
}

// NewWatch returns the view of a host that leads since now.
func NewWatch(now time.Time) *Watch {
	return &Watch{
		since: now, hosts: map[string]*watched{}, suspects: map[string]time.Time{}, proposed: map[string]time.Time{},
		heard: map[string]time.Time{}, back: map[string]time.Time{},
	}
}

// Renew notes that a host lives. A renewal of a former process comes late.
func (w *Watch) Renew(m msgs.HostRenew, now time.Time) {
	h, ok := w.hosts[m.Host]
	if !ok {
		h = &watched{}
		w.hosts[m.Host] = h
	}
	if !h.processes.Observe(m.Incarnation) {
		return
	}
	h.renew, h.seen = m, now
	if now.Sub(w.heard[m.DataCentre]) > PlacerSilence {
		w.back[m.DataCentre] = now
	}
	w.heard[m.DataCentre] = now
	if s, ok := w.hosts[m.Suspect]; m.Suspect != "" && (!ok || s.renew.DataCentre == m.DataCentre) {
		w.suspects[m.Suspect] = now
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
	return h.renew, true
}

// Seen is a host as the leader sees it.
type Seen struct {
	Host       string
	DataCentre string
	Routes     uint64        // version in force on it
	Age        time.Duration // since its last renewal
	Leaving    bool
}

// Seen returns the hosts that renewed lately, sorted by name.
func (w *Watch) Seen(now time.Time) []Seen {
	var list []Seen
	for _, name := range w.Hosts() {
		h := w.hosts[name]
		list = append(list, Seen{
			Host: name, DataCentre: h.renew.DataCentre, Routes: h.renew.Routes, Age: now.Sub(h.seen), Leaving: h.renew.Leaving,
		})
	}
	return list
}

// Decide returns the placements that have to change. Each is returned again
// only after a while, so that one that was not committed is repeated.
func (w *Watch) Decide(current []model.Placement, now time.Time) []model.Placement {
	w.forget(now)
	if now.Sub(w.since) < settleTime {
		return nil
	}
	placed := map[string]model.Placement{}
	for _, p := range current {
		placed[p.DataCentre] = p
	}
	var changes []model.Placement
	for _, dc := range w.dataCentres() {
		if w.fit(placed[dc], now) || now.Sub(w.proposed[dc]) < placeRetry {
			continue
		}
		best := w.best(dc, placed[dc].Epoch, now)
		if best == nil {
			continue
		}
		w.proposed[dc] = now
		changes = append(changes, model.Placement{DataCentre: dc, Host: best.renew.Host, Incarnation: best.renew.Incarnation})
	}
	return changes
}

// fit tells whether a placer may go on. One that has not come to this leader yet
// may still follow the one before. Nobody in a data centre that is cut off can
// renew, so its placer may be on its way when the first host there comes back.
func (w *Watch) fit(p model.Placement, now time.Time) bool {
	seen := w.since
	if h, ok := w.hosts[p.Host]; ok {
		if h.renew.Incarnation != p.Incarnation || h.renew.Leaving {
			return false
		}
		seen = h.seen
	}
	if back := w.back[p.DataCentre]; back.After(seen) {
		seen = back
	}
	silent := now.Sub(seen)
	if now.Sub(w.suspects[p.Host]) < suspectFor && silent > suspectSilence {
		return false
	}
	return silent <= PlacerSilence
}

// best returns the host of a data centre that places best, of those that renewed
// within the last interval or so: one that has the table of backend servers of the
// epoch before goes first, as it can take over at once, the newest version before the
// others, then the most processor time.
func (w *Watch) best(dc string, before uint64, now time.Time) *watched {
	var best *watched
	for _, name := range slices.Sorted(maps.Keys(w.hosts)) {
		h := w.hosts[name]
		if h.renew.DataCentre != dc || h.renew.Leaving || now.Sub(h.seen) > suspectSilence {
			continue
		}
		if best == nil || h.placesBetter(best, before) {
			best = h
		}
	}
	return best
}

// tableOf ranks the versions of the table of an epoch, 0 for a host without it.
func (h *watched) tableOf(epoch uint64) uint64 {
	if h.renew.Epoch != epoch {
		return 0
	}
	return h.renew.Servers + 1
}

func (h *watched) placesBetter(than *watched, before uint64) bool {
	if has := h.tableOf(before); has != than.tableOf(before) {
		return has > than.tableOf(before)
	}
	return h.renew.Capacity > than.renew.Capacity
}

func (w *Watch) dataCentres() []string {
	names := map[string]bool{}
	for _, h := range w.hosts {
		names[h.renew.DataCentre] = true
	}
	return slices.SortedFunc(maps.Keys(names), cmp.Compare[string])
}

func (w *Watch) forget(now time.Time) {
	maps.DeleteFunc(w.hosts, func(_ string, h *watched) bool { return now.Sub(h.seen) > forgetAfter })
	maps.DeleteFunc(w.suspects, func(_ string, at time.Time) bool { return now.Sub(at) > suspectFor })
}
