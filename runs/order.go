package runs

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// startOn orders a server to run a task.
func (p *Placer) startOn(t *task, s *server, now time.Time) {
	t.lastRun = max(t.lastRun, p.orphanEnds[t.name].run) + 1
	r := &run{
		task: t, name: t.name, number: t.lastRun, server: s, sent: now,
		expected: p.speeds.expected(t.job.Demand.Expected, s), demand: t.job.Demand,
	}
	t.run = r
	t.job.pending--
	t.job.started, t.job.lastStart = true, now
	s.reserve(r)
	p.out.Starts = append(p.out.Starts, Start{
		Server: s.Server, Task: r.name, Run: r.number, Spec: t.job.Spec, Deadline: s.grant(now), Fence: s.fence,
	})
}

// Started processes the answer to a start.
func (p *Placer) Started(a Answer, now time.Time) {
	p.noteInput(now)
	s, r := p.orderOf(&a)
	if s != nil && a.Outcome == OutcomeUnknown {
		s.lateUntil = now.Add(maxOrderDelay)
	}
	if r == nil {
		return
	}
	if a.Outcome != OutcomeUnknown && a.Fence >= s.restartFence {
		s.learnClock(a.Clock, now)
	}
	if r.state != stateStarting && r.state != stateUnconfirmed {
		if r.state == stateRunning && a.Outcome == OutcomeTaken {
			r.listedAfter = now
		}
		return
	}
	if r.task != nil {
		p.event(Event{Kind: EventStarted, Job: r.task.job.ID, Task: r.name, Run: r.number, Server: s.Name, Reason: a.Outcome.String(), Expected: r.expected, Took: now.Sub(r.sent)})
	}
	switch a.Outcome {
	case OutcomeTaken:
		r.state, r.confirmedAt, r.listedAfter = stateRunning, now, now
	case OutcomeUnknown:
		p.unansweredUntil = now.Add(unansweredTime)
		s.pausedUntil = now.Add(unansweredPause)
		r.state, r.listedAfter = stateUnconfirmed, now
		s.pollNow = true
	case OutcomeOld:
		if r.task != nil {
			r.task.lastRun *= 2 // the answer doesn't contain the number of the higher run
		}
		// The run can't start. A poll shows whether the higher run is active.
		r.state, r.listedAfter = stateStopped, now
		s.pollNow = true
	default:
		p.notStarted(s, r, a, now)
	}
}

// notStarted handles a start that the server has refused for certain.
func (p *Placer) notStarted(s *server, r *run, a Answer, now time.Time) {
	p.release(r, 0)
	switch a.Outcome {
	case OutcomeFenced:
		if p.noteFenced(s, a.Fence) {
			s.pausedUntil = now.Add(unansweredPause)
		}
	case OutcomeNoRoom:
		s.pausedUntil = now.Add(noRoomPause)
	case OutcomeUnwell:
		s.pausedUntil = now.Add(unhealthyPause)
	case OutcomeGone:
		defer p.removeServer(s, "another process answers")
	}
	t := r.task
	if t == nil || t.run != r {
		return
	}
	t.run = nil
	if a.Outcome == OutcomeInvalid {
		p.fail(t.job, now)
		return
	}
	p.retry(t, a.Outcome.String())
}

// stop orders the end of a run. Its resources stay reserved until the server lists its end.
func (p *Placer) stop(r *run, reason string, now time.Time) {
	if r.state == stateStopping || r.state == stateStopped {
		return
	}
	p.event(Event{Kind: EventStopping, Job: jobOf(r.name), Task: r.name, Run: r.number, Server: r.server.Name, Reason: reason, Took: now.Sub(r.startTime())})
	r.state = stateStopping
	r.listedAfter = time.Time{}
	p.sendStop(r, now)
}

func (p *Placer) sendStop(r *run, now time.Time) {
	r.dueAt = now.Add(stopRetry)
	p.out.Stops = append(p.out.Stops, Stop{Server: r.server.Server, Task: r.name, Run: r.number, Fence: r.server.fence})
}

// Stopped processes the answer to a stop. The run can't start any more; a later poll
// shows whether it had started.
func (p *Placer) Stopped(a Answer, now time.Time) {
	p.noteInput(now)
	s, r := p.orderOf(&a)
	if r == nil || r.state != stateStopping {
		return
	}
	switch a.Outcome {
	case OutcomeTaken:
		s.learnClock(a.Clock, now)
		r.state, r.listedAfter = stateStopped, now
		s.pollNow = true
	case OutcomeFenced:
		p.noteFenced(s, a.Fence)
	case OutcomeGone:
		p.removeServer(s, "another process answers")
	}
}

// orderOf returns the server and the run that an answer concerns. It changes the answer to
// OutcomeUnknown if the order was taken by a former process of the server, or by the
// current process before it was polled. After an unanswered order it raises the fence.
func (p *Placer) orderOf(a *Answer) (*server, *run) {
	s, r := p.runOf(*a)
	if s == nil {
		return nil, nil
	}
	if a.Outcome == OutcomeTaken && a.Fence < s.restartFence {
		a.Outcome = OutcomeUnknown
	}
	if a.Outcome == OutcomeUnknown {
		p.unanswered(s, a.Fence)
	}
	return s, r
}

func (p *Placer) runOf(a Answer) (*server, *run) {
	s, ok := p.servers[a.Server]
	if !ok {
		return nil, nil
	}
	r, ok := s.runs[a.Task]
	if !ok || r.number != a.Run {
		return s, nil
	}
	return s, r
}

func (p *Placer) complete(j *job, now time.Time) {
	p.end(j, model.JobEndComplete, "", now)
}

func (p *Placer) fail(j *job, now time.Time) {
	p.end(j, model.JobEndFailed, "a task failed as often as it may", now)
}

// String returns the name used in counters and logs.
func (h RunEnd) String() string {
	names := map[RunEnd]string{RunDone: "Done", RunFailed: "Failed", RunStopped: "Stopped", RunLapsed: "Lapsed"}
	return names[h]
}
