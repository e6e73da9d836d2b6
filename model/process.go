package model

import "slices"

// maxFormer is the number of former processes of a host that are remembered: one
// that restarts each second draws as many in several times the life of a message.
const maxFormer = 16

// Processes are the processes of a host that were heard of, by their incarnations.
// Messages of a former one may come late. Incarnations aren't ordered, so a process
// that is heard of for the first time is taken for the next one.
type Processes struct {
	Present uint64 // 0 before the first
	Former  []uint64
}

// Hear notes a message of a process. It returns false for one of a former process.
func (p *Processes) Hear(incarnation uint64) bool {
	if slices.Contains(p.Former, incarnation) {
		return false
	}
	p.Begin(incarnation)
	return true
}

// Begin makes a process the present one.
func (p *Processes) Begin(incarnation uint64) {
	if p.Present == incarnation {
		return
	}
	p.Former = slices.DeleteFunc(p.Former, func(former uint64) bool { return former == incarnation })
	if p.Present != 0 {
		p.Former = append(p.Former, p.Present)
	}
	p.Former = p.Former[max(0, len(p.Former)-maxFormer):]
	p.Present = incarnation
}
