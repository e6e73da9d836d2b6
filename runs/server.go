package runs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	maxPollWait    = 250 * time.Millisecond // longest wait for an end: three polls fit into a lease
	unansweredTime = 3 * time.Second        // after an unanswered order, in which polls are kept short

	// renewBelow is the remaining lease below which a lease is renewed immediately, if an
	// entry host has confirmed its wait: a poll waits for less.
	renewBelow = 400 * time.Millisecond

	minPollWait     = 20 * time.Millisecond  // so that the server of an overdue run isn't polled continuously
	pollSlack       = 10 * time.Millisecond  // a poll waits this long after the expected end of a run
	pollRetry       = 20 * time.Millisecond  // before a server that left a poll unanswered is polled again
	silentPollRetry = 100 * time.Millisecond // the same for a silent server

	// silentAfter is how long a server leaves polls unanswered before it is silent:
	// several polls in a row were lost.
	silentAfter = 350 * time.Millisecond

	stopRetry = 80 * time.Millisecond // between unanswered stops: longer than an answer may take

	// reportTimeout is how long after the last report or answer a server still gets tasks:
	// one report may be lost.
	reportTimeout = 2500 * time.Millisecond

	// leaveTime is how long a server may answer polls after the report that it leaves: it ends when that report is
	// acknowledged or its call times out. An answer to a later poll shows that a former process sent the report.
	leaveTime = 1200 * time.Millisecond

	// leavePollInterval is the time between polls of a server that is reported to leave: three fit into silentAfter.
	leavePollInterval = 100 * time.Millisecond

	noRoomPause     = 40 * time.Millisecond  // for a server that had no room
	unhealthyPause  = 500 * time.Millisecond // for a server that reports that it is unhealthy
	unansweredPause = 60 * time.Millisecond  // for a server that left an order unanswered, until a poll is answered
	unreadPause     = 500 * time.Millisecond // for a server that listed what can't be read: its runs can't be told to have vanished
)

const (
	// ReplicationTime is how long a new server isn't used unless every host that may
	// place next has confirmed that it knows of it. A lost placer is superseded in
	// less time, even if the core's leader is lost with it.
	ReplicationTime = 2500 * time.Millisecond

	// TableValidity is how long a table has all servers that its placer has used for
	// jobs that are handed to the next one. It is ReplicationTime, less the time in
	// which a task may start after its entry host has left that placer, on any two
	// hosts' clocks.
	TableValidity = ReplicationTime*hostRatePercent/100 - startWindow*100/hostRatePercent

	// hostRatePercent is the slowest rate of a host's steady clock relative to that of
	// another host. Like servers' clocks, one may be 2% slow and the other 2% fast.
	hostRatePercent = 96
)

// server is a backend server as known to the placer.
type server struct {
	model.Server
	inherited    bool            // from the table of an earlier placer, which may have started tasks on it
	verified     bool            // has answered a poll of this placer, or was inherited
	foundAt      time.Time       // when it was verified, zero if the placer began with it
	replicated   bool            // the next placer would know of it
	lastHeard    time.Time       // last report or answer
	polled       bool            // has answered a poll of this epoch since it restarted or the placer was stalled
	silent       bool            // polls have failed for at least silentAfter
	runs         map[string]*run // by task; all of them occupy resources
	used         model.Demand
	fence        uint64 // of the next order
	restartFence uint64 // least fence of the orders to the current process

	restartedAt time.Time // when a restart was first noticed, zero for the first process
	lateUntil   time.Time // until then a start without an answer may still be carried out
	leftAt      time.Time // when a leave was reported that polls haven't decided yet, zero for none

	clock      int64     // last known time of the server, in milliseconds
	clockAt    time.Time // when the answer with that time arrived
	lease      int64     // latest end of the leases that it may hold, on the server's clock
	maxGranted int64     // latest end of the leases that this placer gave

	cursor       uint64    // run ends up to this number are known
	cursorSent   uint64    // cursor of the last poll
	cursorAcked  uint64    // cursor of the last poll that was answered
	pollInFlight uint64    // latest poll in flight, 0 for none
	answeredPoll uint64    // latest poll that was answered
	pollNow      bool      // an order was left unanswered, or a stop was answered
	answeredAt   time.Time // last answer to a poll
	retryAt      time.Time

	speed       *kindSpeed // of its kind
	factor      float64    // measured over declared run times on it, refreshed by each Tick
	pausedUntil time.Time
	health      health
}

