package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// processMemory is how long the processes of a silent host are remembered: longer
// than TCP repeats what a process sent before it ended.
const processMemory = time.Hour

// process is what a placer knows of the processes of an entry host.
type process struct {
	model.Processes
	since time.Time // when the present one was first heard of
	heard time.Time // when any was last
}

// alive notes that an entry host lives. Nobody waits for the jobs of its earlier
// processes. It returns false for a message of one of these.
func (n *Node) alive(name string, incarnation uint64, now time.Time) bool {
	p, ok := n.processes[name]
	if !ok {
		p = &process{}
		n.processes[name] = p
	}
	p.heard = now
	before := p.Current
	if !p.Observe(incarnation) {
		return false
	}
	if p.Current != before {
		n.succeed(name, p, now)
	}
	if _, ok := n.hosts[name]; !ok {
		n.hosts[name] = &host{since: now}
	}
	return true
}

// succeed drops what the former process of an entry host has handed over.
func (n *Node) succeed(name string, p *process, now time.Time) {
	p.since = now
	if k, ok := n.keepers[name]; ok {
		k.has, k.pulse = 0, 0
	}
	if h, ok := n.hosts[name]; ok {
		h.since, h.waited = now, time.Time{}
		n.placer.HostLost(name, p.Current, now)
	}
}

// mistaken tells whether the process that sent a pulse was taken for a former one
// by mistake, as the first message of one before it came late, and puts that right.
// Only the present process has a stamp that was told after that message.
func (n *Node) mistaken(m msgs.Pulse, now time.Time) bool {
	p, at := n.processes[m.Host], n.began.Add(m.Stamp)
	if m.Placing != n.placer.Epoch() || at.After(now) || !at.After(p.since) {
		return false
	}
	p.SetCurrent(m.Incarnation)
	n.succeed(m.Host, p, now)
	return n.alive(m.Host, m.Incarnation, now)
}
