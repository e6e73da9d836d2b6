package runs

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	pulseInterval = 200 * time.Millisecond
	askAfter      = 200 * time.Millisecond  // without word of a host, until it is asked for a pulse
	askSpacing    = 50 * time.Millisecond   // between two questions
	hostTimeout   = 900 * time.Millisecond  // after which a placer takes an entry host for lost
	resendTime    = 1300 * time.Millisecond // from a broken connection until the caller sends its job again
	maxLinkOutage = 1500 * time.Millisecond // most for which a link repeats what it carries
)

// simHost is an entry host. It hands jobs to a placer over a link that repeats
// what gets lost, and tells that it waits by pulses, which are sent once.
type simHost struct {
	w         *world
	name      string
	placer    *simPlacer
	lost      bool
	open      map[string]Job
	handedTo  map[string]*simPlacer // that a job was handed to last
	lastHand  uint64
	withdrawn map[string]uint64        // hand-over by job
	stamps    map[*simPlacer]time.Time // latest that a placer told
	linkFree  map[*simPlacer]time.Time // when the link has delivered what it carries
}

func (w *world) newHost(name string, placer *simPlacer) *simHost {
	h := &simHost{
		w: w, name: name, placer: placer, open: map[string]Job{}, handedTo: map[string]*simPlacer{}, withdrawn: map[string]uint64{},
		stamps: map[*simPlacer]time.Time{}, linkFree: map[*simPlacer]time.Time{},
	}
	w.hosts[name] = h
	h.pulses()
	return h
}

// send delivers in order, late while the link is cut. What a lost host has sent
// may still arrive.
func (h *simHost) send(do func(sp *simPlacer)) {
	sp, at := h.placer, h.w.now.Add(h.w.delay())
	if h.w.chance(h.w.faults.lost) {
		at = at.Add(time.Duration(h.w.rng.IntN(int(maxLinkOutage))))
	}
	if at.Before(h.linkFree[sp]) {
		at = h.linkFree[sp]
	}
	h.linkFree[sp] = at
	h.w.after(at.Sub(h.w.now), func() { sp.do(func() { do(sp) }) })
}

func (h *simHost) submit(j Job) {
	h.lastHand++
	j.Host, j.Hand = h.name, h.lastHand
	h.open[j.ID], h.handedTo[j.ID] = j, h.placer
	delete(h.withdrawn, j.ID)
	sent := h.w.now
	h.send(func(sp *simPlacer) {
		arrived := h.w.now
		j.Arrived = j.Arrived.Add(arrived.Sub(sent)) // only its age at sending is told
		sp.noteHost(h.name)
		sp.p.Submit(j, arrived)
		if j.Hand == 1 {
			h.pulse(sp)
		}
	})
}

func (h *simHost) withdraw(id string) {
	j, ok := h.open[id]
	if !ok {
		return
	}
	delete(h.open, id)
	h.withdrawn[id] = j.Hand
	h.send(func(sp *simPlacer) { sp.p.Withdraw(id, h.name, j.Hand, h.w.now) })
}

// ends takes a placer's word on a job. It returns false for one on an earlier
// hand-over, which counts only when the job is complete.
func (h *simHost) ends(sp *simPlacer, e End) bool {
	if latest := h.handedTo[e.Job] == sp && h.open[e.Job].Hand == e.Hand; !latest && e.State != model.JobEndComplete {
		return false
	}
	delete(h.open, e.Job)
	return true
}

// follow hands the open jobs to the next placer.
func (h *simHost) switchTo(sp *simPlacer) {
	if h.lost {
		return
	}
	h.placer = sp
	for _, id := range slices.Sorted(maps.Keys(h.open)) {
		j := h.open[id]
		j.Again = true
		h.submit(j)
	}
	h.pulse(sp)
}

func (h *simHost) pulses() {
	if h.lost {
		return
	}
	h.pulse(h.placer)
	h.w.after(pulseInterval, h.pulses)
}

// oldest returns the earliest hand-over to a placer that the host waits for.
func (h *simHost) oldest(sp *simPlacer) uint64 {
	least := h.lastHand + 1
	for id, j := range h.open {
		if h.handedTo[id] == sp {
			least = min(least, j.Hand)
		}
	}
	return least
}

// pulse tells a placer what is withdrawn, and returns the latest stamp that it
// told. A placer that hasn't told any is answered at once.
func (h *simHost) pulse(sp *simPlacer) {
	if h.lost || h.w.chance(h.w.faults.lost) {
		return
	}
	stamp, withdrawn, oldest := h.stamps[sp], maps.Clone(h.withdrawn), h.oldest(sp)
	h.w.after(h.w.delay(), func() {
		sp.do(func() {
			now := h.w.now
			sp.noteHost(h.name)
			sp.p.WithdrawBefore(h.name, oldest, now)
			for _, id := range slices.Sorted(maps.Keys(withdrawn)) {
				sp.p.Withdraw(id, h.name, withdrawn[id], now)
			}
			if !stamp.IsZero() {
				sp.waited[h.name] = stamp
				sp.p.ConfirmWait(h.name, stamp)
			}
			h.w.after(h.w.delay(), func() {
				h.stamps[sp] = now
				if stamp.IsZero() {
					h.pulse(sp)
				}
			})
		})
	})
}

func (sp *simPlacer) noteHost(host string) {
	if _, ok := sp.waited[host]; !ok {
		sp.waited[host] = sp.w.now
	}
}

// askHosts asks those for a pulse that weren't heard of lately.
func (sp *simPlacer) askHosts() {
	now := sp.w.now
	for _, name := range slices.Sorted(maps.Keys(sp.waited)) {
		if now.Sub(sp.waited[name]) <= askAfter || now.Sub(sp.asked[name]) < askSpacing {
			continue
		}
		sp.asked[name] = now
		if h := sp.w.hosts[name]; h.placer == sp && !sp.w.chance(sp.w.faults.lost) {
			sp.w.after(sp.w.delay(), func() {
				h.stamps[sp] = now
				h.pulse(sp)
			})
		}
	}
}

func (sp *simPlacer) loseHosts() {
	for _, name := range slices.Sorted(maps.Keys(sp.waited)) {
		if sp.w.now.Sub(sp.waited[name]) > hostTimeout {
			delete(sp.waited, name)
			sp.p.HostLost(name, 0, sp.w.now)
		}
	}
}

// comeBack breaks the connection of a job's caller, who then sends the job again
// through another host. The first one is lost, or only the caller left it.
func (w *world) resendLater(h *simHost, j Job, placers func() []*simPlacer) {
	w.after(time.Duration(w.rng.IntN(600))*time.Millisecond, func() {
		if _, open := h.open[j.ID]; !open {
			return
		}
		if h.lost = w.chance(0.7); !h.lost {
			h.withdraw(j.ID)
		}
		w.after(resendTime, func() {
			all := placers()
			j := j
			j.Arrived = w.now
			w.newHost(h.name+"-2", all[w.rng.IntN(len(all))]).submit(j)
		})
	})
}
