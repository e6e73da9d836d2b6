package quorum

import (
	"slices"
	"time"
)

type status uint8

const (
	statusRecovering status = iota
	statusNormal
	statusViewChange
)

// Replica is one member of a group. It is not safe for concurrent use; one task owns it, passes in
// messages and the time, and carries out the output of Drain.
//
// The incarnation of a slot counts how often its member has lost its state. A vote of an earlier
// incarnation is invalid, because the member may have lost the record of the vote and since
// acknowledged entries in an older view.
type Replica struct {
	cfg           Config
	name          string
	random        func() uint64
	startSnapshot func(op uint64) // starts to encode a snapshot, nil if none are taken
	formAfter     time.Duration   // see WithFormAfter
	stateLost     bool            // see WithRecovering
	learner       bool            // see WithLearner
	firstStart    bool            // see WithFirstStart; false once the log has had an entry
	nonVoting     bool            // see endNonVoting
	faults        faults

	origin time.Time     // time of the first call
	now    time.Duration // since origin

	status       status
	generation   uint64
	view         uint64
	lastNormal   uint64   // last view in which the replica had normal status
	incarnations []uint64 // by slot
	group        group
	log          history
	snapshot     Snapshot
	encoding     *Snapshot // snapshot whose Data is being encoded, or nil
	former       Snapshot  // earlier snapshot that another replica is still fetching, see keepFormer
	commit       uint64
	delivered    uint64 // last op that Drain has returned, or that a snapshot covers

	deliveredBytes int           // size of the commands that Drain has returned since the snapshot
	sentSnapshotAt time.Duration // when a chunk of the snapshot was last sent
	sentFormerAt   time.Duration // when a chunk of former was last sent

	primary  primary
	backup   backup
	election election
	recovery recovery
	fetch    *fetch

	unfinished           *fetch // transfer that was interrupted, see dropFetch
	unfinishedGeneration uint64

	persisted persisted
	out       Output
}

// faults disables mechanisms of the protocol, so that tests can show that they are needed.
type faults struct {
	noPromise      bool // backups ignore their promise to the primary
	noRecovery     bool // a member without state votes before it has recovered
	noIncarnations bool // votes of earlier incarnations are counted
}

