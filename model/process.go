package model

import "slices"

// maxFormer is the number of former processes of a host that are remembered: one
// that restarts each second draws as many in several times the life of a message.
const maxPrevious = 16

// Processes are the processes of a host that were heard of, by their incarnations.
// Messages of a former one may come late. Incarnations aren't ordered, so a process
// that is heard of for the first time is taken for the next one.
type Processes struct {
	Current  uint64 // 0 before the first
	Previous []uint64
}

// Hear notes a message of a process. It returns false for one of a former process.
func (p *Processes) Observe(incarnation uint64) bool {
	if slices.Contains(p.Previous, incarnation) {
		return false
	}
	p.SetCurrent(incarnation)
	return true
}

// Begin makes a process the present one.
func (p *Processes) SetCurrent(incarnation uint64) {
	if p.Current == incarnation {
		return
	}
	p.Previous = slices.DeleteFunc(p.Previous, func(previous uint64) bool { return previous == incarnation })
	if p.Current != 0 {
		p.Previous = append(p.Previous, p.Current)
	}
	p.Previous = p.Previous[max(0, len(p.Previous)-maxPrevious):]
	p.Current = incarnation
}
