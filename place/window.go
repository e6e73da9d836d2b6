package place

const windowServers = 16

// outcomeWindow holds the latest outcome on each of the backend servers used most
// recently, so that a server which takes many tasks counts only once.
type outcomeWindow struct {
	entries [windowServers]windowOutcome
	length  int
	next    int // entry to replace once all are in use
}

type windowOutcome struct {
	server *server
	bad    bool
}

func (w *outcomeWindow) record(s *server, bad bool) {
	for i := range w.length {
		if w.entries[i].server == s {
			w.entries[i].bad = bad
			return
		}
	}
	if w.length < windowServers {
		w.entries[w.length] = windowOutcome{s, bad}
		w.length++
		return
	}
	w.entries[w.next] = windowOutcome{s, bad}
	w.next = (w.next + 1) % windowServers
}

// badRateElsewhere estimates the probability of a bad outcome on backend servers
// other than s. It returns 1 without outcomes of other servers.
func (w *outcomeWindow) badRateElsewhere(s *server) float64 {
	n, bad := 0, 0
	for i := range w.length {
		if w.entries[i].server == s {
			continue
		}
		n++
		if w.entries[i].bad {
			bad++
		}
	}
	if n == 0 {
		return 1
	}
	return (float64(bad) + 0.5) / float64(n+1)
}
