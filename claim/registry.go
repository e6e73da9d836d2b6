package claim

import (
	"cmp"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Book holds the sessions, claims and outcomes of a data centre.
type Registry struct {
	cfg        Settings
	now        int64 // latest At
	seq        uint64
	fence      uint64
	view       uint64
	generation uint64
	begun      bool
	bareFrom   int64 // before it, a bare key that is not known may have run

	epochs        []*epoch // oldest first; the last one takes new sessions
	expiredEpochs []uint64 // numbers of the epochs that expired last, oldest first
	sessions      map[string]*scope
	customers     map[string]*customer
	members       map[string]*member

	byKey   *table                 // records that hold their key
	byJob   *table                 // records with a job
	byGroup map[groupKey]recordSet // running records only

	claimCount  int            // running and ended
	answerCount int            // held
	answered    queue[*record] // records with an answer, in order of their outcomes; forgotten ones have none
	retained    queue[*record] // ended records without a live epoch, in order of their outcomes
	answerBytes int64          // of the answers held

	keyTombstones   tombstones
	groupTombstones tombstones
}

// New returns an empty Book of a data centre. It refuses everything until
// KindBegin.
func New(dataCentre string, opts ...Option) *Registry {
	set := DefaultSettings()
	set.DataCentre = dataCentre
	for _, opt := range opts {
		opt(&set)
	}
	return newRegistry(set)
}

func newRegistry(set Settings) *Registry {
	return &Registry{
		cfg:             set,
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

// Apply takes the next command of the log. It first moves the time forward and
// forgets a bounded number of entries that are past their windows.
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

// begin makes the first epoch. A Book that has begun keeps its history.
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

// newView raises the fence once for each view.
func (reg *Registry) newView(c *Command) Result {
	if c.View > reg.view {
		reg.view = c.View
		reg.fence++
	}
	return Result{}
}

// Fence returns the fencing number in force.
func (reg *Registry) Fence() uint64 { return reg.fence }

// Generation returns the generation and whether the Book has begun.
func (reg *Registry) Generation() (uint64, bool) { return reg.generation, reg.begun }

// Settings returns the windows and bounds in use.
func (reg *Registry) Settings() Settings { return reg.cfg }

// Lookup is what a Book knows of a job.
type Lookup struct {
	JobOwner
	Customer      string
	Session       string
	Key           string
	Group         string
	State         model.JobState
	NonIdempotent bool
	Cancelled     bool          // a cancel came while it was running
	Answer        *model.Answer // nil while running and after it was dropped
}

// ByJob looks a job up.
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

// Counts are the sizes of a Book, for metrics.
type Counts struct {
	Epochs      int // that count, the current one included
	Sessions    int
	Claims      int // running and ended
	Running     int
	Answers     int // held
	AnswerBytes int64
	Tombstones  int
	Hosts       int // members at the moment
}

// Counts returns the sizes of the Book.
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

// Hosts returns the members at the moment, by name.
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
