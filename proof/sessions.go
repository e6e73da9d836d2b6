package proof

import "fmt"

// openSessions opens a session in each data centre, in the order of dataCentres.
func (s *System) openSessions() []string {
	s.t.Helper()
	var sessions []string
	for _, dc := range dataCentres {
		sessions = append(sessions, s.openSession(dc))
	}
	return sessions
}

func (s *System) openSession(dataCentre string) string {
	s.t.Helper()
	session, err := s.client().openSession(s.hostsIn(dataCentre)[0], "chime")
	if err != nil {
		s.t.Fatal(err)
	}
	return session
}

// loadDuplicates submits jobs of the sessions in turn, each to hosts of two data centres at the same
// time.
func (s *System) loadDuplicates(name string, sessions []string) (runs, duplicates []*jobRun) {
	const jobs = 12
	for i := range jobs {
		r := newJobRun(fmt.Sprintf("%s%d", name, i), 1+i%4, true)
		r.Job.Session = sessions[i%len(sessions)]
		runs = append(runs, r)
	}
	duplicates = copyRuns(runs)
	s.submitAll(0, runs)
	s.submitAll(hostsPerDataCentre, duplicates)
	return runs, duplicates
}
