package runs

import (
	"slices"
	"strings"
	"time"
)

// orphan records that no job holds the run, whose lease ends at leaseEnd at the latest.
// Until the run has ended its task isn't started, even if another job asks for it.
func (p *Placer) orphan(r *run, leaseEnd time.Time) {
	r.task, r.leaseEnd, r.orphanedAt = nil, leaseEnd, p.lastInput
	p.orphans[r.name] = append(p.orphans[r.name], r)
}

// release releases the resources of a run that has ended or can't start any more, and
// records the end of an orphan. how is the end that its server listed, or 0.
func (p *Placer) release(r *run, how RunEnd) {
	r.server.unreserve(r)
	if r.task != nil {
		return
	}
	orphans := slices.DeleteFunc(p.orphans[r.name], func(other *run) bool { return other == r })
	p.orphans[r.name] = orphans
	if len(orphans) == 0 {
		delete(p.orphans, r.name)
	}
	p.recordOrphanEnd(r.name, r.number, how)
}

// recordOrphanEnd records the end of a run that no job held, for a job that has or will
// have its task.
func (p *Placer) recordOrphanEnd(name string, number int, how RunEnd) {
	e := p.orphanEnds[name]
	p.orphanEnds[name] = orphanEnd{run: max(e.run, number), done: e.done || how == RunDone, at: p.lastInput}
	if t := p.taskOf(name); t != nil && how == RunDone {
		p.adopt(t, p.lastInput)
	}
}

// hasOrphans reports whether runs of the job's tasks that it doesn't hold haven't ended, or may start elsewhere.
func (p *Placer) hasOrphans(j *job) bool {
	return p.barred(j.ID) || len(p.orphans) > 0 && slices.ContainsFunc(j.tasks, func(t task) bool { return len(p.orphans[t.name]) > 0 })
}

// taskOf returns the task of an open job by its name, or nil.
func (p *Placer) taskOf(name string) *task {
	j, ok := p.jobs[jobOf(name)]
	if !ok {
		return nil
	}
	if i := slices.IndexFunc(j.tasks, func(t task) bool { return t.name == name }); i >= 0 {
		return &j.tasks[i]
	}
	return nil
}

// jobOf returns the id of the job that a task belongs to.
func jobOf(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}
