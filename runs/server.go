package runs

import (
	"maps"
	"slices"
	"strings"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	maxPollWait     = 250 * time.Millisecond  // a look waits so long for an end: three fit into a lease
	unansweredTime  = 3 * time.Second         // after an order without an answer, in which looks are kept short
	renewBelow      = 400 * time.Millisecond  // a lease with less left is prolonged at once when it may be: a look waits for less
	minPollWait     = 20 * time.Millisecond   // a look waits at least so long, so that a run that is overdue isn't asked for all the time
	pollSlack       = 10 * time.Millisecond   // after the expected end of a run
	pollRetry       = 20 * time.Millisecond   // before a server that left a look unanswered is looked at again
	silentPollRetry = 100 * time.Millisecond  // the same once it is silent
	silentAfter     = 350 * time.Millisecond  // without an answer, while looks fail, a server is silent: some looks in a row were lost
	stopRetry       = 80 * time.Millisecond   // between stops that got no answer: longer than one may take
	reportTimeout   = 2500 * time.Millisecond // a server that nobody heard of for longer gets no task: one report may be lost
	noRoomPause     = 40 * time.Millisecond   // for a server that had no room
	unhealthyPause  = 500 * time.Millisecond  // for a server that says it is unhealthy
	unansweredPause = 60 * time.Millisecond   // for a server that left an order unanswered, until a look tells more
)

const (
	// SpreadTime is how long a new server isn't used unless every host that may
	// place next has confirmed that it knows of it. A placer that is lost is
	// superseded in less, with its core's leader too.
	ReplicationTime = 2500 * time.Millisecond

	// TableTime is how long a table has all servers that its placer has used for
	// jobs that are handed to the next one: SpreadTime, less the time in which a
	// task may begin after its host has left that placer, on any two clocks.
	TableValidity = ReplicationTime*hostRatePercent/100 - startWindow*100/hostRatePercent

	hostRatePercent = 96 // percent: the steady clock of one host may be 2% slow as servers' clocks, and that of another one as fast
)

// server is a backend server as the placer knows it.
type server struct {
	model.Server
	foundAt      time.Time       // when this placer heard of it first, or of its address
	replicated   bool            // the next placer would know of it
	lastHeard    time.Time       // last report or answer
	polled       bool            // looked at under this epoch
	silent       bool            // looks have failed for a while
	runs         map[string]*run // by task; all of them take room
	used         model.Demand
	fence        uint64 // of the next order
	restartFence uint64 // least fence of the orders to the process that runs now

	restartedAt time.Time // when its process was first heard of, if it isn't the first

	clock      int64     // of the server
	clockAt    time.Time // when the answer that told it came
	lease      int64     // latest end of the leases that it may hold, on the server's clock
	maxGranted int64     // end of the longest lease that this placer gave

	cursor       uint64    // ends up to it are known
	cursorSent   uint64    // the cursor of the last look
	cursorAcked  uint64    // the cursor of the last look that was answered
	pollInFlight uint64    // latest look in flight, 0 for none
	lastPoll     uint64    // latest look that was answered
	pollNow      bool      // an order was left unanswered, or a stop answered
	answeredAt   time.Time // last answer to a look
	retryAt      time.Time

	speed       *kindSpeed // of its kind
	factor      float64    // run times on it over declared ones, refreshed with each Tick
	pausedUntil time.Time
	health      health
}

// run is one run of a task on a server.
type run struct {
	task        *task     // nil when no job holds the run
	leaseEnd    time.Time // of its lease at the latest, when no job holds it
	name        string
	number      int
	server      *server
	state       runState
	sent        time.Time
	confirmedAt time.Time // when its start was answered
	listedAfter time.Time // a look sent later lists it, or it has ended
	dueAt       time.Time // when its stop is to be sent again, or until when a job may claim it
	expected    time.Duration
	demand      model.Demand
}

// startedAt returns when the run began, as far as it is known: its end may be
// listed before its start is answered.
func (r *run) startTime() time.Time {
	if r.confirmedAt.IsZero() {
		return r.sent
	}
	return r.confirmedAt
}

// mayBegin tells whether the run's start may still be carried out: it had no answer
// and no stop was answered. A late start may count its lease from then.
func (r *run) mayStillStart() bool {
	return r.confirmedAt.IsZero() && r.state != stateStopped
}

type runState int

const (
	stateStarting    runState = iota
	stateUnconfirmed          // its start got no answer; a look tells whether it runs
	stateRunning
	stateStopping // until its stop is answered
	stateStopped  // until its end is listed
)

