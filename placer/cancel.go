package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
)

// cancelJob cancels a job of this host's shard, and answers unless the id can't be kept for copies that arrive later.
// Its end goes to all entry hosts that wait for it. The id is kept while this host doesn't place, as the placement may
// arrive after the cancel.
func (n *PlacingService) cancelJob(m msgs.JobCancel, now time.Time) {
	held := m.Request == 0
	if !n.places(m.Shard) {
		n.cancelled.Add(m.Job, held, now)
		return
	}
	r := n.placer.Cancel(m.Job, held, now)
	n.cancelled.Add(m.Job, r.Known, now)
	if m.Request != 0 && r.Kept {
		// Without the answer the entry host doesn't acknowledge the cancel.
		_ = n.Send(m.Host, msgs.ServiceEntry, msgs.JobCancelled{
			Request: m.Request, DataCentre: n.DataCentre, Shard: n.shard, Known: r.Known, Ended: r.Ended,
		})
	}
}

// applyCancels tells a new placer which jobs were cancelled before it began.
func (n *PlacingService) applyCancels(now time.Time) {
	n.cancelled.Evict(now)
	for job, held := range n.cancelled.All() {
		n.placer.Cancel(job, held, now)
	}
}
