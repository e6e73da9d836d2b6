package place

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// UsageReport compares the current usage of a customer with its limits.
type UsageReport struct {
	Customer        string
	Plan            string
	CustomerLine    int // in the list of customers, from 1
	PlanLine        int // in the list of plans, from 1
	Running         int
	MaxRunning      int // share of this data centre
	Queued          int
	MaxQueued       int
	RecentStarts    int // in the last second
	StartsPerSecond int // share of this data centre
	RetryBudget     float64
	Granted         uint64 // starts since the placer began
	Refused         uint64 // jobs since the placer began
	Blocked         bool   // by a quota
	Services        []ServiceUsage
}

// ServiceUsage is a customer's usage of one service.
type ServiceUsage struct {
	Service  string
	Queued   int
	Expected time.Duration // learned run time
}

// BackendStatus is the state of a backend server as known to the placer.
type BackendStatus struct {
	BackendServer string
	Address       string
	Announced     bool
	Slots         int
	Running       int
	MemoryBytes   int64 // reserved
	Accelerators  int   // reserved
	Services      []MemberStatus
}

// MemberStatus is the state of a backend server for one service.
type MemberStatus struct {
	Service   string
	State     string  // StateHealthy, Ejected or Probing
	Cause     Cause   // of the latest ejection
	Factor    float64 // run time relative to its peers
	NextProbe time.Time
}

// Usage returns the current usage of a customer. All fields but the name are zero if
// the customer isn't known.
func (p *Placer) Usage(name string, now time.Time) UsageReport {
	c, ok := p.customers[name]
	if !ok {
		return UsageReport{Customer: name}
	}
	r := UsageReport{
		Customer: name, Plan: c.plan.Name, CustomerLine: c.line, PlanLine: c.planLine,
		Running: c.running, MaxRunning: c.share.MaxRunning,
		Queued: c.waiting, MaxQueued: c.plan.MaxQueued,
		RecentStarts: c.starts.count(now), StartsPerSecond: c.share.StartsPerSecond,
		RetryBudget: c.retryBudget, Granted: c.granted, Refused: c.refused, Blocked: c.blocked,
	}
	for _, f := range c.flowList {
		u := ServiceUsage{Service: f.service.name, Expected: f.run.mean}
		for _, sf := range f.subflows {
			u.Queued += sf.waiting
		}
		r.Services = append(r.Services, u)
	}
	return r
}

// BackendStatus returns the state of every backend server, sorted by name.
func (p *Placer) BackendStatus() []BackendStatus {
	list := make([]BackendStatus, 0, len(p.servers))
	for _, s := range slices.SortedFunc(maps.Values(p.servers), byName) {
		b := BackendStatus{
			BackendServer: s.info.Name, Address: s.info.Address, Announced: s.announced,
			Slots: s.info.Slots, Running: s.running, MemoryBytes: s.memory, Accelerators: s.accelerators,
		}
		for _, m := range s.members {
			b.Services = append(b.Services, m.status())
		}
		list = append(list, b)
	}
	return list
}

func byName(a, b *server) int { return cmp.Compare(a.info.Name, b.info.Name) }

func (m *member) status() MemberStatus {
	st := MemberStatus{
		Service: m.service.name, State: m.health.state.String(), Cause: m.health.cause, Factor: m.factor(),
	}
	if m.health.state == ejected {
		st.NextProbe = m.health.probeTimer.at
	}
	return st
}
