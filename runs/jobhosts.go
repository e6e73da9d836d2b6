package runs

// JobHosts returns the entry hosts that wait for jobs of this placer.
func (p *Placer) JobHosts() map[string]bool {
	hosts := map[string]bool{}
	for _, j := range p.jobs {
		for _, w := range j.waiters {
			hosts[w.host] = true
		}
	}
	return hosts
}

// HasJobOf reports whether an entry host waits for a job of this placer.
func (p *Placer) HasJobOf(host string) bool {
	for _, j := range p.jobs {
		for _, w := range j.waiters {
			if w.host == host {
				return true
			}
		}
	}
	return false
}
