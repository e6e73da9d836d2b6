package placer

import (
	"fmt"
	"time"

	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/runs"
)

// LateStart asks the entry service of this host, which knows the placers of all data centres, to tell them of a bar.
type LateStart struct {
	runs.Bar
	Shard int // of this host
}

// barJob bars a job in the shard of this host.
func (n *PlacingService) barJob(m msgs.JobBar, now time.Time) {
	if n.places(m.To) {
		n.placer.Bar(runs.Bar{Job: m.Job, Remaining: m.Remaining}, fmt.Sprint(m.DataCentre, "/", m.Shard), now)
	}
}
