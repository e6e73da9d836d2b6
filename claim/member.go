package claim

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

const (
	// maxRetired is the number of former incarnations that are kept per host.
	maxRetired = 16
	// memberWindow is the minimum time for which a removed host is kept, so that a delayed message
	// can't admit its old incarnation again.
	memberWindow = time.Hour
)

// Host is a current member of the data centre.
type Host struct {
	Name        string
	Incarnation uint64
	Running     int // running claims
}

// member is a host with its current and former incarnations.
type member struct {
	current *owner   // nil after the host was expelled
	retired []uint64 // latest last
	leftAt  int64
}

// join makes an incarnation the current one of its host and fails the claims of the previous one.
// An incarnation that was replaced or expelled can't join again; its process has to draw a new one.
func (reg *Registry) join(c *Command) Result {
	if c.Host == "" {
		return refusedNotRun(model.CodeBadRequest, "a member needs a name")
	}
	m := reg.members[c.Host]
	if m == nil {
		return reg.addMember(c)
	}
	if m.current != nil && m.current.incarnation == c.Incarnation {
		return Result{}
	}
	if slices.Contains(m.retired, c.Incarnation) {
		return refusedNotRun(model.CodeConflict, "the incarnation is no longer a member")
	}
	failed := reg.retire(m)
	m.current = newOwner(c.Host, c.Incarnation)
	return Result{Failed: failed}
}

func (reg *Registry) addMember(c *Command) Result {
	if len(reg.members) >= reg.cfg.MaxHosts {
		reg.removeFormerMembers()
	}
	if len(reg.members) >= reg.cfg.MaxHosts {
		return refusedNotRun(model.CodeOverloaded, "the table of hosts is full")
	}
	reg.members[c.Host] = &member{current: newOwner(c.Host, c.Incarnation)}
	return Result{}
}

// removeFormerMembers removes the hosts that left longer than memberWindow ago.
func (reg *Registry) removeFormerMembers() {
	for name, m := range reg.members {
		if m.current == nil && reg.now-m.leftAt > int64(memberWindow) {
			delete(reg.members, name)
		}
	}
}

// expel fails the claims of an incarnation whose lease has expired and increments the fencing
// token, so that backend servers refuse calls that it still makes.
func (reg *Registry) expel(c *Command) Result {
	m := reg.members[c.Host]
	if m == nil || m.current == nil || m.current.incarnation != c.Incarnation {
		return Result{}
	}
	reg.fence++
	return Result{Failed: reg.retire(m)}
}

// retire ends the current incarnation of a member and fails its claims.
func (reg *Registry) retire(m *member) []JobOwner {
	o := m.current
	if o == nil {
		return nil
	}
	m.current = nil
	m.leftAt = reg.now
	m.retired = append(m.retired, o.incarnation)
	if len(m.retired) > maxRetired {
		m.retired = slices.Delete(m.retired, 0, 1)
	}
	var failed []JobOwner
	for _, r := range o.running.sorted() {
		reg.setOutcome(r, hostLostAnswer(r))
		failed = append(failed, r.jobOwner())
	}
	return failed
}

func hostLostAnswer(r *record) *model.Answer {
	return &model.Answer{
		Job:   r.job(),
		State: model.JobFailed,
		Refusal: &model.RefusalError{
			Code:   model.CodeHostLost,
			Reason: "the entry host that ran the job is gone; some tasks may have run",
		},
	}
}

func newOwner(host string, incarnation uint64) *owner {
	return &owner{host: host, incarnation: incarnation, running: make(recordSet)}
}

// currentOwner returns the owner of an incarnation, or nil if it is not a current member.
func (reg *Registry) currentOwner(host string, incarnation uint64) *owner {
	m := reg.members[host]
	if m == nil || m.current == nil || m.current.incarnation != incarnation {
		return nil
	}
	return m.current
}
