package jobs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

const (
	// A load report is ignored after this time.
	loadLifetime = 3 * time.Second
	// A shorter local wait doesn't justify the latency to another data centre.
	minLocalWait = 20 * time.Millisecond
	// If no slot is idle elsewhere, the wait there must be shorter by at least this.
	minWaitGain = 100 * time.Millisecond
)

// load is the last load report of a data centre, with the tasks that this host has sent there since
// deducted from the idle slots.
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

// currentLoad returns the load of a service in a data centre, and whether there is a recent report
// that has the service.
func (r *Runner) currentLoad(dataCentre, service string) (msgs.ServiceLoad, bool) {
	l, ok := r.loads[dataCentre]
	if !ok || r.Now().Sub(l.at) > loadLifetime {
		return msgs.ServiceLoad{}, false
	}
	s, ok := l.services[service]
	return s, ok
}

// chooseDataCentre returns another data centre where a job starts sooner than here, or an empty
// string. A job with a key is sent only to idle slots, since its outcome becomes unknown if a host
// there is lost. The tasks are deducted from the idle slots of the data centre where the job goes
// or stays.
func (r *Runner) chooseDataCentre(sub model.Submission) string {
	service := sub.Tasks[0].Service
	if r.leaseHolds() && !r.waitsLocally(service, len(sub.Tasks)) {
		r.deductIdle(r.Self.DataCentre, service, len(sub.Tasks))
		return ""
	}
	return r.chooseRemote(sub)
}

// chooseRemote chooses another data centre for a job and deducts the tasks from its idle slots. It
// returns an empty string if none is suitable.
func (r *Runner) chooseRemote(sub model.Submission) string {
	service := sub.Tasks[0].Service
	chosen := r.chooseIdle(service)
	if chosen == "" && sub.Key == "" {
		chosen = r.chooseShorterWait(service)
	}
	r.deductIdle(chosen, service, len(sub.Tasks))
	return chosen
}

// chooseIdle picks at random one of the other data centres with idle slots, weighted by the number of
// these, so that not all hosts choose the same one. If this data centre is not known to have the
// service, one without idle slots qualifies too.
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

// chooseShorterWait returns the other data centre with the shortest wait, with a probability
// proportional to the wait saved, or an empty string. If all hosts sent all jobs there, the long
// wait would only move there.
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

// deductIdle deducts tasks sent to a data centre from its idle slots, until its next report.
func (r *Runner) deductIdle(dataCentre, service string, tasks int) {
	l, ok := r.loads[dataCentre]
	if !ok {
		return
	}
	s := l.services[service]
	s.Idle = max(s.Idle-tasks, 0)
	l.services[service] = s
}
