package runs

import (
	"slices"
	"strings"
	"time"
)

// loosen notes that no job holds the run, whose lease has to end by a time. Until
// it has ended, its task isn't started, whichever job comes to ask for it.
func (p *Placer) loosen(r *run, ends time.Time) {
	r.task, r.ends = nil, ends
	p.loose[r.name] = append(p.loose[r.name], r)
}

// gone takes a run that has ended or can't begin any more, and how it ended if
// its server listed that.
func (p *Placer) gone(r *run, how How) {
	r.server.free(r)
	if r.task != nil {
		return
	}
	loose := slices.DeleteFunc(p.loose[r.name], func(other *run) bool { return other == r })
	p.loose[r.name] = loose
	if len(loose) == 0 {
		delete(p.loose, r.name)
	}
	p.note(r.name, r.number, how)
}

// note remembers the end of a run that no job held, for one that asks for its
// task now or later.
func (p *Placer) note(name string, number int, how How) {
	e := p.found[name]
	p.found[name] = foundEnd{run: max(e.run, number), done: e.done || how == HowDone, at: p.last}
	if t := p.taskOf(name); t != nil && how == HowDone {
		p.adopt(t, p.last)
	}
}

// left tells whether runs of the job's tasks that it doesn't hold haven't ended.
func (p *Placer) left(j *job) bool {
	return len(p.loose) > 0 && slices.ContainsFunc(j.tasks, func(t task) bool { return len(p.loose[t.name]) > 0 })
}

// taskOf returns the task of an open job by its name, nil if there is none.
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
