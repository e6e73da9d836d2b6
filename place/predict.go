package place

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
)

// admitDeadline refuses a job whose deadline can't be met, judged by the learned run
// times and the tasks queued before it. In doubt it admits the job.
func (p *Placer) admitDeadline(c *customer, req Request, tasks []Shape, now time.Time) *model.RefusalError {
	if req.Deadline.IsZero() {
		return nil
	}
	if !req.Deadline.After(now) {
		return refusal(model.CodeDeadlineUnmet, "Deadline", "the deadline has passed")
	}
	for i, t := range tasks {
		if i > 0 && t.Service == tasks[i-1].Service {
			continue
		}
		took, known := p.predict(c, t.Service, countTasks(tasks, t.Service), req.Deadline, now)
		if known && now.Add(took).After(req.Deadline) {
			return refusal(model.CodeDeadlineUnmet, "Deadline",
				"the tasks of service %q are expected to take until %s after now, the deadline is %s after now",
				t.Service, took.Round(time.Millisecond), req.Deadline.Sub(now).Round(time.Millisecond))
		}
	}
	return nil
}

func countTasks(tasks []Shape, service string) int {
	n := 0
	for i := range tasks {
		if tasks[i].Service == service {
			n++
		}
	}
	return n
}

// predict estimates how long n more tasks of a customer take from now on. It returns
// false if too few run times are known.
func (p *Placer) predict(c *customer, name string, n int, due, now time.Time) (time.Duration, bool) {
	f, s := c.flows[name], p.services[name]
	if f == nil || f.run.count < minLearnedSamples {
		return 0, false
	}
	slots, rate := s.speeds.slotsUpTo(speedClasses - 1)
	if slots == 0 {
		return 0, false
	}
	run := f.meanSeconds() * s.speeds.fastest()
	queue := f.queuedDueBy(due, now) + n
	wait := max(p.slotWait(f, queue, n, slots, rate), c.quotaWait(queue, run))
	if wait > 0 && !p.usesMeanRunTime(f) {
		run = f.run.longest(n) * float64(slots) / rate
	}
	return time.Duration((wait + run) * float64(time.Second)), true
}

// usesMeanRunTime reports whether a job of the flow is judged by its mean run time
// because its customer is within its share. The estimate of the longest of many run
// times is often too high. That sheds large jobs when the load exceeds the capacity,
// but a customer within its share is entitled to the slots.
func (p *Placer) usesMeanRunTime(f *flow) bool {
	return p.cfg.meanWithinShare && f.withinShare()
}

// slotWait estimates, in seconds, how long the last of the queued tasks of a flow
// waits for a slot: by the flow's share of the slots, or until all waiting tasks of
// the service have started, whichever is sooner.
func (p *Placer) slotWait(f *flow, queue, n, slots int, rate float64) float64 {
	s := f.service
	idle := 0
	if s.eligible == 0 {
		idle = max(slots-s.running, 0)
	}
	share := 1.0
	if otherWeight := s.otherWeight(f); otherWeight > 0 {
		share = f.customer.weight() / (f.customer.weight() + otherWeight)
	}
	byShare := float64(max(queue-idle, 0)) * f.run.average / (rate * share)
	byAll := float64(max(s.waiting+n-idle, 0)) * s.run.average / rate
	return min(byShare, byAll)
}

// otherWeight returns the total weight of the flows that compete with f.
func (s *service) otherWeight(f *flow) float64 {
	if f.activeQueues > 0 {
		return s.weight - f.customer.weight()
	}
	return s.weight
}

// quotaWait returns, in seconds, the minimum delay of the last of the queued tasks
// by the customer's quotas.
func (c *customer) quotaWait(queue int, run float64) float64 {
	if c.share.MaxRunning <= 0 || c.share.StartsPerSecond <= 0 {
		return 0
	}
	byRunning := float64(max(queue-c.share.MaxRunning+c.running, 0)) * run / float64(c.share.MaxRunning)
	byStarts := float64(max(queue-1, 0)/c.share.StartsPerSecond) * rateWindow.Seconds()
	return max(byRunning, byStarts)
}