// TakeOver notes the servers that the placer begins with. Whoever has its table
// knows of them.
func (p *Placer) TakeOver(servers []model.Server, now time.Time) {
	for _, m := range servers {
		p.add(&server{Server: m, lastHeard: now, replicated: true, runs: map[string]*run{}})
	}
}

// Follow names the epoch of the placer before.
func (p *Placer) SetFormer(former uint64) {
	p.former = former
}

// AsOf tells when the placer before is known to have had no other servers than
// those that TakeOver names. It may have used others since.
func (p *Placer) SetTableAsOf(at time.Time) {
	p.tableAsOf = at
}

// covers tells whether the servers are known that the placer before may have used
// for a job that is handed over now.
func (p *Placer) tableCurrent(now time.Time) bool {
	return p.tableComplete && (p.tableAsOf.IsZero() || elapsed(p.tableAsOf, now) < TableValidity)
}

// Learn notes servers of an earlier placer after this one began.
func (p *Placer) AddServers(servers []model.Server, now time.Time) {
	for _, m := range servers {
		p.add(&server{Server: m, foundAt: now, lastHeard: now, runs: map[string]*run{}})
	}
}

// Inherit is Learn with the table of the placer before, which has stopped: now all
// servers are known that it has used.
func (p *Placer) CompleteTable(servers []model.Server, now time.Time) {
	p.tableComplete, p.tableAsOf = true, time.Time{}
	p.AddServers(servers, now)
}

// Spread tells that the next placer would know of a server.
func (p *Placer) MarkReplicated(name string) {
	if s, ok := p.servers[name]; ok {
		s.replicated = true
	}
}

// Has tells whether a server hasn't been given up: nothing may run on one that has.
func (p *Placer) HasServer(name string) bool {
	_, ok := p.servers[name]
	return ok
}

// add puts a server into the table. One of that name may have been in it before.
func (p *Placer) add(s *server) {
	p.raiseFence(s)
	p.servers[s.Name] = s
	i, _ := slices.BinarySearchFunc(p.order, s, func(a, b *server) int { return strings.Compare(a.Name, b.Name) })
	p.order = slices.Insert(slices.Clone(p.order), i, s)
}

// inOrder returns the values of a map by their names, so that equal inputs lead
// to equal outputs.
func inOrder[T any](m map[string]T) []T {
	list := make([]T, 0, len(m))
	for _, name := range slices.Sorted(maps.Keys(m)) {
		list = append(list, m[name])
	}
	return list
}

// Report notes what a server says of itself.
func (p *Placer) Report(m model.Server, now time.Time) {
	p.noteInput(now)
	s, ok := p.servers[m.Name]
	switch {
	case !ok && m.Left:
		return
	case !ok:
		s = &server{Server: m, foundAt: now, runs: map[string]*run{}}
		p.add(s)
		p.event(Event{Kind: EventFound, Server: m.Name})
	case m.Left:
		s.Draining = true // what runs on it still, its looks and its lease tell
		return
	case !m.Newer(s.Server):
		return
	case m.Born != s.Born:
		p.serverRestarted(s, m.Born, now)
	}
	if m.Address != s.Address {
		s.foundAt, s.replicated = now, false // the next placer would look elsewhere
	}
	s.Server = m
	s.lastHeard = now
}

// reborn notes that another process runs under the server's name. What it has
// been ordered to run is kept until a look tells which of it reached the new
// process.
func (p *Placer) serverRestarted(s *server, born int64, now time.Time) {
	s.Born, s.restartedAt = born, now
	s.polled = false
	s.cursor, s.cursorSent, s.cursorAcked = 0, 0, 0
	s.clock, s.lease, s.maxGranted = 0, 0, 0
	s.pollInFlight, s.lastPoll = 0, p.pollSeq // looks on their way may have reached the process before
	s.health = health{}
	p.raiseFence(s)
	s.restartFence = s.fence
	p.event(Event{Kind: EventLost, Server: s.Name, Reason: "restarted"})
}

// lose forgets a server whose process has ended, and with it all its runs.
func (p *Placer) removeServer(s *server, reason string) {
	delete(p.servers, s.Name)
	p.order = slices.DeleteFunc(slices.Clone(p.order), func(other *server) bool { return other == s })
	p.event(Event{Kind: EventLost, Server: s.Name, Reason: reason})
	for _, r := range inOrder(s.runs) {
		p.loseRun(r, reason)
	}
}

// clockNow returns the server's clock, not later than it is.
func (s *server) clockNow(now time.Time) int64 {
	return s.clock + int64(minClockRate*float64(now.Sub(s.clockAt).Milliseconds()))
}

