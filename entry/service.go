package entry

import (
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/rooms"
	"dogwoodrock.example/dogwoodrock/routes"
)

const (
	// tickInterval applies while requests are open: a third of answerGrace.
	tickInterval = 50 * time.Millisecond

	// idleTick applies while no requests are open. It bounds the delay of pulses and
	// renewals.
	idleTick = pulseInterval / 2

	coreTimeout   = 500 * time.Millisecond // without an answer of the leader, until all hosts of the core are asked
	pulseInterval = 200 * time.Millisecond

	// placerTimeout is the time from the first unanswered pulse until a placer counts as
	// silent. It tolerates two lost messages.
	placerTimeout = 3 * pulseInterval

	// parkTimeout is how long a job waits for the next placer of the own data centre
	// before it goes to another one: as long as the core waits after an election.
	parkTimeout = 300 * time.Millisecond

	// routesGrace is how long a process without routes takes them from the core's leader only. A
	// partitioned host of the core may not know which routes were withdrawn since; an election
	// takes less.
	routesGrace = 2 * time.Second

	// answerGrace is the time after a job's deadline in which the placer's own answer
	// may still arrive.
	answerGrace = 150 * time.Millisecond

	// withdrawalRetention is how long pulses list a withdrawal: the reliable link may
	// repeat the handover before it for up to 2.6 s.
	withdrawalRetention = 3 * time.Second
)

// Config configures a JobService.
type Config struct {
	Self        string // name of this host
	DataCentre  string
	Incarnation uint64
	Capacity    int64    // processor time, thousandths of a core
	Seeds       []string // hosts of the core, asked while no leader answers
	Balance     rooms.Balance

	MessageBytes int64 // size of the largest message that this host receives
}

// Hooks are the seams for events and metrics.
type Hooks struct {
	RoutesInForce  func(version uint64)
	RoutesRejected func(version uint64, err error) // committed routes that can't be read
	CancelRefused  func(reason string)             // a cancel that isn't acknowledged
	PlacerKnown    func(p model.Placement)
	Evacuated      func(order model.Evacuation, version uint64) // a change of the evacuated data centres, once for each
	CoreReached    func(reached bool, leader string)
	PlacerReached  func(reached bool, host string, epoch uint64)
	JobTaken       func(job Submit, route routes.Route, placer string, epoch uint64)
	JobRehanded    func(job, placer string, epoch uint64)
	JobMoved       func(reason MoveReason)
	JobAway        func(a Away) // with the inputs, beside JobMoved
	JobAnswered    func(r JobResult)
	CallerLeft     func(r JobResult, checked bool) // r has no Outcome; checked if this host found the connection closed
	CallerGone     func(job string)                // the caller had disconnected before its request was read
}

// JobResult describes how a request for a job ended on its entry host.
type JobResult struct {
	Job     string
	Route   string
	Placer  string // host that had the job last, empty for none
	Outcome Outcome
	Took    time.Duration
}

// JobService holds the open requests of an entry host.
type JobService struct {
	Config
	Parse func(source []byte) (routes.Document, error)
	Hooks Hooks
	Send  func(to, service string, body any) error
	Now   func() time.Time

	routeTable   *routes.Table // nil before the first routes
	routesSince  time.Time
	placements   map[model.ShardKey]model.Placement
	shards       map[string]int          // number of shards by data centre
	placers      map[string]*placerState // by host, for its newest placement
	jobs         map[string]*openJob
	lastHandover uint64                  // number of the latest handover
	withdrawals  map[string][]withdrawal // recent ones, by the placer's host
	tables       []serverTable           // of the own data centre, by shard
	rooms        rooms.Reports           // of the own data centre
	elsewhere    rooms.Elsewhere         // of other data centres
	ownRoom      ownRoom                 // of the shard that this host places
	renewals     renewals
	lastPulse    uint64 // number of the latest pulse
	evacuations  evacuations
	cancels      map[uint64]*pendingCancel
	lastCancel   uint64                  // number of the latest cancel
	cancelled    map[string]cancelledJob // jobs that were cancelled recently, by id

	core          coreMembers
	leader        string
	nextRenew     time.Time
	leaderContact time.Time // latest answer of the core's leader, shifted by the stalls since
	leaderHeard   time.Time // the same, not shifted
	leaderReached bool
	coreContact   time.Time // latest answer of any host of the core, shifted like leaderContact
	leaving       bool
	leaveDeadline time.Time
	nextPulse     time.Time
	large         bool      // the own data centre has more than fleet.SmallDataCentre entry hosts
	pulsesHeld    bool      // several placements are being applied, after which the pulses are sent once
	pulsesDue     bool      // one of them was new
	lastActive    time.Time // latest message or tick
	startedAt     time.Time // of this process
}

