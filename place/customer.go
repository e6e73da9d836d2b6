package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// Share is the part of a plan's limits that applies in this data centre.
type Share struct {
	MaxRunning      int
	StartsPerSecond int
}

// customer tracks the quotas, the usage and the waiting tasks of one customer.
type customer struct {
	name        string
	line        int // in the list of customers, from 1
	known       bool
	plan        model.Plan
	planLine    int // in the list of plans, from 1
	services    map[string]bool
	share       Share
	flows       map[string]*flow
	flowList    []*flow // in order of creation
	seq         int
	running     int
	waiting     int
	starts      startLog
	retryBudget float64 // remaining retries
	blocked     bool    // by a quota
	quotaTimer  timer   // when the quota of starts allows another one
	granted     uint64
	refused     uint64
}

func (p *Placer) customer(name string) *customer {
	if c, ok := p.customers[name]; ok {
		return c
	}
	c := &customer{
		name:        name,
		flows:       map[string]*flow{},
		seq:         len(p.customers),
		retryBudget: p.cfg.initialRetryBudget,
		blocked:     true,
	}
	c.quotaTimer = newTimer(func(now time.Time) { p.updateQuota(c, now) })
	p.customers[name] = c
	return c
}

func (c *customer) weight() float64 {
	return float64(max(c.plan.Weight, 1))
}

func (c *customer) mayStart(now time.Time) bool {
	return c.running < c.share.MaxRunning && c.starts.count(now) < c.share.StartsPerSecond
}

// updateQuota blocks or unblocks the flows of a customer according to its quotas.
func (p *Placer) updateQuota(c *customer, now time.Time) {
	blocked := !c.mayStart(now)
	if blocked && c.running < c.share.MaxRunning && c.starts.length > 0 {
		p.timers.schedule(&c.quotaTimer, c.starts.oldestExpiry())
	}
	if blocked == c.blocked {
		return
	}
	c.blocked = blocked
	for _, f := range c.flowList {
		for _, sf := range f.subflows {
			p.updateActive(sf)
		}
	}
}

// creditRetryBudget adds the retries for one start to a customer's budget, up to its upper bound.
func (p *Placer) creditRetryBudget(c *customer) {
	c.retryBudget = min(c.retryBudget+p.cfg.retriesPerStart, maxRetryBudgetFactor*p.cfg.initialRetryBudget)
}
