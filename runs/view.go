package runs

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Kind summarizes the backend servers of one kind.
type Kind struct {
	Service string
	Name    string
	Servers int
	Usable  int // may get a task now
	Ejected int
	Silent  int
	Runs    int
	Speed   float64 // declared over measured run times, 0 before any was measured
}

// Kinds returns a summary of the backend servers, sorted by service and kind.
func (p *Placer) Kinds(now time.Time) []Kind {
	all := map[kindKey]*Kind{}
	for _, s := range p.order {
		key := kindKey{service: s.Service, kind: s.Kind()}
		k, ok := all[key]
		if !ok {
			k = &Kind{Service: key.service, Name: key.kind}
			if learned := p.speeds.of(s); learned.count > 0 {
				k.Speed = math.Exp(-learned.logMean)
			}
			all[key] = k
		}
		k.Servers++
		k.Runs += len(s.runs)
		k.Usable += boolCount(s.usable(now))
		k.Ejected += boolCount(now.Before(s.health.ejectedUntil))
		k.Silent += boolCount(s.silent)
	}
	var kinds []Kind
	for _, k := range all {
		kinds = append(kinds, *k)
	}
	slices.SortFunc(kinds, func(a, b Kind) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Name, b.Name))
	})
	return kinds
}

// Quiescent reports whether no job waits, all orders are answered and all servers are
// healthy, so that nothing is due within some tens of milliseconds.
func (p *Placer) Quiescent(now time.Time) bool {
	if !p.settled || p.Waiting() > 0 || now.Before(p.unansweredUntil) {
		return false
	}
	for _, s := range p.order {
		if !s.polled || s.silent || s.pollNow || now.Before(s.pausedUntil) || now.Before(s.retryAt) {
			return false
		}
	}
	return true
}

func boolCount(is bool) int {
	if is {
		return 1
	}
	return 0
}
