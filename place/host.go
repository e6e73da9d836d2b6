package place

import "time"

// hostState holds the jobs and outcomes of one incarnation of an entry host.
type hostState struct {
	jobs     map[*job]struct{}
	outcomes outcomeWindow // whether its latest call reached each backend server
}

func (hs *hostState) idle() bool { return hs.outcomes.length == 0 }

// HostLost drops the queued jobs of a lost entry host. Its outstanding grants keep
// their slots for a bounded time, since their tasks may be running.
func (p *Placer) HostLost(host string, incarnation uint64, now time.Time) {
	hs, ok := p.hosts[hostKey{host, incarnation}]
	if !ok {
		return
	}
	hs.outcomes = outcomeWindow{}
	for j := range hs.jobs {
		p.drop(j)
		j.cancelled = true
		for _, g := range j.grants {
			g.orphaned = true
		}
		p.removeIdle(j, false, now)
	}
	if len(hs.jobs) == 0 {
		delete(p.hosts, hostKey{host, incarnation})
	}
	p.dispatch(now)
}
