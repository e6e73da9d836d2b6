package runs

import "time"

// A report that a server leaves names neither a process nor a number. If it is late, another process may have begun
// under the server's name, with runs. So the report holds only once polls of the server fail; until then the server
// gets no tasks and stays in the table, where the next placer looks for runs.

// reportLeft notes that a server is reported to leave. Polls decide whether that holds.
func (s *server) reportLeft(now time.Time) {
	if s.leftAt.IsZero() {
		s.leftAt, s.retryAt, s.pollNow = now, time.Time{}, true
	}
}

// hasLeft reports whether polls confirm that a server without runs has left. One that may have runs of an earlier
// placer, or may carry out a start late, hasn't while it doesn't answer.
func (s *server) hasLeft(now time.Time) bool {
	return !s.leftAt.IsZero() && s.silent && now.Sub(s.leftAt) >= silentAfter && !s.awaitsLateStart(now) && (s.polled || !s.inherited)
}

// refuteLeave ends the doubt about a server that answers a poll though it should have left by then.
func (p *Placer) refuteLeave(s *server, m PollResult, now time.Time) {
	switch {
	case s.leftAt.IsZero():
	case m.Sent.Sub(s.leftAt) < leaveTime:
		s.retryAt = now.Add(leavePollInterval)
	default:
		s.leftAt = time.Time{}
		p.event(Event{Kind: EventAnswers, Server: s.Name, Reason: "a former process has left"})
	}
}

// Leaving reports whether polls haven't decided yet whether a server has left.
func (p *Placer) Leaving(name string) bool {
	s, ok := p.servers[name]
	return ok && !s.leftAt.IsZero()
}
