package model

import "slices"

// maxPrevious is the maximum number of previous processes that are kept per host. A host that
// restarts every second takes several times the lifetime of a message to use up as many incarnations.
const maxPrevious = 16

// Processes tracks the processes of a host by their incarnations, to recognize late messages of
// previous processes. Incarnations are not ordered, so an unknown incarnation is taken to be the
// next process.
type Processes struct {
	Current  uint64 // 0 before the first process
	Previous []uint64
}

// Observe records a message of a process. It returns false if the message is from a previous process.
func (p *Processes) Observe(incarnation uint64) bool {
	if slices.Contains(p.Previous, incarnation) {
		return false
	}
	p.SetCurrent(incarnation)
	return true
}

// SetCurrent makes a process the current one, also if it was a previous one.
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
