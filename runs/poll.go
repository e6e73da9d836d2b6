package runs

import (
	"slices"
	"time"
)

// Polled processes the answer to a poll.
func (p *Placer) Polled(m PollResult, now time.Time) {
	p.noteInput(now)
	s, ok := p.servers[m.Server]
	if ok && m.Outcome == OutcomeUnknown {
		p.unanswered(s, m.Fence)
	}
	if !ok || m.Seq <= s.answeredPoll || (m.Outcome == OutcomeUnknown && m.Seq != s.pollInFlight) {
		return // a later poll was answered or is in flight
	}
	if m.Seq == s.pollInFlight {
		s.pollInFlight = 0
	}
	s.answeredPoll = m.Seq
	if !p.handlePollOutcome(s, m, now) {
		return
	}
	if s.silent {
		p.event(Event{Kind: EventAnswers, Server: s.Name})
	}
	s.silent, s.retryAt, s.answeredAt = false, time.Time{}, now
	s.cursorAcked = s.cursorSent
	if m.Born != 0 && m.Born != s.Born {
		p.serverRestarted(s, m.Born, now)
		return // the next poll fences off earlier orders
	}
	s.learnClock(m.Clock, now)
	p.refuteLeave(s, m, now)
	first := !s.polled
	if first {
		s.firstAnswer(now)
	}
	for _, e := range m.Ended {
		if e.N > s.cursor {
			s.cursor = e.N
			p.runEnded(s, e, now)
		}
	}
	p.reconcile(s, m, first, now)
}

// firstAnswer records the first answer to a poll since the server was found or restarted, or
// the placer was stalled.
func (s *server) firstAnswer(now time.Time) {
	s.polled = true
	if !s.verified {
		s.verified, s.foundAt = true, now
	}
	s.lease = max(s.lease, s.clock+maxLease.Milliseconds())
}

// handlePollOutcome reports whether the server answered the poll, and handles the other
// outcomes.
func (p *Placer) handlePollOutcome(s *server, m PollResult, now time.Time) bool {
	switch m.Outcome {
	case OutcomeTaken:
		if m.Unread > 0 {
			s.pausedUntil = now.Add(unreadPause)
		}
		return true
	case OutcomeFenced:
		if p.noteFenced(s, m.Fence) {
			s.retryAt = now.Add(pollRetry)
		}
	case OutcomeGone:
		p.removeServer(s, "another process answers")
	default:
		p.pollFailed(s, m.Outcome, now)
	}
	return false
}

// pollFailed schedules a retry, and marks the server silent after silentAfter.
func (p *Placer) pollFailed(s *server, o Outcome, now time.Time) {
	p.unansweredUntil = now.Add(unansweredTime)
	s.retryAt = now.Add(pollRetry)
	if now.Sub(s.answeredAt) < silentAfter {
		return
	}
	if !s.silent {
		p.event(Event{Kind: EventSilent, Server: s.Name, Reason: o.String()})
	}
	s.silent = true
	s.retryAt = now.Add(silentPollRetry)
}

// reconcile matches the runs that the server lists with those recorded for it.
func (p *Placer) reconcile(s *server, m PollResult, first bool, now time.Time) {
	listed := map[string]int{}
	for _, a := range m.Active {
		listed[a.Task] = a.Run
		r, ok := s.runs[a.Task]
		if !ok {
			p.recordUnknown(s, a, first, now)
			continue
		}
		if r.number != a.Run {
			p.stopDuplicate(s, r, a, m, now)
			continue
		}
		if r.state == stateStarting || r.state == stateUnconfirmed {
			// The answer to its start is late. An earlier poll, which doesn't list the run,
			// may be late as well.
			r.state, r.confirmedAt, r.listedAfter = stateRunning, now, now
		}
	}
	for _, r := range inOrder(s.runs) {
		if listed[r.name] == r.number || !r.listedBy(m) {
			continue
		}
		if r.state == stateUnconfirmed {
			p.stop(r, "start unanswered", now) // the start may still arrive
			continue
		}
		p.loseRun(r, "not listed")
	}
}

// listedBy reports whether the poll would have listed the run if it were active. An entry
// that can't be read may be this run, or its end.
func (r *run) listedBy(m PollResult) bool {
	return m.Unread == 0 && !r.listedAfter.IsZero() && m.Sent.After(r.listedAfter)
}

