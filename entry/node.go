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
	"dogwoodrock.example/dogwoodrock/runs"
)

const (
	tick          = 50 * time.Millisecond  // while requests are open: a third of answerSlack
	restTick      = pulseInterval / 2      // while none are: pulses and renewals are at most so much late
	renewSilence  = 500 * time.Millisecond // after which another host of the core is asked
	pulseInterval = 200 * time.Millisecond
	placerSilence = 3 * pulseInterval      // from a question without an answer until a placer counts as lost: two lost messages are borne
	parkTime      = 300 * time.Millisecond // for the next placer of the own data centre, before others are asked: the core's own wait after an election
	answerSlack   = 150 * time.Millisecond // after the end of the caller's patience, for the placer's own answer

	withdrawMemory = 3 * time.Second // for which pulses list a withdrawal: the reliable link may repeat the hand-over before it for up to 2.6 s
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
	InForce  func(version uint64)
	Rejected func(version uint64, err error) // committed routes that can't be read
	Placed   func(p model.Placement)
	Core     func(reached bool, leader string)
	Placer   func(reached bool, host string, epoch uint64)
	Taken    func(job Submit, route routes.Route, placer string, epoch uint64)
	Rehanded func(job, placer string, epoch uint64)
	Answered func(a Answered)
	Left     func(a Answered, checked bool) // without Outcome; whether the connection was checked
	Gone     func(job string)               // a request was read after its caller had left
}

// Answered tells how an entry host was done with a job.
type Answered struct {
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

	table      *routes.Table // nil before the first routes
	tableSince time.Time
	placements map[string]model.Placement
	placers    map[string]*placerState // by host
	jobs       map[string]*openJob
	handed     uint64                 // number of the latest hand-over
	withdrawn  map[string][]withdrawn // lately, by the placer's host
	servers    uint64                 // version of the table of backend servers
	tableEpoch uint64
	tableAt    time.Time // when the placer of tableEpoch is known to have had no newer one, zero for never
	pulses     uint64    // number of the latest pulse

	members []string // of the core
	leader  string
	renewAt time.Time
	heard   time.Time // of the core's leader
	reached bool
	// answered is when any host of the core was heard of.
	answered time.Time
	leaving  bool
	leaveBy  time.Time
	pulseAt  time.Time
	last     time.Time // message or tick
}

// placerState is a placer as its pulses show it.
type placerState struct {
	epoch       uint64
	incarnation uint64
	asked       time.Time // first question that it hasn't answered, zero for none
	silent      bool
	idle        bool          // the host doesn't place under this epoch
	stamp       time.Duration // latest that it told under this epoch, 0 for none
	pulses      []sentPulse   // lately
}

// sentPulse is a pulse that was sent to a placer.
type sentPulse struct {
	number uint64
	at     time.Time
}

// withdrawn is a job that was withdrawn from a placer.
type withdrawn struct {
	job msgs.JobWithdraw
	at  time.Time
}

// lost tells whether no job can be handed to the placer.
func (s *placerState) lost() bool {
	return s.silent || s.idle
}

