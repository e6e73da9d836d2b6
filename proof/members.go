package proof

import "strings"

// killAll kills all hosts of a data centre.
func (s *System) killDataCentre(dataCentre string) {
	for _, h := range s.hostsIn(dataCentre) {
		h.Kill()
	}
}

// restartAll starts the hosts of a data centre again and waits until they can
// decide on jobs. Only then are they ready; before, they hand jobs without a key
// to other data centres.
func (s *System) restartDataCentre(dataCentre string) {
	s.t.Helper()
	for _, h := range s.hostsIn(dataCentre) {
		h.Start(s.t)
	}
	for _, h := range s.hostsIn(dataCentre) {
		s.waitUntil(h.Name+" is ready again", func() bool { return s.client().ready(h) })
	}
}

// away reports whether a host belongs to the data centre.
func inDataCentre(dataCentre, host string) bool {
	return strings.HasPrefix(host, dataCentre+"-")
}

// servesAll waits until every data centre completes jobs of its own.
func awaitAllServing(s *System) {
	s.t.Helper()
	for _, dc := range dataCentres {
		s.waitUntil(dc+" serves", func() bool { return s.serves(dc) })
	}
}

// primary returns the host that leads a data centre, as its hosts tell.
func (s *System) primary(dataCentre string) *Host {
	s.t.Helper()
	var leader *Host
	s.waitUntil(dataCentre+" has a primary", func() bool {
		leader = s.findPrimary(dataCentre)
		return leader != nil
	})
	return leader
}

// leaderOf asks each running host whether it leads its data centre.
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

// other returns a host of the data centre that doesn't lead it.
func (s *System) nonPrimary(dataCentre string) *Host {
	s.t.Helper()
	leader := s.primary(dataCentre)
	for _, h := range s.hostsIn(dataCentre) {
		if h != leader && h.Running() {
			return h
		}
	}
	return nil
}

// revive starts a host again and waits until it takes part in its group.
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

// reaches reports whether a host says that it can reach another one.
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