// run is one run of a task on a server.
type run struct {
	task        *task     // nil for an orphan
	leaseEnd    time.Time // latest end of an orphan's lease
	orphanedAt  time.Time // since when no job holds it
	name        string
	number      int
	server      *server
	state       runState
	sent        time.Time
	confirmedAt time.Time // when its start was answered or it was first listed
	listedAfter time.Time // a poll sent later lists the run unless it has ended; zero if no poll can tell
	dueAt       time.Time // when its stop is sent again, or until when a job may claim it
	expected    time.Duration
	demand      model.Demand
}

// startTime returns when the run started, as far as it is known: its end may be
// listed before its start is answered.
func (r *run) startTime() time.Time {
	if r.confirmedAt.IsZero() {
		return r.sent
	}
	return r.confirmedAt
}

// mayStillStart reports whether the run's start may still be carried out: neither it
// nor a stop was answered. The lease of a late start may count from its arrival.
func (r *run) mayStillStart() bool {
	return r.confirmedAt.IsZero() && r.state != stateStopped
}

// awaitsLateStart reports whether a start without an answer may still reach the server. An answer to
// its stop binds only the process that gave it, so the server is polled: the next process under its
// name is found within a poll's wait and gets a higher fence, which rejects the start.
func (s *server) awaitsLateStart(now time.Time) bool {
	return now.Before(s.lateUntil)
}

type runState int

const (
	stateStarting    runState = iota
	stateUnconfirmed          // its start got no answer; a poll shows whether it runs
	stateRunning
	stateStopping // until its stop is answered
	stateStopped  // until its end is listed
)

// TakeOver adds the servers that the placer begins with. They count as replicated:
// whoever has the placer's table knows them.
func (p *Placer) TakeOver(servers []model.Server, now time.Time) {
	for _, m := range servers {
		p.add(&server{Server: m, inherited: true, verified: true, lastHeard: now, replicated: true, runs: map[string]*run{}})
	}
}

// SetFormer sets the epoch of the previous placer.
func (p *Placer) SetFormer(former uint64) {
	p.former = former
}

// SetPartial states that other placers have other servers of the data centre.
func (p *Placer) SetPartial() {
	p.partial = true
}

// SetTableAsOf sets the time at which the previous placer is known to have had no
// servers other than those passed to TakeOver. It may have used others since.
func (p *Placer) SetTableAsOf(at time.Time) {
	p.tableAsOf = at
}

// tableCurrent reports whether the table has all servers that the previous placer may
// have used for a job that is handed over now.
func (p *Placer) tableCurrent(now time.Time) bool {
	return p.tableComplete && (p.tableAsOf.IsZero() || elapsed(p.tableAsOf, now) < TableValidity)
}

// AddServers adds servers of an earlier placer after this one began. A server that has only reported so
// far counts as inherited from then on: tasks may run on it. One that was reported at another address than
// the earlier placer used is replaced.
func (p *Placer) AddServers(servers []model.Server, now time.Time) {
	for _, m := range servers {
		if known, ok := p.servers[m.Name]; ok {
			if known.Address == m.Address {
				known.inherited = true
				continue
			}
			p.order = slices.DeleteFunc(slices.Clone(p.order), func(s *server) bool { return s == known })
		}
		p.add(&server{Server: m, inherited: true, verified: true, foundAt: now, lastHeard: now, runs: map[string]*run{}})
	}
}

