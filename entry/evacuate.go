package entry

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/runs"
)

// evacuations are the evacuated data centres as this host knows them.
type evacuations struct {
	known model.Evacuations
	since map[string]time.Time // when this host learned of the evacuation, by data centre
	own   placer.Evacuation    // of the own data centre
}

// applyEvacuations records newer evacuations, and notifies the placing service of this host. It is
// called before the placements of the same message are applied: a placer must not begin without them.
func (n *JobService) applyEvacuations(m msgs.HostRenewed, now time.Time) {
	e := &n.evacuations
	if m.EvacuationVersion <= e.known.Version {
		return
	}
	e.known = model.Evacuations{DataCentres: m.Evacuated, Version: m.EvacuationVersion}
	since := maps.Clone(e.since)
	e.since = map[string]time.Time{}
	for _, dc := range m.Evacuated {
		at, known := since[dc]
		if delete(since, dc); !known {
			at = now
			n.Hooks.Evacuated(model.Evacuation{DataCentre: dc, Evacuated: true}, m.EvacuationVersion)
		}
		e.since[dc] = at
	}
	for _, dc := range slices.Sorted(maps.Keys(since)) {
		n.Hooks.Evacuated(model.Evacuation{DataCentre: dc}, m.EvacuationVersion)
	}
	wasEvacuated := e.own.Evacuated
	e.own.Evacuated, e.own.Version = n.isEvacuated(n.DataCentre), m.EvacuationVersion
	if e.own.Evacuated && !wasEvacuated {
		e.own.Since = n.lastCoreState()
	}
	_ = n.Send(n.Self, msgs.ServicePlacer, e.own) // on this host
	if e.own.Evacuated != wasEvacuated {
		n.sendPulses(now) // to find out which other placers are available
	}
}

// lastCoreState returns the time of the latest message of the core's leader, after which a change must
// have been ordered that the message lacks. Stalls of this host don't shift it: a change may be ordered
// during one. It is zero for a process that hadn't heard of the core.
func (n *JobService) lastCoreState() time.Time {
	if n.coreContact.IsZero() {
		return time.Time{}
	}
	return n.leaderHeard
}

// evacuationOf returns the evacuation of a data centre for its placer, which is zero for others than
// the own one.
func (n *JobService) evacuationOf(dc string) placer.Evacuation {
	if dc != n.DataCentre {
		return placer.Evacuation{}
	}
	return n.evacuations.own
}

func (n *JobService) isEvacuated(dc string) bool {
	_, ok := n.evacuations.since[dc]
	return ok
}

// bypassed reports whether jobs are not handed to a data centre because it is evacuated. While other
// entry hosts may not know of the evacuation yet, its placer gets the jobs as before and refuses them,
// unless it runs a copy of the job that came from one of those hosts.
func (n *JobService) bypassed(dc string) bool {
	at, ok := n.evacuations.since[dc]
	return ok && n.Now().Sub(at) > runs.EvacuationSettle
}

// leftOut reports whether a job isn't handed to any shard of the own data centre, because that is
// evacuated.
func (n *JobService) leftOut(j *openJob) bool {
	return n.bypassed(n.DataCentre) || j.evacuated[n.DataCentre]
}

// selectPlacer returns the placer of another data centre for a job whose own data centre has none that
// takes it. The id of the job selects the first choice, and the next data centre follows if that one
// is evacuated, so hosts that know of an evacuation and ones whose job is refused because of it end
// at the same placer. The data centres in excluded are skipped.
func (n *JobService) selectPlacer(job string, excluded map[string]bool) (model.Placement, bool) {
	list := n.reachablePlacers(job)
	sum := 0
	for _, c := range []byte(job) {
		sum += int(c)
	}
	for i := range list {
		if p := list[(sum+i)%len(list)]; !excluded[p.DataCentre] && !n.bypassed(p.DataCentre) {
			return p, true
		}
	}
	return model.Placement{}, false
}

// passOn hands a refused job over to another placer, according to the reason. It returns false if the
// refusal is final.
func (n *JobService) passOn(j *openJob, m msgs.JobEnded, now time.Time) bool {
	if m.Evacuated {
		return n.handFromEvacuated(j, now)
	}
	return n.handToRoom(j, m, now) || n.handToNext(j, now)
}

// handFromEvacuated hands a job that was refused because the data centre of its placer is evacuated to
// another one. The evacuation alone doesn't cost a job its last handover, not even when it is late. It
// returns false if there is no other data centre.
func (n *JobService) handFromEvacuated(j *openJob, now time.Time) bool {
	dc, waited := j.placement.DataCentre, now.Sub(j.arrivedAt)
	j.refusedBy[n.refuser(j.placement)], j.evacuated[dc] = true, true
	if waited >= j.handover.Expires {
		return false
	}
	// A placer refuses such a job only when it could start the tasks itself: no run of it is active.
	// The next placer needn't wait for the leases of earlier runs.
	j.mayHaveRun = j.mayHaveRun || j.handover.Again
	j.handover.Again = false
	p, ok := n.selectPlacer(j.handover.Job, j.evacuated)
	switch {
	case !j.handover.Strict || waited >= j.handover.Objective:
		return n.handToLast(j, now)
	case n.returnsHome(j):
		j.returned = true
		n.move(j, n.placements[n.ownKey(j.handover.Job)], MoveReturned, now)
		return true
	case ok && len(j.refusedBy) == len(j.evacuated):
		n.handOver(j, p, false, now)
		return true
	}
	return n.handToNext(j, now)
}

// handToLast hands a job over for the last time: to its own shard or, while that is unavailable, to the next
// available one, and if the own data centre is evacuated, to the first other one that isn't. The job is refused
// there only if it can't end in time to be useful. One that may have run doesn't go to a shard that isn't its own,
// as that one can't find runs of it.
func (n *JobService) handToLast(j *openJob, now time.Time) bool {
	p, ok := n.placements[n.ownKey(j.handover.Job)]
	if n.leftOut(j) {
		p, ok = n.selectPlacer(j.handover.Job, j.evacuated)
	} else if !n.available(p) && !j.handover.Again && !j.mayHaveRun {
		if others := n.otherShards(j.handover.Job); len(others) > 0 {
			p, ok = others[0], true
		}
	}
	if !ok || !n.available(p) {
		return false
	}
	j.handover.Strict = false
	n.handOver(j, p, false, now)
	return true
}
