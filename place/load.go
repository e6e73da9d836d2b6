package place

import (
	"maps"
	"slices"
	"time"
)

// Load reports how busy the backend servers of one service are.
type Load struct {
	Service string
	Idle    int           // free slots on servers that aren't ejected
	Wait    time.Duration // estimated time until all waiting tasks have started
}

// Loads returns the load of every service that has slots on servers that aren't ejected,
// sorted by service name.
func (p *Placer) Loads() []Load {
	var list []Load
	for _, name := range slices.Sorted(maps.Keys(p.services)) {
		s := p.services[name]
		slots, rate := s.speeds.slotsUpTo(speedClasses - 1)
		if slots == 0 {
			continue
		}
		l := Load{Service: name, Idle: max(slots-s.running, 0)}
		if rate > 0 {
			l.Wait = time.Duration(float64(s.waiting) * s.run.average / rate * float64(time.Second))
		}
		list = append(list, l)
	}
	return list
}