// CompleteTable adds the servers of the previous placer's table, which are missing in
// this one. That placer has stopped, so all servers that it has used are known.
func (p *Placer) CompleteTable(servers []model.Server, now time.Time) {
	p.tableComplete, p.tableAsOf = true, time.Time{}
	p.AddServers(servers, now)
}

// NoteDraining records that a server drains, which a newer table shows. Its next report decides anew. A report of the same
// process that is older than the table doesn't revert it.
func (p *Placer) NoteDraining(m model.Server) {
	s, ok := p.servers[m.Name]
	if !ok || !m.Draining || s.Address != m.Address || !m.Newer(s.Server) {
		return
	}
	if s.Draining = true; s.Born == m.Born {
		s.Seq = m.Seq
	}
}

// MarkReplicated records that the next placer would know of a server.
func (p *Placer) MarkReplicated(name string) {
	if s, ok := p.servers[name]; ok {
		s.replicated = true
	}
}

// Verified reports whether a server has answered a poll of this placer or was in the table
// of an earlier one. Nothing was started on any other server, and what was reported of it
// may be wrong.
func (p *Placer) Verified(name string) bool {
	s, ok := p.servers[name]
	return ok && s.verified
}

// HasServer reports whether the table has a server. Nothing may run on a server that
// was removed.
func (p *Placer) HasServer(name string) bool {
	_, ok := p.servers[name]
	return ok
}

// Outdated reports whether a report is no newer than what the placer knows of the server: the latest report of
// the process that a report or an answer to a poll has shown. It is false for a server that isn't in the table.
func (p *Placer) Outdated(m model.Server) bool {
	s, ok := p.servers[m.Name]
	return ok && !m.Newer(s.Server)
}

// add puts a server into the table with a raised fence, since the table may have had
// a server of that name before.
func (p *Placer) add(s *server) {
	p.raiseFence(s)
	p.servers[s.Name] = s
	i, _ := slices.BinarySearchFunc(p.order, s, func(a, b *server) int { return strings.Compare(a.Name, b.Name) })
	p.order = slices.Insert(slices.Clone(p.order), i, s)
}

// inOrder returns the values of a map in the order of their keys, so that equal inputs
// lead to equal outputs.
func inOrder[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}

// Report processes a report that a server sent about itself. It returns false if the report
// doesn't count: a server on which runs are recorded, or may be found, doesn't move, because
// an answer from the new address would say nothing about them. A server that has restarted
// elsewhere reports again when the leases of its runs have expired.
func (p *Placer) Report(m model.Server, now time.Time) bool {
	p.noteInput(now)
	s, ok := p.servers[m.Name]
	switch {
	case !ok && m.Left:
		return true
	case !ok:
		p.add(&server{Server: m, lastHeard: now, runs: map[string]*run{}})
		p.event(Event{Kind: EventFound, Server: m.Name})
		return true
	case m.Left:
		s.reportLeft(now)
		return true
	case !m.Newer(s.Server):
		return true
	case m.Address != s.Address && (len(s.runs) > 0 || s.inherited && !s.polled):
		return false
	case m.Address != s.Address:
		p.removeServer(s, "reported another address")
		return p.Report(m, now)
	case m.Born != s.Born:
		p.serverRestarted(s, m.Born, now)
	}
	s.Server = m
	s.lastHeard = now
	return true
}

// serverRestarted records that a new process runs under the server's name. The runs
// ordered from the old process are kept until a poll shows which of them reached the
// new one.
func (p *Placer) serverRestarted(s *server, born int64, now time.Time) {
	s.Born, s.Seq, s.restartedAt = born, 0, now // each process numbers its reports from its start
	s.polled = false
	s.cursor, s.cursorSent, s.cursorAcked = 0, 0, 0
	s.clock, s.lease, s.maxGranted = 0, 0, 0
	s.pollInFlight, s.answeredPoll = 0, p.pollSeq // polls in flight may have reached the old process
	s.health = health{}
	s.leftAt = time.Time{} // the former process sent it
	p.raiseFence(s)
	s.restartFence = s.fence
	p.event(Event{Kind: EventLost, Server: s.Name, Reason: "restarted"})
}