// stopDuplicate stops a run that is listed where another run of its task is recorded, for
// example if the server has restarted and accepted a late start. If the recorded run is
// gone, the listed one replaces it, so that the task starts only when that one has ended.
func (p *Placer) stopDuplicate(s *server, recorded *run, a ActiveRun, m PollResult, now time.Time) {
	p.event(Event{Kind: EventDuplicateRun, Job: jobOf(a.Task), Task: a.Task, Run: a.Run, Server: s.Name})
	if recorded.listedBy(m) && recorded.state != stateUnconfirmed {
		p.loseRun(recorded, "not listed")
		p.recordUnknown(s, a, false, now)
		return
	}
	p.out.Stops = append(p.out.Stops, Stop{Server: s.Server, Task: a.Task, Run: a.Run, Fence: s.fence})
}

// recordUnknown records an unknown run as an orphan. In the first poll it may belong
// to a job that an entry host is about to hand over; later it is stopped.
func (p *Placer) recordUnknown(s *server, a ActiveRun, first bool, now time.Time) {
	r := &run{name: a.Task, number: a.Run, server: s, state: stateRunning, sent: now, confirmedAt: now, listedAfter: now}
	r.demand.CPU = a.CPU
	s.reserve(r)
	p.orphan(r, time.Time{})
	if t := p.taskOf(r.name); t != nil && t.run != nil {
		p.event(Event{Kind: EventDuplicateRun, Job: t.job.ID, Task: r.name, Run: r.number, Server: s.Name})
	}
	if !first {
		p.stop(r, "unknown run", now)
		return
	}
	r.dueAt = now.Add(orphanTime)
	if t := p.taskOf(r.name); t != nil {
		p.adopt(t, now)
	}
}

// adopt assigns to a task its orphan, or the recorded end of one. It returns false when
// that ended the whole job.
func (p *Placer) adopt(t *task, now time.Time) bool {
	if t.done || t.run != nil {
		return true
	}
	e := p.orphanEnds[t.name]
	t.lastRun = max(t.lastRun, e.run)
	if e.done {
		t.done = true
		t.job.pending--
		t.job.unfinished--
		t.job.started, t.job.lastStart = true, now
		if t.job.unfinished == 0 {
			p.complete(t.job, now)
			return false
		}
		return true
	}
	orphans := p.orphans[t.name]
	if len(orphans) != 1 || orphans[0].state != stateRunning {
		return true
	}
	r := orphans[0]
	delete(p.orphans, t.name)
	r.server.unreserve(r)
	r.task, r.demand, r.expected = t, t.job.Demand, p.speeds.expected(t.job.Demand.Expected, r.server)
	r.server.reserve(r)
	t.run, t.lastRun = r, r.number
	t.job.pending--
	t.job.started, t.job.lastStart = true, now
	p.event(Event{Kind: EventAdopted, Job: t.job.ID, Task: t.name, Run: r.number, Server: r.server.Name})
	return true
}

// runEnded processes a run that the server lists as ended.
func (p *Placer) runEnded(s *server, e EndedRun, now time.Time) {
	r, ok := s.runs[e.Task]
	if !ok || r.number != e.Run {
		p.recordOrphanEnd(e.Task, e.Run, e.How)
		return
	}
	p.release(r, e.How)
	t := r.task
	if t == nil {
		return
	}
	t.run = nil
	took := now.Sub(r.startTime())
	p.event(Event{Kind: EventEnded, Job: t.job.ID, Task: t.name, Run: r.number, Server: s.Name, Reason: e.How.String(), Took: took, Expected: r.expected})
	switch e.How {
	case RunDone:
		p.learnRun(r, took)
		p.noteSuccess(s)
		t.done = true
		t.job.unfinished--
		if t.job.unfinished == 0 {
			p.complete(t.job, now)
		}
	case RunFailed:
		p.countFailure(s, t.job.ID, now)
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

// loseRun retries the task of a run that the server can no longer be running.
func (p *Placer) loseRun(r *run, reason string) {
	p.release(r, 0)
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	t.avoid = r.server.Name
	p.retry(t, reason)
}

// retry queues a task again.
func (p *Placer) retry(t *task, reason string) {
	p.event(Event{Kind: EventRetried, Job: t.job.ID, Task: t.name, Run: t.lastRun, Reason: reason})
	t.job.pending++
	if t.job.deferredUntil.IsZero() && !slices.Contains(p.waiting, t.job) {
		p.enqueue(t.job)
	}
}