// New returns a replica. It sends nothing before the first call of Tick or Step.
func New(cfg Config, opts ...Option) *Replica {
	cfg = cfg.withDefaults()
	r := &Replica{
		cfg:    cfg,
		name:   cfg.Members[cfg.Self].Name,
		random: defaultRandom,
	}
	r.clear()
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// clear discards all state but the settings.
func (r *Replica) clear() {
	r.dropFetch()
	members := slices.Clone(r.cfg.Members)
	r.status = statusRecovering
	r.generation, r.view, r.lastNormal = 0, 0, 0
	r.incarnations = make([]uint64, len(members))
	r.group = group{members: members}
	r.log = history{}
	r.snapshot = Snapshot{Members: members}
	r.commit, r.delivered, r.deliveredBytes = 0, 0, 0
	r.former = Snapshot{}
	r.election = election{}
	r.backup = backup{}
	r.primary = primary{}
	r.nonVoting = false
	r.recovery = recovery{startedAt: r.now}
}

// Step processes one message. It ignores messages to another name, since the address of this host
// may have belonged to another member before.
func (r *Replica) Step(m Message, now time.Time) {
	r.advanceClock(now)
	if !r.accepts(m) {
		return
	}
	if r.notifyReplaced(m) {
		return
	}
	switch m.Kind {
	case KindPrepare:
		r.onPrepare(m)
	case KindPrepareOK:
		r.onPrepareOK(m)
	case KindStartViewChange:
		r.onStartViewChange(m)
	case KindDoViewChange:
		r.onDoViewChange(m)
	case KindHandover:
		r.onHandover(m)
	case KindGetState:
		r.onGetState(m)
	case KindNewState:
		r.onNewState(m)
	case KindRecovery:
		r.onRecovery(m)
	case KindRecoveryResponse:
		r.onRecoveryResponse(m)
	case KindForm:
		r.onForm(m)
	case KindMembership:
		r.LearnMembers(m.Generation, m.Epoch, m.Members)
	}
	r.endNonVoting()
}

// accepts reports whether to process a message, by its receiver and its generation. A message of
// another generation makes the replica check whether a majority has left its own.
func (r *Replica) accepts(m Message) bool {
	if m.To != r.name || m.From == r.name {
		return false
	}
	switch m.Kind {
	case KindRecovery, KindRecoveryResponse, KindForm:
		return true
	}
	if m.Generation == r.generation && r.generation != 0 {
		return true
	}
	if r.generation == 0 && r.faults.noRecovery {
		r.generation, r.status = m.Generation, statusViewChange
		return true
	}
	if r.generation == 0 {
		r.addActiveHost(m.From)
		return r.learner && m.Kind == KindPrepare
	}
	r.probeGenerations()
	return false
}

// Tick runs what is due at the given time. It should be called about twice per heartbeat interval.
func (r *Replica) Tick(now time.Time) {
	r.advanceClock(now)
	switch {
	case r.status == statusRecovering:
		r.tickRecovering()
	case r.status == statusViewChange:
		r.tickViewChange()
	case r.isPrimary():
		r.tickPrimary()
	default:
		r.tickBackup()
	}
	r.tickFetch()
}

// Drain returns the output of all calls since the last Drain.
func (r *Replica) Drain() Output {
	r.flush()
	r.sendAck()
	if r.commit > r.delivered {
		r.out.Committed = r.log.between(r.delivered, r.commit)
		r.deliveredBytes += r.log.bytes(r.delivered, r.commit)
		r.delivered = r.commit
	}
	r.out.Persist = r.persist()
	out := r.out
	r.out = Output{}
	return out
}

// Status returns the state of the replica at the given time.
func (r *Replica) Status(now time.Time) Status {
	s := Status{
		Epoch:      r.group.epoch,
		View:       r.view,
		Op:         r.log.last(),
		Commit:     r.commit,
		Primary:    r.group.primarySlot(r.view),
		Recovering: r.status == statusRecovering,
		Voting:     r.status != statusRecovering && r.isMember() && !r.nonVoting,
		Members:    r.group.members,
	}
	if !s.Recovering {
		s.Generation = r.generation
	}
	if r.isPrimary() && !r.origin.IsZero() {
		s.LeaseUntil = r.origin.Add(r.primary.leaseEnd)
		s.Leading = r.leadingAt(now.Sub(r.origin))
		s.Lapsed = !s.Leading && r.canCommit()
		s.Current = r.countCurrent(now.Sub(r.origin), -1)
	}
	return s
}

// advanceClock sets the time and, since the caller has applied all returned entries by now, takes a
// snapshot if one is due.
func (r *Replica) advanceClock(now time.Time) {
	if r.origin.IsZero() {
		r.origin = now
		if r.status != statusRecovering {
			r.extendPromise()
		}
	}
	r.now = max(r.now, now.Sub(r.origin))
	r.takeSnapshot()
}

func (r *Replica) isMember() bool {
	return r.group.memberSlot(r.name) >= 0
}

// isPrimary reports whether this replica is the primary of its view. It doesn't compare slots,
// because a host that a replacement puts into the primary's slot doesn't lead the view.
func (r *Replica) isPrimary() bool {
	return r.status == statusNormal && r.primary.acks != nil
}

func (r *Replica) send(to string, m Message) {
	m.From, m.To = r.name, to
	m.Generation, m.Epoch = r.generation, r.group.epoch
	r.out.Messages = append(r.out.Messages, m)
}

func (r *Replica) broadcast(m Message) {
	for _, name := range r.group.others(r.name) {
		r.send(name, m)
	}
}