// removeServer removes a server whose process has ended, and all its runs.
func (p *Placer) removeServer(s *server, reason string) {
	delete(p.servers, s.Name)
	p.order = slices.DeleteFunc(slices.Clone(p.order), func(other *server) bool { return other == s })
	p.event(Event{Kind: EventLost, Server: s.Name, Reason: reason})
	for _, r := range inOrder(s.runs) {
		p.loseRun(r, reason)
	}
}

// clockNow returns a lower bound of the server's current time: the last known time
// advanced at minClockRate.
func (s *server) clockNow(now time.Time) int64 {
	return s.clock + int64(minClockRate*float64(now.Sub(s.clockAt).Milliseconds()))
}

// learnClock records the server's time from an answer, 0 if it had none.
func (s *server) learnClock(clock int64, now time.Time) {
	s.lastHeard = now
	if clock > 0 {
		s.clock, s.clockAt = clock, now
	}
}

// grant returns the end of a lease given now on the server's clock, 0 for none. None is
// given while the clock isn't known, nothing runs on the server, or one of its runs has
// no entry host that is known to wait. A silent server gets none either, so that its
// runs can be started elsewhere once their lease has expired.
func (s *server) grant(now time.Time) int64 {
	end := s.grantable(now)
	if end <= 0 {
		return 0
	}
	s.lease, s.maxGranted = max(s.lease, end), max(s.maxGranted, end)
	return end
}

func (s *server) grantable(now time.Time) int64 {
	if s.clock == 0 || s.silent || len(s.runs) == 0 {
		return 0
	}
	remaining := s.leaseLimit(now.Add(leaseTime)).Sub(now)
	if remaining <= 0 {
		return 0
	}
	return s.clockNow(now) + remaining.Milliseconds()
}

// leaseShort reports whether the server's lease ends soon and can be renewed
// substantially, because an entry host has confirmed its wait again.
func (s *server) leaseShort(now time.Time) bool {
	return len(s.runs) > 0 && s.polled && s.maxGranted-s.clockNow(now) < renewBelow.Milliseconds() &&
		s.grantable(now)-s.maxGranted > renewBelow.Milliseconds()/2
}

// leasesLapsed reports whether every lease given has expired on the server's clock.
func (s *server) leasesLapsed(now time.Time) bool {
	return s.clock > 0 && s.clockNow(now) > s.lease+leaseSlack.Milliseconds()
}

// reserve reserves resources for a run.
func (s *server) reserve(r *run) {
	s.runs[r.name] = r
	s.used.CPU += r.demand.CPU
	s.used.MemoryMB += r.demand.MemoryMB
	s.used.Accelerators += r.demand.Accelerators
}

// unreserve releases the resources of a run.
func (s *server) unreserve(r *run) {
	if s.runs[r.name] != r {
		return
	}
	delete(s.runs, r.name)
	s.used.CPU -= r.demand.CPU
	s.used.MemoryMB -= r.demand.MemoryMB
	s.used.Accelerators -= r.demand.Accelerators
}

func (s *server) hasRoom(d model.Demand) bool {
	return s.used.CPU+d.CPU <= s.CPU && s.used.MemoryMB+d.MemoryMB <= s.MemoryMB &&
		s.used.Accelerators+d.Accelerators <= s.Accelerators
}