// Service returns the node as a service that holds at most depth requests.
func (n *Node) Service(depth int, connect func(t *kernel.Task)) kernel.Service {
	return kernel.Service{
		Name:  msgs.ServiceEntry,
		Depth: depth,
		Every: tick,
		Pace:  n.pace,
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
func (n *Node) pace() time.Duration {
	if len(n.jobs) > 0 || n.leaving {
		return tick
	}
	return restTick
}

// Start prepares a node without routes.
func (n *Node) Start() {
	n.placements = map[string]model.Placement{}
	n.placers = map[string]*placerState{}
	n.jobs = map[string]*openJob{}
	n.withdrawn = map[string][]withdrawn{}
	n.heard = n.Now()
	n.last = n.heard
	n.pulses = uint64(uint32(n.Incarnation)) // answers to an earlier process of this host name other numbers
}

// Handle takes one message.
func (n *Node) Handle(msg any) {
	now := n.Now()
	n.awake(now)
	switch m := msg.(type) {
	case Submit:
		n.submit(m, now)
	case Abandon:
		n.abandon(m, now)
	case Cancel:
		n.cancel(m, now)
	case Find:
		n.find(m)
	case Inspect:
		m.Reply(n.view(now))
	case Ready:
		m.Reply(n.ready())
	case Leave:
		n.leaving, n.leaveBy = true, m.By
		n.renew(now)
	case Seeds:
		n.Seeds = m.Hosts
	case msgs.HostRenewed:
		n.renewed(m, now)
	case msgs.Pulsed:
		n.pulsed(m, now)
	case msgs.JobEnded:
		n.ended(m, now)
	}
}

// Tick does what is due by time.
func (n *Node) Tick() {
	now := n.Now()
	n.awake(now)
	n.forget(now)
	if !now.Before(n.renewAt) {
		n.renew(now)
	}
	if !now.Before(n.pulseAt) {
		n.pulse(now)
	}
	n.expire(now)
	for _, j := range n.jobs {
		if j.parked {
			n.unpark(j, now)
		}
	}
}

// expire gives up the jobs that their placers don't end in time.
func (n *Node) expire(now time.Time) {
	for _, j := range n.jobs {
		switch {
		case j.parked:
		case now.After(j.expires.Add(answerSlack)):
			n.giveUp(j, "its placer has not told how it ended", now)
		case n.leaving && now.After(n.leaveBy):
			n.giveUp(j, "this host stops before it has ended", now)
		}
	}
}

// renew tells the core that this host lives. It asks the leader, and another
// host when that doesn't answer.
func (n *Node) renew(now time.Time) {
	n.renewAt = now.Add(fleet.RenewInterval)
	m := msgs.HostRenew{
		Host: n.Self, Incarnation: n.Incarnation, DataCentre: n.DataCentre, Capacity: n.Capacity, Leaving: n.leaving,
	}
	if n.table != nil {
		m.Routes = n.table.Document.Version
	}
	if p, ok := n.placements[n.DataCentre]; ok {
		m.Epoch, m.Servers = n.tableEpoch, n.servers
		if s := n.placers[p.Host]; s != nil && s.silent {
			m.Suspect = p.Host
		}
	}
	for _, host := range n.coreToAsk(now) {
		_ = n.Send(host, msgs.ServiceCore, m) // renewed again soon
	}
}

// coreToAsk returns the leader, or all hosts of the core while none answers.
func (n *Node) coreToAsk(now time.Time) []string {
	if n.leader != "" && now.Sub(n.heard) < renewSilence {
		return []string{n.leader}
	}
	n.lost(now)
	hosts := slices.Concat(n.members, n.Seeds)
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

func (n *Node) lost(now time.Time) {
	if n.reached && now.Sub(n.heard) >= renewSilence {
		n.reached = false
		n.Hooks.Core(false, n.leader)
	}
}

func (n *Node) renewed(m msgs.HostRenewed, now time.Time) {
	n.answered = now
	if len(m.Members) > 0 {
		n.members = m.Members
	}
	if m.Leader == m.Host && m.Leader != "" {
		n.heard = now
		if n.leader != m.Leader || !n.reached {
			n.Hooks.Core(true, m.Leader)
		}
		n.leader, n.reached = m.Leader, true
	}
	n.adopt(m.Routes)
	for _, p := range m.Placements {
		n.place(p, now)
	}
	if m.Table != nil {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.Kept{Table: *m.Table}) // on this host
	}
	if m.Keep {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.Keep{Core: m.Host}) // on this host
	}
}

// adopt puts newer routes in force.
func (n *Node) adopt(text *model.RoutesText) {
	if text == nil || (n.table != nil && text.Version <= n.table.Document.Version) {
		return
	}
	d, err := n.Parse(text.Source)
	if err != nil {
		n.Hooks.Rejected(text.Version, err)
		return
	}
	d.Version = text.Version
	n.table, n.tableSince = routes.NewTable(d), n.Now()
	n.Hooks.InForce(text.Version)
}

// place notes who places for a data centre, and hands the open jobs there to a
// new placer.
func (n *Node) place(p model.Placement, now time.Time) {
	if p.Epoch <= n.placements[p.DataCentre].Epoch {
		return
	}
	old := n.placements[p.DataCentre]
	if s := n.placers[old.Host]; s != nil && s.epoch == old.Epoch {
		delete(n.placers, old.Host) // it isn't told any more who waits
	}
	n.placements[p.DataCentre] = p
	n.placers[p.Host] = &placerState{epoch: p.Epoch, incarnation: p.Incarnation}
	n.Hooks.Placed(p)
	if p.DataCentre == n.DataCentre {
		_ = n.Send(n.Self, msgs.ServicePlacer, placer.Placed{Placement: p, TableEpoch: n.tableEpoch, TableAt: n.tableAt}) // on this host
	}
	for _, j := range n.jobs {
		if j.placement.DataCentre == p.DataCentre && !j.parked && n.waitedFor(j, now) {
			n.hand(j, p, true, now)
			n.Hooks.Rehanded(j.hand.Job, p.Host, p.Epoch)
		}
	}
	n.pulse(now)
}

// pulse asks the placers that this host needs whether they live.
func (n *Node) pulse(now time.Time) {
	n.pulseAt = now.Add(pulseInterval)
	n.checkCallers(now)
	needed := map[string]bool{}
	own, ok := n.placements[n.DataCentre]
	for _, p := range n.placements {
		// Jobs go to other data centres when the own one has no placer.
		if p.DataCentre == n.DataCentre || !ok || n.placers[own.Host].lost() {
			needed[p.Host] = true
		}
	}
	for _, j := range n.jobs {
		if !j.parked {
			needed[j.placement.Host] = true
		}
	}
	for host, s := range n.placers {
		if !needed[host] {
			s.asked = time.Time{} // what is lost now isn't asked for again
		}
	}
	for host := range needed {
		n.pulseTo(host, now)
	}
}

// pulseTo sends one pulse.
func (n *Node) pulseTo(host string, now time.Time) {
	n.pulses++
	m := msgs.Pulse{
		Host: n.Self, DataCentre: n.DataCentre, Incarnation: n.Incarnation, Number: n.pulses,
		Epoch: n.tableEpoch, Servers: n.servers, Oldest: n.oldest(host),
	}
	for _, w := range n.withdrawn[host] {
		m.Withdrawn = append(m.Withdrawn, w.job)
	}
	if s := n.placers[host]; s != nil {
		n.ask(host, s, now)
		s.note(m.Number, now)
		if s.stamp > 0 {
			m.Placing, m.Stamp = s.epoch, s.stamp
		}
	}
	_ = n.Send(host, msgs.ServicePlacer, m) // asked again soon
}

// note keeps when a pulse was sent, as long as a table may be dated by it.
func (s *placerState) note(number uint64, now time.Time) {
	s.pulses = append(s.pulses, sentPulse{number: number, at: now})
	s.pulses = slices.DeleteFunc(s.pulses, func(p sentPulse) bool { return now.Sub(p.at) > runs.TableTime })
}

// sentAt returns when a pulse was sent, a zero time when that isn't known.
func (s *placerState) sentAt(number uint64) time.Time {
	for _, p := range s.pulses {
		if p.number == number {
			return p.at
		}
	}
	return time.Time{}
}

// oldest returns the number of the earliest hand-over to a host that this one
// waits for, or that of the next one while it waits for none.
func (n *Node) oldest(host string) uint64 {
	least := n.handed + 1
	for _, j := range n.jobs {
		if !j.parked && j.placement.Host == host {
			least = min(least, j.hand.Hand)
		}
	}
	return least
}

// forget drops the withdrawals that pulses need not list any more.
func (n *Node) forget(now time.Time) {
	for host, list := range n.withdrawn {
		oldest := n.oldest(host)
		list = slices.DeleteFunc(list, func(w withdrawn) bool { return w.job.Hand < oldest && now.Sub(w.at) > withdrawMemory })
		n.withdrawn[host] = list
		if len(list) == 0 {
			delete(n.withdrawn, host)
		}
	}
}

// ask notes that a placer is asked, and whether it has left that unanswered for
// too long.
func (n *Node) ask(host string, s *placerState, now time.Time) {
	if s.asked.IsZero() {
		s.asked = now
	}
	if !s.silent && now.Sub(s.asked) >= placerSilence {
		s.silent = true
		n.Hooks.Placer(false, host, s.epoch)
	}
}

func (n *Node) pulsed(m msgs.Pulsed, now time.Time) {
	s := n.placers[m.Host]
	if s == nil {
		return
	}
	idle := m.Epoch == 0 && (m.Idle >= s.epoch || m.Incarnation != s.incarnation)
	if !idle && m.Epoch != s.epoch {
		return
	}
	s.asked = time.Time{}
	if s.silent {
		s.silent = false
		n.Hooks.Placer(true, m.Host, s.epoch)
	}
	if idle {
		n.idle(m.Host, s, now)
		return
	}
	s.idle = false // the word that it is was one of a process before, and late
	s.stamp = max(s.stamp, m.Stamp)
	n.handParked(m.Host, now)
	pulsed := n.placements[n.DataCentre].Host == m.Host && n.learnTable(m, s.sentAt(m.Answers), now)
	if m.Ask && !pulsed {
		n.checkCallers(now)
		n.pulseTo(m.Host, now)
	}
}

// idle notes that the host of a placer doesn't place.
func (n *Node) idle(host string, s *placerState, now time.Time) {
	was := s.idle
	s.idle = true
	if own := n.placements[n.DataCentre]; !was && own.Host == host {
		n.pulse(now) // whether others place
	}
}

// handParked gives the jobs that wait for a placer to one that has answered:
// which host was placed last may have been told by a core that is behind.
func (n *Node) handParked(host string, now time.Time) {
	for _, j := range n.jobs {
		if p := n.placements[j.placement.DataCentre]; j.parked && p.Host == host && n.waitedFor(j, now) {
			n.hand(j, p, false, now)
		}
	}
}

// others returns the placers of other data centres that aren't known to be lost,
// those after the own data centre first, so that hosts don't all turn to the same.
func (n *Node) others() []model.Placement {
	var list []model.Placement
	for _, p := range n.placements {
		if s := n.placers[p.Host]; p.DataCentre != n.DataCentre && !s.lost() {
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

// learnTable passes on what has changed in the table of backend servers, and
// confirms it at once by a pulse: the placer may use new servers then. It returns
// whether anything has changed. The placer had no newer table when the pulse that
// it answers was sent.
func (n *Node) learnTable(m msgs.Pulsed, sent, now time.Time) bool {
	had := n.servers
	if n.tableEpoch != m.Epoch {
		had = 0
	}
	if m.Servers < had || m.Servers == 0 || m.Since > had {
		return false
	}
	if n.tableEpoch != m.Epoch || sent.After(n.tableAt) {
		n.tableAt = sent
	}
	if m.Servers == had {
		return false
	}
	n.servers, n.tableEpoch = m.Servers, m.Epoch
	_ = n.Send(n.Self, msgs.ServicePlacer, placer.Table{Epoch: m.Epoch, Whole: m.Since == 0, Servers: m.Table}) // on this host
	n.pulse(now)
	return true
}

// placerFor returns the placer of the own data centre or, while that is lost,
// another one. Which of them it is follows from the job, so that they share.
func (n *Node) placerFor(job string) (model.Placement, bool) {
	own, ok := n.placements[n.DataCentre]
	if ok && !n.placers[own.Host].lost() {
		return own, true
	}
	others := n.others()
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
func (n *Node) placerComes(now time.Time) bool {
	own, ok := n.placements[n.DataCentre]
	return ok && n.placers[own.Host].idle && !n.placers[own.Host].silent && now.Sub(n.answered) < renewSilence
}

func (n *Node) ready() bool {
	return n.table != nil && !n.leaving && len(n.placements) > 0
}
