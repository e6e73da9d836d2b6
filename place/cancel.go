package place

import "time"

// Cancel drops the waiting tasks of a job. It returns their number and the
// outstanding grants, which keep their slots until they complete.
func (p *Placer) Cancel(name string, now time.Time) (waiting int, running []Grant) {
	j, ok := p.jobs[name]
	if !ok {
		return 0, nil
	}
	j.cancelled = true
	waiting = p.drop(j)
	for _, g := range j.grants {
		running = append(running, g.Grant)
	}
	p.removeIdle(j, false, now)
	p.dispatch(now)
	return waiting, running
}
