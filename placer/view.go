package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/runs"
)

// Inspect requests a View.
type Inspect struct {
	Reply func(View)
}

// View is the state of a host's placer. Epoch is 0 while the host doesn't place.
type View struct {
	Epoch   uint64
	Shard   int
	Shards  int // number of shards of the data centre
	Jobs    int
	Waiting int
	Kinds   []runs.Kind
}

func (n *PlacingService) view(now time.Time) View {
	if n.placer == nil {
		return View{}
	}
	return View{Epoch: n.placer.Epoch(), Shard: n.shard, Shards: n.placement.Count(), Jobs: n.placer.Jobs(), Waiting: n.placer.Waiting(), Kinds: n.placer.Kinds(now)}
}
