package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// processRetention is how long the processes of a silent host are remembered: longer
// than TCP retransmits what a process sent before it ended.
const processRetention = time.Hour

// process records the current and previous processes of an entry host.
type process struct {
	model.Processes
	currentSince time.Time // first contact of the current process
	lastContact  time.Time // of any process
}

// recordContact records a message of an entry host. It drops the jobs of the previous
// process when a new one sends its first message, and returns false if the message is from
// a previous process: no caller waits for its jobs any longer.
func (n *PlacingService) recordContact(name string, incarnation uint64, now time.Time) bool {
	p, ok := n.processes[name]
	if !ok {
		p = &process{}
		n.processes[name] = p
	}
	p.lastContact = now
	previous := p.Current
	if !p.Observe(incarnation) {
		return false
	}
	if p.Current != previous {
		n.dropPreviousProcess(name, p, now)
	}
	if _, ok := n.hosts[name]; !ok {
		n.hosts[name] = &host{timeoutFrom: now}
	}
	return true
}

// dropPreviousProcess drops the jobs that the previous process of an entry host handed over.
func (n *PlacingService) dropPreviousProcess(name string, p *process, now time.Time) {
	p.currentSince = now
	if r, ok := n.replicas[name]; ok {
		*r = tableReplica{sentAt: r.sentAt}
	}
	if h, ok := n.hosts[name]; ok {
		h.timeoutFrom, h.confirmedAt = now, time.Time{}
		n.placer.HostLost(name, p.Current, now)
	}
}

// reinstateProcess corrects which process of an entry host is the current one. The first
// message of a previous process, if it arrives late, makes that process the current one by
// mistake. A pulse with a stamp that was sent after this message can only be from the real
// current process: reinstateProcess makes its process the current one again and returns true.
func (n *PlacingService) reinstateProcess(m msgs.Pulse, now time.Time) bool {
	p, stamped := n.processes[m.Host], n.startedAt.Add(m.Stamp)
	if m.Placing != n.placer.Epoch() || stamped.After(now) || !stamped.After(p.currentSince) {
		return false
	}
	p.SetCurrent(m.Incarnation)
	n.dropPreviousProcess(m.Host, p, now)
	return n.recordContact(m.Host, m.Incarnation, now)
}
