package stand

import "slices"

// Verdict says what happens to a task call.
type Verdict int

// A call starts its task, joins the running task, repeats the stored result or
// is refused.
const (
	VerdictStart Verdict = iota
	VerdictJoin
	VerdictRepeat
	VerdictRefuse
)

type phase int

const (
	phaseRevoked phase = iota
	phaseRunning
	phaseEnded
)

// Ledger decides on task calls and revocations by the rules of
// docs/BACKENDS.md and counts them.
type TaskRegistry struct {
	Services []string
	Slots    int
	Stopping bool
	Counts   Counts

	fence   uint64
	running int
	phases  map[string]phase
	results map[string]Result
}

// NewLedger returns a ledger that has seen no task.
func NewTaskRegistry(services []string, slots int) *TaskRegistry {
	return &TaskRegistry{
		Services: services,
		Slots:    slots,
		Counts:   Counts{Starts: map[string]int{}, Tasks: map[string]int{}},
		phases:   map[string]phase{},
		results:  map[string]Result{},
	}
}

// Running returns the number of tasks that run.
func (l *TaskRegistry) Running() int {
	return l.running
}

// Admit decides on a call. The result is valid for VerdictRepeat and
// VerdictRefuse.
func (l *TaskRegistry) Admit(c Call) (Verdict, Result) {
	l.Counts.Calls++
	stale := c.Fence < l.fence
	l.fence = max(l.fence, c.Fence)
	if p, known := l.phases[c.Task]; known {
		return l.admitKnown(c, p)
	}
	switch {
	case stale:
		l.Counts.Stale++
		return l.refuse(c, "stale fence")
	case l.Stopping:
		return l.refuse(c, "stopping")
	case !slices.Contains(l.Services, c.Service):
		return l.refuse(c, "unknown service")
	case l.running >= l.Slots:
		l.Counts.OverSlots++
		return l.refuse(c, "no free slot")
	}
	l.start(c)
	return VerdictStart, Result{}
}

// End notes the result of a running task.
func (l *TaskRegistry) Complete(task string, r Result) {
	l.running--
	l.phases[task] = phaseEnded
	l.results[task] = r
	if r.Status == StatusFailed {
		l.Counts.Failed++
	}
}

// Revoke makes sure that a task which hasn't started never starts, and tells
// how far it has come.
func (l *TaskRegistry) Revoke(task string) Status {
	l.Counts.Revoked++
	p, known := l.phases[task]
	switch {
	case known && p == phaseRunning:
		return StatusStarted
	case known && p == phaseEnded:
		return StatusDone
	}
	l.phases[task] = phaseRevoked
	return StatusNotStarted
}

func (l *TaskRegistry) admitKnown(c Call, p phase) (Verdict, Result) {
	switch p {
	case phaseRunning:
		l.Counts.Duplicated++
		return VerdictJoin, Result{}
	case phaseEnded:
		l.Counts.Duplicated++
		return VerdictRepeat, l.results[c.Task]
	default:
		return l.refuse(c, "revoked")
	}
}

func (l *TaskRegistry) start(c Call) {
	l.running++
	l.phases[c.Task] = phaseRunning
	l.Counts.Total++
	l.Counts.Tasks[c.Task]++
	l.Counts.PeakRunning = max(l.Counts.PeakRunning, l.running)
	if label := ParseWork(c.Body).Label; label != "" {
		l.Counts.Starts[label]++
	}
}

func (l *TaskRegistry) refuse(c Call, reason string) (Verdict, Result) {
	l.Counts.Refused++
	return VerdictRefuse, refused(c, reason)
}
