package proof

import "strings"

// killDataCentre kills all hosts of a data centre.
func (s *System) killDataCentre(dataCentre string) {
	for _, h := range s.hostsIn(dataCentre) {
		h.Kill()
	}
}

// restartDataCentre starts the hosts of a data centre again and waits until they are ready, that is until
// they can decide on jobs. Before that, they pass jobs without a key to other data centres.
func (s *System) restartDataCentre(dataCentre string) {
	s.t.Helper()
	for _, h := range s.hostsIn(dataCentre) {
		h.Start(s.t)
	}
	for _, h := range s.hostsIn(dataCentre) {
		s.waitUntil(h.Name+" is ready again", func() bool { return s.client().ready(h) })
	}
}

// inDataCentre reports whether a host belongs to the data centre.
func inDataCentre(dataCentre, host string) bool {
	return strings.HasPrefix(host, dataCentre+"-")
}

// awaitAllServing waits until each data centre completes a job.
func awaitAllServing(s *System) {
	s.t.Helper()
	for _, dc := range dataCentres {
		s.waitUntil(dc+" serves", func() bool { return s.serves(dc) })
	}
}

// primary waits until a data centre has a primary and returns it.
func (s *System) primary(dataCentre string) *Host {
	s.t.Helper()
	var primary *Host
	s.waitUntil(dataCentre+" has a primary", func() bool {
		primary = s.findPrimary(dataCentre)
		return primary != nil
	})
	return primary
}

// findPrimary returns the running host that reports itself as the primary of its data centre, or nil.
func (s *System) findPrimary(dataCentre string) *Host {
	for _, h := range s.hostsIn(dataCentre) {
		if !h.Running() {
			continue
		}
		status, err := s.probe().status(h)
		if err != nil {
			continue
		}
		for _, g := range status.Groups {
			if g.Name == dataCentre && g.Leading && g.Primary == h.Name {
				return h
			}
		}
	}
	return nil
}

// nonPrimary returns a running host of the data centre that isn't its primary.
func (s *System) nonPrimary(dataCentre string) *Host {
	s.t.Helper()
	primary := s.primary(dataCentre)
	for _, h := range s.hostsIn(dataCentre) {
		if h != primary && h.Running() {
			return h
		}
	}
	return nil
}

// restart starts a host again and waits until it has recovered and is ready.
func (s *System) restart(h *Host) {
	s.t.Helper()
	h.Start(s.t)
	s.waitUntil(h.Name+" has recovered", func() bool {
		status, err := s.client().status(h)
		if err != nil {
			return false
		}
		for _, g := range status.Groups {
			if g.Recovering {
				return false
			}
		}
		return len(status.Groups) > 0 && s.client().ready(h)
	})
}

// canReach reports whether a host reports another one as reachable. It returns true if the host doesn't
// respond or doesn't know the other one.
func (s *System) canReach(from, to string) bool {
	status, err := s.probe().status(s.host(from))
	if err != nil {
		return true
	}
	for _, h := range status.Hosts {
		if h.Name == to {
			return h.Reachable
		}
	}
	return true
}
