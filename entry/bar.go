package entry

import (
	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/placer"
)

// sendBar tells the other placers that a start which the placer of this host ordered may still be carried out. Copies
// of the job may go to any of them.
func (n *JobService) sendBar(m placer.LateStart) {
	source := model.ShardKey{DataCentre: n.DataCentre, Shard: m.Shard}
	for key, p := range n.placements {
		if key != source {
			_ = n.Send(p.Host, msgs.ServicePlacer, msgs.JobBar{
				Job: m.Job, Remaining: m.Remaining, DataCentre: n.DataCentre, Shard: m.Shard, To: p.Shard,
			}) // sent again as long as the bar holds
		}
	}
}
