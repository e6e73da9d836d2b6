package stand

import (
	"context"
	"net"
	"net/http"
	"time"

	"dogwoodrock.example/dogwoodrock/kernel"
)

const (
	mailboxDepth     = 4096
	renewalsPerLease = 3 // announcements per lease duration
	shutdownTimeout  = 5 * time.Second
	headerTimeout    = 10 * time.Second
)

// server is the state of one stand-in server. Only its kernel task accesses it.
type server struct {
	cfg       Config
	behaviour Behaviour
	onCrash   func()
	observe   func(c Call, runs bool)

	registry     *TaskRegistry
	waitingCalls map[string][]callMsg // calls waiting for a running task, by task id
	deadlines    map[string]time.Time
	abandoned    map[string]bool

	http              *http.Server
	address           string
	connections       int
	announcer         announcer
	crashed           bool
	announcingStopped bool
}

// service returns the kernel service of this server.
func (s *server) service() kernel.Service {
	return kernel.Service{
		Name:   serviceName(s.cfg.Name),
		Depth:  mailboxDepth,
		Every:  s.cfg.Lease / renewalsPerLease,
		Start:  s.start,
		Handle: s.handle,
		Tick:   s.announce,
		Drain:  s.drain,
		Stop:   s.stop,
	}
}

func serviceName(name string) string {
	return "stand/" + name
}

func (s *server) start(t *kernel.Task) error {
	ln, err := t.Env.Listen(t.Context(), "tcp", s.cfg.Listen)
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	s.announcer = newAnnouncer(s.cfg, s.address, t.Env)
	s.http = &http.Server{
		Handler:           newFront(t.Self, s.silent()),
		ReadHeaderTimeout: headerTimeout,
		ConnState: func(_ net.Conn, state http.ConnState) {
			reportConnection(t.Self, state)
		},
	}
	t.Go(func(context.Context) { _ = s.http.Serve(ln) })
	s.announce(t)
	return nil
}

func reportConnection(self kernel.Ref, state http.ConnState) {
	switch state {
	case http.StateNew:
		self.Reply(connectionMsg{Delta: 1})
	case http.StateClosed, http.StateHijacked:
		self.Reply(connectionMsg{Delta: -1})
	}
}

func (s *server) handle(t *kernel.Task, msg any) {
	switch m := msg.(type) {
	case callMsg:
		s.call(t, m)
	case revokeMsg:
		s.answerRevoke(m)
	case endedMsg:
		s.finish(t, m.Task)
	case abandonedMsg:
		s.abandoned[m.Task] = true
	case countsMsg:
		m.Reply(Sum(s.registry.Counts))
	case addressMsg:
		m.Reply(s.address)
	case connectionMsg:
		s.connections += m.Delta
		s.registry.Counts.PeakConnections = max(s.registry.Counts.PeakConnections, s.connections)
	case announcedMsg:
		s.announcer.inFlight = false
		if m.Accepted {
			s.registry.Counts.Announced++
		}
	case leaveMsg:
		s.announcer.leave(t)
	case leaseReleasedMsg:
		s.announcer.released = true
	case stopAnnouncingMsg:
		s.announcingStopped = true
	case crashMsg:
		s.crash()
	}
}

func (s *server) call(t *kernel.Task, m callMsg) {
	if s.behaviour.Refuse != nil && s.behaviour.Refuse(m.Call) {
		_, r := s.registry.refuse(m.Call, "this backend server refuses everything")
		s.registry.Counts.Calls++
		m.Reply(r)
		return
	}
	verdict, r := s.registry.Admit(m.Call)
	switch verdict {
	case VerdictStart:
		s.waitingCalls[m.Call.Task] = []callMsg{m}
		s.run(t, m.Call)
	case VerdictJoin:
		s.waitingCalls[m.Call.Task] = append(s.waitingCalls[m.Call.Task], m)
	default:
		s.answer(m, r)
	}
}

// run schedules the end, or the crash, of a task that has just started.
func (s *server) run(t *kernel.Task, c Call) {
	s.observe(c, true)
	d := time.Duration(float64(ParseWork(c.Body).RunTime) / s.cfg.Speed)
	if s.behaviour.RunTime != nil {
		d = s.behaviour.RunTime(c, d)
	}
	if c.Deadline > 0 {
		s.deadlines[c.Task] = t.Env.Now().Add(c.Deadline)
	}
	if s.behaviour.Crash != nil && s.behaviour.Crash(s.registry.Counts.Total) {
		t.After(d/2, crashMsg{})
	}
	t.After(d, endedMsg{Task: c.Task})
}

func (s *server) finish(t *kernel.Task, task string) {
	calls := s.waitingCalls[task]
	delete(s.waitingCalls, task)
	s.observe(calls[0].Call, false)
	r := s.taskResult(calls[0].Call)
	s.registry.Complete(task, r)
	if s.late(t, task) {
		s.registry.Counts.Late++
	}
	delete(s.deadlines, task)
	delete(s.abandoned, task)
	for _, m := range calls {
		s.answer(m, r)
	}
}

func (s *server) taskResult(c Call) Result {
	r := Result{Task: c.Task, Digest: c.Digest, Status: StatusDone, Result: ParseWork(c.Body).Result}
	if reason := ParseWork(c.Body).Fail; reason != "" {
		r.Status, r.Result, r.Reason = StatusFailed, "", reason
	}
	if s.behaviour.Answer != nil {
		return s.behaviour.Answer(r)
	}
	return r
}

func (s *server) late(t *kernel.Task, task string) bool {
	deadline, ok := s.deadlines[task]
	return s.abandoned[task] || ok && t.Env.Now().After(deadline)
}

func (s *server) answer(m callMsg, r Result) {
	if !s.silent() {
		m.Reply(r)
	}
}

func (s *server) answerRevoke(m revokeMsg) {
	status := s.registry.Revoke(m.Task)
	if !s.silent() {
		m.Reply(status)
	}
}

func (s *server) silent() bool {
	return s.behaviour.Silent != nil && s.behaviour.Silent()
}

// crash drops all connections without answering, as the end of a process does.
func (s *server) crash() {
	s.crashed = true
	s.onCrash()
	_ = s.http.Close()
}

func (s *server) announce(t *kernel.Task) {
	if !s.crashed && !s.announcingStopped {
		s.announcer.renew(t)
	}
}

func (s *server) drain(t *kernel.Task) bool {
	if s.crashed {
		return true
	}
	s.announcer.leave(t)
	s.registry.Stopping = s.announcer.released
	return s.announcer.released && s.registry.Running() == 0
}

func (s *server) stop(t *kernel.Task) {
	if s.crashed || s.silent() || t.Context().Err() != nil {
		_ = s.http.Close()
		return
	}
	ctx, cancel := context.WithTimeout(t.Context(), shutdownTimeout)
	defer cancel()
	if s.http.Shutdown(ctx) != nil {
		_ = s.http.Close()
	}
}
