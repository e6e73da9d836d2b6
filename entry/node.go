package entry

import (
	"cmp"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/kernel"
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
	"dogwoodrock.example/dogwoodrock/routes"
)

const (
	tickInterval  = 50 * time.Millisecond  // while requests are open: a third of answerSlack
	idleTick      = pulseInterval / 2      // while none are: pulses and renewals are at most so much late
	coreTimeout   = 500 * time.Millisecond // after which another host of the core is asked
	pulseInterval = 200 * time.Millisecond
	placerTimeout = 3 * pulseInterval      // from a question without an answer until a placer counts as lost: two lost messages are borne
	parkTimeout   = 300 * time.Millisecond // for the next placer of the own data centre, before others are asked: the core's own wait after an election
	answerGrace   = 150 * time.Millisecond // after the end of the caller's patience, for the placer's own answer

	withdrawalRetention = 3 * time.Second // for which pulses list a withdrawal: the reliable link may repeat the hand-over before it for up to 2.6 s
)

// Config is what a Node is told at its start.
type Config struct {
	Self        string // name of this host
	DataCentre  string
	Incarnation uint64
	Capacity    int64 // processor time, thousandths of a core
	Seeds       []string
}

// Hooks are the seams for events and counters.
type Hooks struct {
	RoutesInForce  func(version uint64)
	RoutesRejected func(version uint64, err error) // committed routes that can't be read
	PlacerKnown    func(p model.Placement)
	CoreReached    func(reached bool, leader string)
	PlacerReached  func(reached bool, host string, epoch uint64)
	JobTaken       func(job Submit, route routes.Route, placer string, epoch uint64)
	JobRehanded    func(job, placer string, epoch uint64)
	JobAnswered    func(a JobResult)
	CallerLeft     func(a JobResult, checked bool) // without Outcome; whether the connection was checked
	CallerGone     func(job string)                // a request was read after its caller had left
}

// Answered tells how an entry host was done with a job.
type JobResult struct {
	Job     string
	Route   string
	Placer  string // host that had it last, empty for none
	Outcome Outcome
	Took    time.Duration
}

// Node holds the open requests of an entry host.
type Node struct {
	Config
	Parse func(source []byte) (routes.Document, error)
	Hooks Hooks
	Send  func(to, service string, body any) error
	Now   func() time.Time

	routeTable      *routes.Table // nil before the first routes
	routesSince     time.Time
	placements      map[string]model.Placement
	placers         map[string]*placerState // by host
	jobs            map[string]*openJob
	lastHandover    uint64                  // number of the latest hand-over
	withdrawals     map[string][]withdrawal // lately, by the placer's host
	tableVersion    uint64                  // version of the table of backend servers
	tableEpoch      uint64
	tableCompleteAt time.Time // when the placer of tableEpoch is known to have had no newer one, zero for never
	lastPulse       uint64    // number of the latest pulse

	members       []string // of the core
	leader        string
	nextRenew     time.Time
	leaderContact time.Time // of the core's leader
	leaderReached bool
	// answered is when any host of the core was heard of.
	coreContact   time.Time
	leaving       bool
	leaveDeadline time.Time
	nextPulse     time.Time
	lastActive    time.Time // message or tick
}

// placerState is a placer as its pulses show it.
type placerState struct {
	epoch           uint64
	incarnation     uint64
	unansweredSince time.Time // first question that it hasn't answered, zero for none
	silent          bool
	idle            bool          // the host doesn't place under this epoch
	stamp           time.Duration // latest that it told under this epoch, 0 for none
	sentPulses      []sentPulse   // lately
}

// sentPulse is a pulse that was sent to a placer.
type sentPulse struct {
	number uint64
	sentAt time.Time
}

// withdrawn is a job that was withdrawn from a placer.
type withdrawal struct {
	message msgs.JobWithdraw
	sentAt  time.Time
}

// lost tells whether no job can be handed to the placer.
func (s *placerState) unavailable() bool {
	return s.silent || s.idle
}

// Service returns the node as a service that holds at most depth requests.
func (n *Node) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
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
		Drain:  func(*kernel.Task) bool { return len(n.jobs) == 0 },
	}
}

// pace returns how soon something may be due.
func (n *Node) interval() time.Duration {
	if len(n.jobs) > 0 || n.leaving {
		return tickInterval
	}
	return idleTick
}

// Start prepares a node without routes.
func (n *Node) Start() {
	n.placements = map[string]model.Placement{}
	n.placers = map[string]*placerState{}
	n.jobs = map[string]*openJob{}
	n.withdrawals = map[string][]withdrawal{}
	n.leaderContact = n.Now()
	n.lastActive = n.leaderContact
	n.lastPulse = uint64(uint32(n.Incarnation)) // answers to an earlier process of this host name other numbers
}

// Handle takes one message.
func (n *Node) Handle(msg any) {
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
	case msgs.Pulsed:
		n.handlePulsed(m, now)
	case msgs.JobEnded:
		n.handleJobEnded(m, now)
	}
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	n.noteActivity(now)
	n.evictWithdrawals(now)
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

