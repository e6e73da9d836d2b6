package runs

import (
	"slices"
	"time"
)

// Looked takes the answer to a look.
func (p *Placer) Looked(m Seen, now time.Time) {
	p.awake(now)
	s, ok := p.servers[m.Server]
	if !ok || m.Seq <= s.looked || (m.Outcome == OutcomeUnknown && m.Seq != s.looking) {
		return // a later look has told more
	}
	if m.Seq == s.looking {
		s.looking = 0
	}
	s.looked = m.Seq
	switch m.Outcome {
	case OutcomeTaken:
	case OutcomeFenced:
		p.out.Fenced = true
		s.retryAt = now.Add(lookRetry)
		return
	case OutcomeGone:
		p.lose(s, "another process answers")
		return
	default:
		p.noAnswer(s, m.Outcome, now)
		return
	}
	if s.silent {
		p.event(Event{Kind: EventAnswers, Server: s.Name})
	}
	s.silent, s.retryAt, s.answered = false, time.Time{}, now
	s.acked = s.told
	if m.Born != 0 && m.Born != s.Born {
		p.reborn(s, m.Born)
	}
	s.learnClock(m.Clock, now)
	first := !s.known
	s.known = true
	if first {
		s.lease = max(s.lease, s.clock+longestLease.Milliseconds())
	}
	for _, e := range m.Ended {
		if e.N > s.cursor {
			s.cursor = e.N
			p.endListed(s, e, now)
		}
	}
	p.compare(s, m, first, now)
}

func (p *Placer) noAnswer(s *server, o Outcome, now time.Time) {
	p.unsureUntil = now.Add(unsureTime)
	s.retryAt = now.Add(lookRetry)
	if now.Sub(s.answered) < silentAfter {
		return
	}
	if !s.silent {
		p.event(Event{Kind: EventSilent, Server: s.Name, Reason: o.String()})
	}
	s.silent = true
	s.retryAt = now.Add(silentRetry)
}

// compare matches the runs that the server lists with those that are booked.
func (p *Placer) compare(s *server, m Seen, first bool, now time.Time) {
	listed := map[string]int{}
	for _, a := range m.Active {
		listed[a.Task] = a.Run
		r, ok := s.runs[a.Task]
		if !ok {
			p.stray(s, a, first, now)
			continue
		}
		if r.number != a.Run {
			p.besides(s, a)
			continue
		}
		if r.state == stateStarting || r.state == stateDoubtful {
			// The answer to its start is late. So may be a look that was sent before, which doesn't list the run.
			r.state, r.began, r.checked = stateRunning, now, now
		}
	}
	for _, r := range inOrder(s.runs) {
		if listed[r.name] == r.number || r.checked.IsZero() || !m.Sent.After(r.checked) {
			continue
		}
		if r.state == stateDoubtful {
			p.stop(r, "start unanswered", now) // it may still arrive
			continue
		}
		p.vanished(r, "not listed")
	}
}

// besides stops a run that is listed where another one of its task is booked, as
// after a restart of the server that let a late start in.
func (p *Placer) besides(s *server, a Listed) {
	p.event(Event{Kind: EventBesides, Job: jobOf(a.Task), Task: a.Task, Run: a.Run, Server: s.Name})
	p.out.Stops = append(p.out.Stops, Stop{Server: s.Server, Task: a.Task, Run: a.Run, Fence: p.epoch})
}

// stray books a run that no job here knows of. On the first look it may belong
// to a job that an entry host is about to hand over; later it is stopped.
func (p *Placer) stray(s *server, a Listed, first bool, now time.Time) {
	r := &run{name: a.Task, number: a.Run, server: s, state: stateRunning, sent: now, began: now, checked: now}
	r.demand.CPU = a.CPU
	s.take(r)
	p.loosen(r, time.Time{})
	if t := p.taskOf(r.name); t != nil && t.run != nil {
		p.event(Event{Kind: EventBesides, Job: t.job.ID, Task: r.name, Run: r.number, Server: s.Name})
	}
	if !first {
		p.stop(r, "unknown run", now)
		return
	}
	r.stopAt = now.Add(orphanTime)
	if t := p.taskOf(r.name); t != nil {
		p.adopt(t, now)
	}
}

// adopt gives a task the run or the end that no job holds. It returns false when
// that ended the whole job.
func (p *Placer) adopt(t *task, now time.Time) bool {
	if t.done || t.run != nil {
		return true
	}
	e := p.found[t.name]
	t.last = max(t.last, e.run)
	if e.done {
		t.done = true
		t.job.idle--
		t.job.open--
		t.job.began, t.job.start = true, now
		if t.job.open == 0 {
			p.complete(t.job, now)
			return false
		}
		return true
	}
	loose := p.loose[t.name]
	if len(loose) != 1 || loose[0].state != stateRunning {
		return true
	}
	r := loose[0]
	delete(p.loose, t.name)
	r.server.free(r)
	r.task, r.demand, r.expected = t, t.job.Demand, p.speeds.expected(t.job.Demand.Expected, r.server)
	r.server.take(r)
	t.run, t.last = r, r.number
	t.job.idle--
	t.job.began, t.job.start = true, now
	p.event(Event{Kind: EventAdopted, Job: t.job.ID, Task: t.name, Run: r.number, Server: r.server.Name})
	return true
}

// endListed takes a run that the server lists as ended.
func (p *Placer) endListed(s *server, e Ended, now time.Time) {
	r, ok := s.runs[e.Task]
	if !ok || r.number != e.Run {
		p.note(e.Task, e.Run, e.How)
		return
	}
	p.gone(r, e.How)
	t := r.task
	if t == nil {
		return
	}
	t.run = nil
	took := now.Sub(r.startedAt())
	p.event(Event{Kind: EventEnded, Job: t.job.ID, Task: t.name, Run: r.number, Server: s.Name, Reason: e.How.String(), Took: took, Expected: r.expected})
	switch e.How {
	case HowDone:
		p.speeds.learn(t.job.Demand.Expected, took, s)
		p.succeeded(s)
		t.done = true
		t.job.open--
		if t.job.open == 0 {
			p.complete(t.job, now)
		}
	case HowFailed:
		p.blame(s, t.job.ID, now)
		t.failed++
		t.avoid = s.Name
		if t.failed >= t.job.Attempts {
			p.fail(t.job, now)
			return
		}
		p.retry(t, "failed")
	default:
		p.retry(t, e.How.String())
	}
}

// vanished takes a run that the server can't be running any more.
func (p *Placer) vanished(r *run, reason string) {
	p.gone(r, 0)
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.avoid = r.server.Name
	p.retry(t, reason)
}

// retry lets a task wait for a server again.
func (p *Placer) retry(t *task, reason string) {
	p.event(Event{Kind: EventRetried, Job: t.job.ID, Task: t.name, Run: t.last, Reason: reason})
	t.job.idle++
	if t.job.clear.IsZero() && !slices.Contains(p.waiting, t.job) {
		p.enqueue(t.job)
	}
}
