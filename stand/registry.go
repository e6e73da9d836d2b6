package stand

import "slices"

// Verdict is the decision on a task call.
type Verdict int

// A call starts its task, waits for the running task, gets the stored result of the ended task
// or is refused.
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

// TaskRegistry keeps the state of every task, decides on task calls and revocations by the rules
// of docs/BACKENDS.md, and counts them.
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

// NewTaskRegistry returns an empty registry for a server with these services and slots.
func NewTaskRegistry(services []string, slots int) *TaskRegistry {
	return &TaskRegistry{
		Services: services,
		Slots:    slots,
		Counts:   Counts{Starts: map[string]int{}, Tasks: map[string]int{}},
		phases:   map[string]phase{},
		results:  map[string]Result{},
	}
}

// Running returns the number of running tasks.
func (reg *TaskRegistry) Running() int {
	return reg.running
}

// Admit decides on a call and records the start of its task for VerdictStart. The result is
// valid only for VerdictRepeat and VerdictRefuse.
func (reg *TaskRegistry) Admit(c Call) (Verdict, Result) {
	reg.Counts.Calls++
	stale := c.Fence < reg.fence
	reg.fence = max(reg.fence, c.Fence)
	if p, known := reg.phases[c.Task]; known {
		return reg.admitKnown(c, p)
	}
	switch {
	case stale:
		reg.Counts.Stale++
		return reg.refuse(c, "stale fence")
	case reg.Stopping:
		return reg.refuse(c, "stopping")
	case !slices.Contains(reg.Services, c.Service):
		return reg.refuse(c, "unknown service")
	case reg.running >= reg.Slots:
		reg.Counts.OverSlots++
		return reg.refuse(c, "no free slot")
	}
	reg.start(c)
	return VerdictStart, Result{}
}

// Complete stores the result of a running task and frees its slot.
func (reg *TaskRegistry) Complete(task string, r Result) {
	reg.running--
	reg.phases[task] = phaseEnded
	reg.results[task] = r
	if r.Status == StatusFailed {
		reg.Counts.Failed++
	}
}

// Revoke prevents a task that has not started from ever starting, and returns its status:
// StatusNotStarted, StatusStarted while it runs, or StatusDone once it has ended.
func (reg *TaskRegistry) Revoke(task string) Status {
	reg.Counts.Revoked++
	p, known := reg.phases[task]
	switch {
	case known && p == phaseRunning:
		return StatusStarted
	case known && p == phaseEnded:
		return StatusDone
	}
	reg.phases[task] = phaseRevoked
	return StatusNotStarted
}

func (reg *TaskRegistry) admitKnown(c Call, p phase) (Verdict, Result) {
	switch p {
	case phaseRunning:
		reg.Counts.Duplicated++
		return VerdictJoin, Result{}
	case phaseEnded:
		reg.Counts.Duplicated++
		return VerdictRepeat, reg.results[c.Task]
	default:
		return reg.refuse(c, "revoked")
	}
}

func (reg *TaskRegistry) start(c Call) {
	reg.running++
	reg.phases[c.Task] = phaseRunning
	reg.Counts.Total++
	reg.Counts.Tasks[c.Task]++
	reg.Counts.PeakRunning = max(reg.Counts.PeakRunning, reg.running)
	if label := ParseWork(c.Body).Label; label != "" {
		reg.Counts.Starts[label]++
	}
}

func (reg *TaskRegistry) refuse(c Call, reason string) (Verdict, Result) {
	reg.Counts.Refused++
	return VerdictRefuse, refused(c, reason)
}