// expire gives up the jobs that their placers don't end in time.
func (n *Node) expireJobs(now time.Time) {
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

// renew tells the core that this host lives. It asks the leader, and another
// host when that doesn't answer.
func (n *Node) renew(now time.Time) {
	n.nextRenew = now.Add(fleet.RenewInterval)
	m := msgs.HostRenew{
		Host: n.Self, Incarnation: n.Incarnation, DataCentre: n.DataCentre, Capacity: n.Capacity, Leaving: n.leaving,
	}
	if n.routeTable != nil {
		m.Routes = n.routeTable.Document.Version
	}
	if p, ok := n.placements[n.DataCentre]; ok {
		m.Epoch, m.Servers = n.tableEpoch, n.tableVersion
		if s := n.placers[p.Host]; s != nil && s.silent {
			m.Suspect = p.Host
		}
	}
	for _, host := range n.renewTargets(now) {
		_ = n.Send(host, msgs.ServiceCore, m) // renewed again soon
	}
}

// coreToAsk returns the leader, or all hosts of the core while none answers.
func (n *Node) renewTargets(now time.Time) []string {
	if n.leader != "" && now.Sub(n.leaderContact) < coreTimeout {
		return []string{n.leader}
	}
	n.checkLeader(now)
	hosts := slices.Concat(n.members, n.Seeds)
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func (n *Node) checkLeader(now time.Time) {
	if n.leaderReached && now.Sub(n.leaderContact) >= coreTimeout {
		n.leaderReached = false
		n.Hooks.CoreReached(false, n.leader)
	}
}

func (n *Node) handleRenewed(m msgs.HostRenewed, now time.Time) {
	n.coreContact = now
	if len(m.Members) > 0 {
		n.members = m.Members
	}
	if m.Leader == m.Host && m.Leader != "" {
		n.leaderContact = now
		if n.leader != m.Leader || !n.leaderReached {
			n.Hooks.CoreReached(true, m.Leader)
		}
		n.leader, n.leaderReached = m.Leader, true
	}
	n.applyRoutes(m.Routes)
	for _, p := range m.Placements {
		n.setPlacement(p, now)
	}
	if m.Table != nil {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.StoredTable{Table: *m.Table}) // on this host
	}
	if m.Keep {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.TableRequest{Core: m.Host}) // on this host
	}
}

// adopt puts newer routes in force.
func (n *Node) applyRoutes(text *model.RoutesText) {
	if text == nil || (n.routeTable != nil && text.Version <= n.routeTable.Document.Version) {
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

// place notes who places for a data centre, and hands the open jobs there to a
// new placer.
func (n *Node) setPlacement(p model.Placement, now time.Time) {
	if p.Epoch <= n.placements[p.DataCentre].Epoch {
		return
	}
	old := n.placements[p.DataCentre]
	if s := n.placers[old.Host]; s != nil && s.epoch == old.Epoch {
		delete(n.placers, old.Host) // it isn't told any more who waits
	}
	n.placements[p.DataCentre] = p
	n.placers[p.Host] = &placerState{epoch: p.Epoch, incarnation: p.Incarnation}
	n.Hooks.PlacerKnown(p)
	if p.DataCentre == n.DataCentre {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.PlacementUpdate{Placement: p, TableEpoch: n.tableEpoch, TableCompleteAt: n.tableCompleteAt}) // on this host
	}
	for _, j := range n.jobs {
		if j.placement.DataCentre == p.DataCentre && !j.parked && n.hasCaller(j, now) {
			n.handOver(j, p, true, now)
			n.Hooks.JobRehanded(j.handover.Job, p.Host, p.Epoch)
		}
	}
	n.sendPulses(now)
}

// others returns the placers of other data centres that aren't known to be lost,
// those after the own data centre first, so that hosts don't all turn to the same.
func (n *Node) otherPlacers() []model.Placement {
	var list []model.Placement
	for _, p := range n.placements {
		if s := n.placers[p.Host]; p.DataCentre != n.DataCentre && !s.unavailable() {
			list = append(list, p)
		}
	}
	slices.SortFunc(list, func(a, b model.Placement) int {
		// Those after the own data centre compare as 1, those before it as -1.
		return cmp.Or(
			-cmp.Compare(cmp.Compare(a.DataCentre, n.DataCentre), cmp.Compare(b.DataCentre, n.DataCentre)),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	})
	return list
}

// placerFor returns the placer of the own data centre or, while that is lost,
// another one. Which of them it is follows from the job, so that they share.
func (n *Node) placerFor(job string) (model.Placement, bool) {
	own, ok := n.placements[n.DataCentre]
	if ok && !n.placers[own.Host].unavailable() {
		return own, true
	}
	others := n.otherPlacers()
	if len(others) == 0 {
		return own, false
	}
	sum := 0
	for _, c := range []byte(job) {
		sum += int(c)
	}
	return others[sum%len(others)], true
}

// placerComes tells whether the core is about to choose a placer for the own data
// centre: the host of the last one has begun anew, and hosts of the core answer,
// though they may still be choosing a leader.
func (n *Node) placerExpected(now time.Time) bool {
	own, ok := n.placements[n.DataCentre]
	return ok && n.placers[own.Host].idle && !n.placers[own.Host].silent && now.Sub(n.coreContact) < coreTimeout
}

func (n *Node) ready() bool {
	return n.routeTable != nil && !n.leaving && len(n.placements) > 0
}
