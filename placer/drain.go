package placer

import (
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/runs"
)

// A server that drains is promised to get no more tasks. If this host is lost right after the acknowledgement, the
// next placer starts tasks from its own copy of the table. So the acknowledgement waits until the hosts of the data
// centre that may place next have confirmed the change.

// drainTimeout is how long these hosts have to confirm it. It is shorter than the 0.8 s and 0.9 s for which the core
// and the address for reports wait for the placer.
const drainTimeout = 700 * time.Millisecond

// pendingDrain is a report that a server drains which isn't acknowledged yet.
type pendingDrain struct {
	version uint64 // of the table that has the change
	reply   func(ReportResult)
	expires time.Time
}

// report handles a report of a backend server and replies to it.
func (n *PlacingService) report(s model.Server, reply func(ReportResult), now time.Time) {
	r := n.handleReport(s, now)
	c, ok := n.changes[s.Name]
	if !r.Accepted || !s.Draining || !ok || c.server.Left {
		reply(r)
		return
	}
	n.pendingDrains = append(n.pendingDrains, pendingDrain{version: c.version, reply: reply, expires: now.Add(drainTimeout)})
	n.answerDrains(now)
}

// answerDrains acknowledges the reports whose change all hosts have confirmed that may place next. After drainTimeout,
// for example while one of them is frozen, it suffices that one has; otherwise the server has to report again.
func (n *PlacingService) answerDrains(now time.Time) {
	n.pendingDrains = slices.DeleteFunc(n.pendingDrains, func(d pendingDrain) bool {
		confirmed, missing := n.confirmations(d.version, now)
		expired := !now.Before(d.expires)
		alone := confirmed+missing == 0 && now.Sub(n.beganAt) >= runs.ReplicationTime // no other host has pulsed
		acknowledged := missing == 0 && confirmed > 0 || expired && confirmed > 0 || alone
		if acknowledged || expired {
			d.reply(ReportResult{Accepted: acknowledged})
			return true
		}
		return false
	})
}

// confirmations returns how many other hosts that may place next have confirmed a version of the table, and how many
// haven't.
func (n *PlacingService) confirmations(version uint64, now time.Time) (confirmed, missing int) {
	for name, r := range n.replicas {
		switch {
		case name == n.Self || now.Sub(r.sentAt) >= runs.ReplicationTime:
		case r.confirmed >= version:
			confirmed++
		default:
			missing++
		}
	}
	return confirmed, missing
}

// rejectDrains has the servers report again to the next placer.
func (n *PlacingService) rejectDrains() {
	for _, d := range n.pendingDrains {
		d.reply(ReportResult{})
	}
	n.pendingDrains = nil
}