// placerState is the state of a placer as its answers to pulses show it.
type placerState struct {
	key             model.ShardKey
	epoch           uint64
	incarnation     uint64
	unansweredSince time.Time // first pulse that it hasn't answered, zero for none
	silent          bool
	idle            bool          // the host doesn't place under this epoch
	stamp           time.Duration // latest that it sent under this epoch, 0 for none
	sentPulses      []sentPulse   // recent ones
	measured        uint64        // number of the pulse whose answer was last included in roundTrip
	roundTrip       time.Duration // mean, of a placer of another data centre or on this host, 0 if unknown
	every           time.Duration // between pulses while this host has no job there, 0 for pulseInterval
	pulsedAt        time.Time     // when the latest pulse was sent
}

// sentPulse is a pulse that was sent to a placer.
type sentPulse struct {
	number uint64
	sentAt time.Time
}

// withdrawal is the withdrawal of a job from a placer.
type withdrawal struct {
	message msgs.JobWithdraw
	sentAt  time.Time
}

// unavailable reports whether no job can be handed over to the placer, which is nil if it
// was replaced and nothing is known of it any more.
func (s *placerState) unavailable() bool {
	return s == nil || s.silent || s.idle
}

// Service returns the JobService as a kernel service that holds at most depth requests.
func (n *JobService) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServiceEntry,
		Depth: depth,
		Every: tickInterval,
		Pace:  n.interval,
		Start: func(t *kernel.Task) error {
			n.Now = t.Env.Now
			connect(t)
			n.Start()
			return nil
		},
		Handle: func(_ *kernel.Task, msg any) { n.Handle(msg) },
		Tick:   func(*kernel.Task) { n.Tick() },
		Drain:  func(*kernel.Task) bool { return len(n.jobs) == 0 && len(n.cancels) == 0 },
	}
}

// interval returns the time until the next tick.
func (n *JobService) interval() time.Duration {
	if len(n.jobs) > 0 || len(n.cancels) > 0 || n.leaving {
		return tickInterval
	}
	return idleTick
}

// Start initializes a JobService without routes.
func (n *JobService) Start() {
	n.placements = map[model.ShardKey]model.Placement{}
	n.shards = map[string]int{}
	n.placers = map[string]*placerState{}
	n.jobs = map[string]*openJob{}
	n.cancelled, n.cancels = map[string]cancelledJob{}, map[uint64]*pendingCancel{}
	n.lastCancel = uint64(uint32(n.Incarnation)) << 20 // answers to a previous process have other numbers
	n.withdrawals = map[string][]withdrawal{}
	n.startedAt = n.Now()
	n.leaderContact, n.leaderHeard, n.lastActive = n.startedAt, n.startedAt, n.startedAt
	n.lastPulse = uint64(uint32(n.Incarnation)) // answers to a previous process of this host have other numbers
}

// Handle handles one message.
func (n *JobService) Handle(msg any) {
	now := n.Now()
	n.noteActivity(now)
	switch m := msg.(type) {
	case Submit:
		n.submit(m, now)
	case Abandon:
		n.abandon(m, now)
	case Cancel:
		n.cancel(m, now)
	case FindRoute:
		n.find(m)
	case Inspect:
		m.Reply(n.view(now))
	case Ready:
		m.Reply(n.ready())
	case Leave:
		n.leaving, n.leaveDeadline = true, m.Deadline
		n.renew(now)
	case Seeds:
		n.Seeds = m.Hosts
	case msgs.HostRenewed:
		n.handleRenewed(m, now)
	case msgs.CoreJoin, msgs.CoreJoined:
		n.handleMembers(m, now)
	case msgs.Pulsed:
		n.handlePulsed(m, now)
	case msgs.JobCancelled:
		n.handleJobCancelled(m)
	case placer.LateStart:
		n.sendBar(m)
	case msgs.JobEnded:
		n.handleJobEnded(m, now)
	}
}

// Tick sends renewals and pulses that are due, and handles jobs that have timed out.
func (n *JobService) Tick() {
	now := n.Now()
	n.noteActivity(now)
	n.evictWithdrawals(now)
	n.evictCancelled(now)
	n.expireCancels(now)
	if !now.Before(n.nextRenew) {
		n.renew(now)
	}
	if !now.Before(n.nextPulse) {
		n.sendPulses(now)
	}
	n.expireJobs(now)
	for _, j := range n.jobs {
		if j.parked {
			n.retryParked(j, now)
		}
	}
}

// expireJobs answers the jobs that their placers haven't ended in time.
func (n *JobService) expireJobs(now time.Time) {
	for _, j := range n.jobs {
		switch {
		case j.parked:
		case now.After(j.deadline.Add(answerGrace)):
			n.answerUnknown(j, "its placer has not told how it ended", now)
		case n.leaving && now.After(n.leaveDeadline):
			n.answerUnknown(j, "this host stops before it has ended", now)
		}
	}
}