// learnClock takes the time that an answer told.
func (s *server) learnClock(clock int64, now time.Time) {
	s.lastHeard = now
	if clock > 0 {
		s.clock, s.clockAt = clock, now
	}
}

// grant returns the end of a lease given now, 0 for none: the clock isn't known,
// the server is silent, so that its runs can begin elsewhere when their lease is
// over, nothing runs there, or something that nobody is known to wait for.
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

// short tells whether the lease of what runs on the server ends soon and may be
// prolonged, since somebody waits for it again.
func (s *server) leaseShort(now time.Time) bool {
	return len(s.runs) > 0 && s.polled && s.maxGranted-s.clockNow(now) < renewBelow.Milliseconds() &&
		s.grantable(now)-s.maxGranted > renewBelow.Milliseconds()/2
}

// lapsed tells whether every lease given is over on the server's clock.
func (s *server) leasesLapsed(now time.Time) bool {
	return s.clock > 0 && s.clockNow(now) > s.lease+leaseSlack.Milliseconds()
}

// take books room for a run.
func (s *server) reserve(r *run) {
	s.runs[r.name] = r
	s.used.CPU += r.demand.CPU
	s.used.MemoryMB += r.demand.MemoryMB
	s.used.Accelerators += r.demand.Accelerators
}

// free gives the room of a run back.
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

// usable tells whether the server may get a task now. A process that was restarted
// knows no fence, so a placer that has been superseded may be the first to look at
// it. After freshTime none of that one's jobs that the next placer has begins.
func (s *server) usable(now time.Time) bool {
	return s.polled && (s.replicated || now.Sub(s.foundAt) >= ReplicationTime) && !s.silent && !s.Draining && now.Sub(s.lastHeard) < reportTimeout &&
		now.Sub(s.restartedAt) > startWindow &&
		!now.Before(s.pausedUntil) && s.health.allows(len(s.runs), now)
}

// tickServer gives up what a silent server can't hold any more and repeats stops.
func (p *Placer) tickServer(s *server, now time.Time) {
	if s.silent && len(s.runs) > 0 && s.leasesLapsed(now) {
		for _, r := range inOrder(s.runs) {
			if !r.mayStillStart() || now.Sub(r.sent) > maxOrderDelay {
				p.loseRun(r, "lease over")
			}
		}
	}
	if len(s.runs) == 0 && now.Sub(s.lastHeard) > serverExpiry {
		p.removeServer(s, "not heard of")
		return
	}
	for _, r := range inOrder(s.runs) {
		switch {
		case r.state == stateStopping && !now.Before(r.dueAt):
			p.sendStop(r, now)
		case r.state == stateRunning && p.isStuck(r, now):
			if r.task == nil {
				p.stop(r, "claimed by no one", now)
				continue
			}
			p.eject(s, "stands still", now)
			p.stop(r, "stands still", now)
		}
	}
}

// lookAround sends the looks that are due: at servers that run something, that
// have ends to be acknowledged, or that are not known yet.
func (p *Placer) pollServers(now time.Time) {
	for _, s := range p.order {
		idle := len(s.runs) == 0 && s.polled && !s.silent && s.cursorAcked == s.cursor
		urgent := s.pollNow || s.leaseShort(now)
		if !urgent && (idle || s.pollInFlight != 0 || now.Before(s.retryAt)) {
			continue
		}
		p.pollSeq++
		look := Poll{Server: s.Server, Seq: p.pollSeq, Cursor: s.cursor, Fence: s.fence, Deadline: s.grant(now)}
		if len(s.runs) > 0 && s.polled && !s.silent && !urgent {
			look.Wait = maxPollWait
			if now.Before(p.unansweredUntil) {
				look.Wait = s.pollWait(now)
			}
		}
		s.pollInFlight, s.cursorSent, s.pollNow = p.pollSeq, s.cursor, false
		p.out.Polls = append(p.out.Polls, look)
	}
}

// nextEnd returns how long a look waits: until the next run should have ended,
// so that a look that gets lost is missed soon after.
func (s *server) pollWait(now time.Time) time.Duration {
	wait := maxPollWait
	for _, r := range s.runs {
		if r.state == stateStarting || r.state == stateRunning {
			remaining := r.sent.Add(r.expected + pollSlack).Sub(now)
			if remaining < 0 {
				remaining = r.expected / 4 // it is overdue
			}
			wait = min(wait, remaining)
		}
	}
	return max(wait, minPollWait).Truncate(time.Millisecond)
}
