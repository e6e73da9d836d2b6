package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// handleJob handles a message about a job.
func (n *PlacingService) handleJob(msg any, now time.Time) {
	switch m := msg.(type) {
	case msgs.JobHand:
		n.submitJob(m, now)
	case msgs.JobWithdraw:
		n.withdrawJob(m, now)
	case msgs.JobCancel:
		n.cancelJob(m, now)
	case msgs.JobBar:
		n.barJob(m, now)
	}
}

func (n *PlacingService) withdrawJob(m msgs.JobWithdraw, now time.Time) {
	if n.placer == nil {
		return
	}
	if p := n.processes[m.Host]; p != nil && p.Current != m.Incarnation {
		return // each process of the host has its own numbers for handovers
	}
	n.recordContact(m.Host, m.Incarnation, now)
	n.placer.Withdraw(m.Job, m.Host, m.Hand, now)
}