// renew sends a heartbeat to the leader of the core, or to all of its hosts while the
// leader doesn't answer.
func (n *JobService) renew(now time.Time) {
	n.nextRenew = now.Add(fleet.RenewInterval)
	m := msgs.HostRenew{
		Host: n.Self, Incarnation: n.Incarnation, DataCentre: n.DataCentre, Capacity: n.Capacity, Leaving: n.leaving,
		Placed:       n.lastPlaced(),
		MessageBytes: n.MessageBytes,
	}
	if n.routeTable != nil {
		m.Routes = n.routeTable.Document.Version
	}
	n.reportTables(&m)
	n.reportRoom(&m, now)
	for _, host := range n.renewTargets(now) {
		_ = n.Send(host, msgs.ServiceCore, m) // sent again after RenewInterval
	}
}

// renewTargets returns the leader, or all known hosts of the core while no leader answers.
func (n *JobService) renewTargets(now time.Time) []string {
	if n.leader != "" && now.Sub(n.leaderContact) < coreTimeout {
		return []string{n.leader}
	}
	n.checkLeader(now)
	n.askNeighbours(now)
	return n.core.targets(n.Seeds, now)
}

func (n *JobService) checkLeader(now time.Time) {
	if n.leaderReached && now.Sub(n.leaderContact) >= coreTimeout {
		n.leaderReached = false
		n.Hooks.CoreReached(false, n.leader)
	}
}

func (n *JobService) handleRenewed(m msgs.HostRenewed, now time.Time) {
	n.applyEvacuations(m, now)
	n.coreContact = now
	n.core.learn(m.Host, m.Members, m.MemberEpoch, now)
	if m.Leader == m.Host && m.Leader != "" {
		n.leaderContact, n.leaderHeard = now, now
		if n.leader != m.Leader || !n.leaderReached {
			n.Hooks.CoreReached(true, m.Leader)
		}
		n.leader, n.leaderReached = m.Leader, true
	}
	n.applyRoutes(m.Routes, m.Leader == m.Host, now)
	n.learnSize(m)
	n.setPlacements(m.Placements, now)
	n.learnElsewhere(m, now)
	if m.Table != nil {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.StoredTable{Table: *m.Table}) // on this host
	}
	if m.Keep {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.TableRequest{Core: m.Host}) // on this host
	}
}

// applyRoutes puts newer routes in force. Those of a host of the core that doesn't lead may be older
// than what this host had in force before it restarted, so a process without routes waits for
// the leader's first.
func (n *JobService) applyRoutes(text *model.RoutesText, leads bool, now time.Time) {
	if text == nil || (n.routeTable != nil && text.Version <= n.routeTable.Document.Version) {
		return
	}
	if n.routeTable == nil && !leads && now.Sub(n.startedAt) < routesGrace {
		return
	}
	d, err := n.Parse(text.Source)
	if err != nil {
		n.Hooks.RoutesRejected(text.Version, err)
		return
	}
	d.Version = text.Version
	n.routeTable, n.routesSince = routes.NewTable(d), n.Now()
	n.Hooks.RoutesInForce(text.Version)
}

// setPlacement records which host places for a shard, and hands the open jobs of that
// shard over to a new placer. A job never goes to the new placer of another shard: that
// one can't find its runs.
func (n *JobService) setPlacement(p model.Placement, now time.Time) {
	old := n.placements[p.Key()]
	if p.Epoch <= old.Epoch || p.Shard < 0 || p.Shard >= p.Count() || p.Shards > model.MaxShards {
		return
	}
	if n.stateOf(old) != nil {
		delete(n.placers, old.Host) // it gets no more pulses
	}
	n.placements[p.Key()] = p
	n.shards[p.DataCentre] = p.Count()
	newest := n.placers[p.Host] == nil || n.placers[p.Host].epoch < p.Epoch
	if newest {
		n.placers[p.Host] = &placerState{key: p.Key(), epoch: p.Epoch, incarnation: p.Incarnation}
	}
	n.Hooks.PlacerKnown(p)
	n.repeatCancels(p)
	if p.DataCentre == n.DataCentre {
		n.rooms.Forget(p.Shard)
		t := n.table(p.Shard)
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.PlacementUpdate{
			Placement: p, TableEpoch: t.epoch, TableCompleteAt: t.completeAt, Evacuation: n.evacuationOf(p.DataCentre),
		}) // on this host
	}
	for _, j := range n.jobs {
		if newest && j.placement.Key() == p.Key() && !j.parked && n.checkCallersOf(j, now) {
			n.handOver(j, p, true, now)
			n.Hooks.JobRehanded(j.handover.Job, p.Host, p.Epoch)
		}
	}
	if n.pulsesHeld {
		n.pulsesDue = true
		return
	}
	n.sendPulses(now)
}

func (n *JobService) ready() bool {
	return n.routeTable != nil && !n.leaving && len(n.placements) > 0
}
