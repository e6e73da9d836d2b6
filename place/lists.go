package place

import (
	"maps"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// SetLists applies new lists of plans and customers. Queued jobs that they no
// longer allow are refused.
func (p *Placer) SetLists(l model.Lists, now time.Time) {
	plans := make(map[string]int, len(l.Plans))
	for i, plan := range l.Plans {
		plans[plan.Name] = i
	}
	for _, c := range p.customers {
		c.known = false
	}
	for i, line := range l.Customers {
		at, ok := plans[line.Plan]
		if !ok {
			continue
		}
		c := p.customer(line.Name)
		c.known, c.line = true, i+1
		p.setPlan(c, l.Plans[at], at+1)
	}
	p.applyLists(now)
}

func (p *Placer) setPlan(c *customer, plan model.Plan, line int) {
	before := c.weight()
	c.plan, c.planLine = plan, line
	for _, f := range c.flowList {
		if f.activeQueues > 0 {
			f.service.weight += c.weight() - before
		}
	}
	c.services = make(map[string]bool, len(plan.Services))
	for _, s := range plan.Services {
		c.services[s] = true
	}
}

// SetShares sets the shares of the limits that apply in this data centre, by
// customer. A customer without an entry has all limits of its plan.
func (p *Placer) SetShares(shares map[string]Share, now time.Time) {
	p.shares = shares
	p.applyLists(now)
}

// applyLists updates quotas and queues according to the lists and shares.
func (p *Placer) applyLists(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(p.customers)) {
		c := p.customers[name]
		c.share = Share{MaxRunning: c.plan.MaxRunning, StartsPerSecond: c.plan.StartsPerSecond}
		if share, ok := p.shares[name]; ok {
			c.share = share
		}
		p.refuseDisallowed(c, now)
		p.updateQuota(c, now)
	}
	p.dispatch(now)
}

// refuseDisallowed refuses the queued jobs of a customer that the lists no longer allow.
func (p *Placer) refuseDisallowed(c *customer, now time.Time) {
	for _, f := range c.flowList {
		if c.known && c.services[f.service.name] {
			continue
		}
		code, reason := model.CodeServiceNotInPlan, "the service was taken out of "+c.planRef()
		if !c.known {
			code, reason = model.CodeUnknownCustomer, "the customer was taken out of the list of customers"
		}
		for _, sf := range f.subflows {
			for sf.jobs.Len() > 0 {
				p.refuse(sf.jobs.Top().job, code, reason, now)
			}
		}
	}
}
