package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	loadLifetime = 3 * time.Second        // for which a data centre's word of its load counts
	minLocalWait = 20 * time.Millisecond  // wait here that makes up for the way to another data centre
	minWaitGain  = 100 * time.Millisecond // shorter wait for which a job goes where it waits, too
)

// load is how busy a data centre was when it last said so, less what this host
// has sent there since.
type load struct {
	services map[string]msgs.ServiceLoad
	at       time.Time
}

func (r *Runner) updateLoad(m msgs.Load) {
	l := &load{services: map[string]msgs.ServiceLoad{}, at: r.Now()}
	for _, s := range m.Services {
		l.services[s.Service] = s
	}
	r.loads[m.DataCentre] = l
}

// lately returns how busy a service is in a data centre, if that is known and
// the data centre has the service.
func (r *Runner) currentLoad(dataCentre, service string) (msgs.ServiceLoad, bool) {
	l, ok := r.loads[dataCentre]
	if !ok || r.Now().Sub(l.at) > loadLifetime {
		return msgs.ServiceLoad{}, false
	}
	s, ok := l.services[service]
	return s, ok
}

// elsewhere returns the data centre where a job starts sooner than here, or
// nothing. A job with a key goes only to idle slots, since the loss of a host
// there makes its outcome unknown.
func (r *Runner) chooseDataCentre(sub model.Submission) string {
	service := sub.Tasks[0].Service
	if r.leaseHolds() && !r.waitsLocally(service, len(sub.Tasks)) {
		r.deductIdle(r.Self.DataCentre, service, len(sub.Tasks))
		return ""
	}
	return r.chooseRemote(sub)
}

// drawOther chooses another data centre for a job, or nothing.
func (r *Runner) chooseRemote(sub model.Submission) string {
	service := sub.Tasks[0].Service
	chosen := r.chooseIdle(service)
	if chosen == "" && sub.Key == "" {
		chosen = r.chooseShorterWait(service)
	}
	r.deductIdle(chosen, service, len(sub.Tasks))
	return chosen
}

// withIdle draws among the other data centres with idle slots by their number,
// so that not all hosts turn to the same one. Where the service is not known
// here, it takes one whose slots are all taken rather than none.
func (r *Runner) chooseIdle(service string) string {
	_, local := r.currentLoad(r.Self.DataCentre, service)
	total := 0
	chosen := ""
	for _, dc := range r.DataCentres {
		if dc == r.Self.DataCentre {
			continue
		}
		s, remote := r.currentLoad(dc, service)
		weight := s.Idle
		if remote && !local {
			weight++
		}
		if weight == 0 {
			continue
		}
		total += weight
		if r.Random()%uint64(total) < uint64(weight) {
			chosen = dc
		}
	}
	return chosen
}

// shorterWait returns the other data centre with the least wait, with a
// probability that rises with the gain, or nothing. If all jobs of all hosts
// went there, the waits would only change places.
func (r *Runner) chooseShorterWait(service string) string {
	local, ok := r.currentLoad(r.Self.DataCentre, service)
	if !ok {
		return ""
	}
	chosen, minWait := "", local.Wait
	for _, dc := range r.DataCentres {
		s, ok := r.currentLoad(dc, service)
		if ok && s.Wait < minWait {
			chosen, minWait = dc, s.Wait
		}
	}
	gain := local.Wait - minWait
	if gain < minWaitGain || r.Random()%uint64(local.Wait) >= uint64(gain) {
		return ""
	}
	return chosen
}

func (r *Runner) waitsLocally(service string, tasks int) bool {
	s, ok := r.currentLoad(r.Self.DataCentre, service)
	if !ok {
		return len(r.DataCentres) > 1 && r.loads[r.Self.DataCentre] != nil
	}
	return s.Idle < tasks && s.Wait > minLocalWait || s.Idle == 0
}

// take counts tasks that are on their way to a data centre.
func (r *Runner) deductIdle(dataCentre, service string, tasks int) {
	l, ok := r.loads[dataCentre]
	if !ok {
		return
	}
	s := l.services[service]
	s.Idle = max(s.Idle-tasks, 0)
	l.services[service] = s
}