// usable reports whether the server may get a task now. A restarted process knows no
// fence, so a superseded placer may be the first to poll it. It therefore gets no task
// for startWindow, after which the superseded placer can't start jobs that the next
// placer has.
func (s *server) usable(now time.Time) bool {
	return s.polled && s.verified && s.leftAt.IsZero() && (s.replicated || now.Sub(s.foundAt) >= ReplicationTime) && !s.silent && !s.Draining && now.Sub(s.lastHeard) < reportTimeout &&
		now.Sub(s.restartedAt) > startWindow &&
		!now.Before(s.pausedUntil) && s.health.allows(len(s.runs), now)
}

// tickServer ends runs that a silent server can no longer hold, repeats stops, stops
// stuck runs and removes an expired server.
func (p *Placer) tickServer(s *server, now time.Time) {
	if s.silent && len(s.runs) > 0 && s.leasesLapsed(now) {
		for _, r := range inOrder(s.runs) {
			if !r.mayStillStart() || now.Sub(r.sent) > maxOrderDelay {
				p.loseRun(r, "lease over")
			}
		}
	}
	if reason := s.endedReason(now); reason != "" {
		p.removeServer(s, reason)
		return
	}
	p.tickRuns(s, now)
}

// tickRuns repeats the stops of a server's runs and stops stuck runs.
func (p *Placer) tickRuns(s *server, now time.Time) {
	for _, r := range inOrder(s.runs) {
		switch {
		case r.state == stateStopping && !now.Before(r.dueAt):
			p.sendStop(r, now)
		case r.state == stateRunning && p.shouldStop(r, now):
			if r.task == nil {
				p.stop(r, "claimed by no one", now)
				continue
			}
			p.eject(s, "stands still", now)
			p.stop(r, "stands still", now)
		}
	}
}

// endedReason returns why a server without runs counts as ended, empty if it doesn't.
func (s *server) endedReason(now time.Time) string {
	switch {
	case len(s.runs) > 0:
		return ""
	case s.hasLeft(now):
		return "left"
	case now.Sub(s.lastHeard) > serverExpiry && !s.awaitsLateStart(now):
		return "not heard of"
	}
	return ""
}

// idle reports whether there is nothing to learn from a poll of the server.
func (s *server) idle(now time.Time) bool {
	return len(s.runs) == 0 && s.polled && !s.silent && s.cursorAcked == s.cursor && s.leftAt.IsZero() && !s.awaitsLateStart(now)
}

// pollServers sends the polls that are due: to servers that have runs or ends to be
// acknowledged, that are silent, that haven't been polled yet, that are reported to
// leave, or that may carry out a start late.
func (p *Placer) pollServers(now time.Time) {
	for _, s := range p.order {
		urgent := s.pollNow || s.leaseShort(now)
		if !urgent && (s.idle(now) || s.pollInFlight != 0 || now.Before(s.retryAt)) {
			continue
		}
		p.pollSeq++
		poll := Poll{Server: s.Server, Seq: p.pollSeq, Cursor: s.cursor, Fence: s.fence, Deadline: s.grant(now)}
		if (len(s.runs) > 0 || s.awaitsLateStart(now)) && s.polled && !s.silent && !urgent {
			poll.Wait = maxPollWait
			if now.Before(p.unansweredUntil) {
				poll.Wait = s.pollWait(now)
			}
		}
		s.pollInFlight, s.cursorSent, s.pollNow = p.pollSeq, s.cursor, false
		p.out.Polls = append(p.out.Polls, poll)
	}
}

// pollWait returns how long a poll waits: until shortly after the next run should have
// ended, so that a lost poll is noticed soon after.
func (s *server) pollWait(now time.Time) time.Duration {
	wait := maxPollWait
	for _, r := range s.runs {
		if r.state == stateStarting || r.state == stateRunning {
			remaining := r.sent.Add(r.expected + pollSlack).Sub(now)
			if remaining < 0 {
				remaining = r.expected / 4 // the run is overdue
			}
			wait = min(wait, remaining)
		}
	}
	return max(wait, minPollWait).Truncate(time.Millisecond)
}
