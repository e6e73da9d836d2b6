package claim

import (
	"cmp"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Registry is the replicated state of a data centre's claims: its sessions, its members, the
// claims on keys and the outcomes of their jobs.
type Registry struct {
	cfg        Settings
	now        int64 // latest Command.At, in Unix nanoseconds
	seq        uint64
	fence      uint64
	view       uint64
	generation uint64
	begun      bool
	bareFrom   int64 // until then, the job of an unknown bare key may have run

	epochs        []*epoch // oldest first; new sessions are opened in the last one
	expiredEpochs []uint64 // numbers of the most recently expired epochs, oldest first
	sessions      map[string]*scope
	customers     map[string]*customer
	members       map[string]*member

	byKey   *table                 // all records but those that are unkeyed
	byJob   *table                 // records that have a job
	byGroup map[groupKey]recordSet // running records only

	claimCount  int            // running and ended
	answerCount int            // answers in memory
	answered    queue[*record] // ended records by time of outcome; the answer may have been evicted since
	retained    queue[*record] // ended records outside a live epoch, by time of outcome
	answerBytes int64          // size of the answers in memory

	keyTombstones   tombstones
	groupTombstones tombstones
}

// New returns an empty Registry for a data centre. Until KindBegin, it opens no sessions and
// accepts no claims.
func New(dataCentre string, opts ...Option) *Registry {
	cfg := DefaultSettings()
	cfg.DataCentre = dataCentre
	for _, opt := range opts {
		opt(&cfg)
	}
	return newRegistry(cfg)
}

func newRegistry(cfg Settings) *Registry {
	return &Registry{
		cfg:             cfg,
		sessions:        make(map[string]*scope),
		customers:       make(map[string]*customer),
		members:         make(map[string]*member),
		byKey:           newTable(func(r *record) uint64 { return hashKey(r.scope, r.key()) }),
		byJob:           newTable(func(r *record) uint64 { return hashJob(r.job()) }),
		byGroup:         make(map[groupKey]recordSet),
		keyTombstones:   newTombstones(),
		groupTombstones: newTombstones(),
	}
}

// Apply applies the next command of the log. It first advances the clock and removes a bounded
// number of entries that are past their windows.
func (reg *Registry) Apply(c Command) Result {
	reg.now = max(reg.now, c.At)
	reg.sweep()
	res := reg.apply(&c)
	res.Fence = reg.fence
	return res
}

func (reg *Registry) apply(c *Command) Result {
	switch c.Kind {
	case KindBegin:
		return reg.begin(c)
	case KindOpenSession:
		return reg.openSession(c)
	case KindClaim:
		return reg.claim(c)
	case KindFinish:
		return reg.finish(c)
	case KindJoin:
		return reg.join(c)
	case KindExpel:
		return reg.expel(c)
	case KindNewView:
		return reg.newView(c)
	case KindCancel:
		return reg.cancelKey(c)
	case KindCancelGroup:
		return reg.cancelGroup(c)
	case KindRotate:
		return reg.rotate(c)
	case KindTick:
		return Result{}
	default:
		return refusedNotRun(model.CodeBadRequest, "the kind of the command is unknown")
	}
}

// begin starts the first epoch. It refuses another generation once the Registry has begun, so that
// existing claims are kept.
func (reg *Registry) begin(c *Command) Result {
	if reg.begun {
		if c.Generation == reg.generation {
			return Result{}
		}
		return refusedNotRun(model.CodeConflict, "another generation has begun")
	}
	reg.begun = true
	reg.generation = c.Generation
	reg.fence = max(reg.fence, c.Fence, 1)
	if !c.FirstInstallation {
		reg.bareFrom = reg.now + int64(reg.cfg.BareKeyWindow)
	}
	reg.epochs = append(reg.epochs, &epoch{number: c.Epoch})
	return Result{}
}

// newView increments the fencing token once per view.
func (reg *Registry) newView(c *Command) Result {
	if c.View > reg.view {
		reg.view = c.View
		reg.fence++
	}
	return Result{}
}

// Fence returns the current fencing token.
func (reg *Registry) Fence() uint64 { return reg.fence }

// Generation returns the generation, and whether KindBegin has been applied.
func (reg *Registry) Generation() (uint64, bool) { return reg.generation, reg.begun }

// Settings returns the windows and limits in use.
func (reg *Registry) Settings() Settings { return reg.cfg }

// Lookup is the stored state of a job.
type Lookup struct {
	JobOwner
	Customer      string
	Session       string
	Key           string
	Group         string
	State         model.JobState
	NonIdempotent bool
	Cancelled     bool          // a cancellation was applied while the job was running
	Answer        *model.Answer // nil while the job is running and after eviction
}

// ByJob returns the state of a job, and false if the job is unknown.
func (reg *Registry) ByJob(job string) (Lookup, bool) {
	r := reg.recordByJob(job)
	if r == nil {
		return Lookup{}, false
	}
	return Lookup{
		JobOwner:      r.jobOwner(),
		Customer:      r.scope.customer.name,
		Session:       r.scope.name,
		Key:           r.key(),
		Group:         r.group,
		State:         r.state(),
		NonIdempotent: r.nonIdempotent,
		Cancelled:     r.cancelled,
		Answer:        r.answer,
	}, true
}

// Counts are the sizes of a Registry's tables, for metrics.
type Counts struct {
	Epochs      int // not yet removed, including the current one
	Sessions    int
	Claims      int // running and ended
	Running     int
	Answers     int // in memory
	AnswerBytes int64
	Tombstones  int
	Hosts       int // current members
}

// Counts returns the sizes of the Registry's tables.
func (reg *Registry) Counts() Counts {
	n := Counts{
		Epochs:      len(reg.epochs),
		Sessions:    len(reg.sessions),
		Claims:      reg.claimCount,
		Answers:     reg.answerCount,
		AnswerBytes: reg.answerBytes,
		Tombstones:  reg.keyTombstones.len() + reg.groupTombstones.len(),
	}
	for _, m := range reg.members {
		if m.current != nil {
			n.Hosts++
			n.Running += len(m.current.running)
		}
	}
	return n
}

// Hosts returns the current members, sorted by name.
func (reg *Registry) Hosts() []Host {
	var list []Host
	for name, m := range reg.members {
		if m.current != nil {
			list = append(list, Host{Name: name, Incarnation: m.current.incarnation, Running: len(m.current.running)})
		}
	}
	slices.SortFunc(list, func(x, y Host) int { return cmp.Compare(x.Name, y.Name) })
	return list
}
