package entry

import (
	"cmp"
	"slices"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// serverTable is the version of a shard's table of backend servers that this host has.
type serverTable struct {
	version    uint64
	epoch      uint64    // of the placer that sent the table
	completeAt time.Time // when that placer is known to have had no newer table, zero if unknown
}

// table returns the version of the table of a shard of the own data centre, the zero value for none.
func (n *JobService) table(shard int) serverTable {
	if shard < 0 || shard >= len(n.tables) {
		return serverTable{}
	}
	return n.tables[shard]
}

// shardCount returns the number of shards of a data centre.
func (n *JobService) shardCount(dataCentre string) int {
	return max(n.shards[dataCentre], 1)
}

// ownKey returns the shard of a job in the own data centre.
func (n *JobService) ownKey(job string) model.ShardKey {
	return model.ShardKey{DataCentre: n.DataCentre, Shard: model.ShardOf(job, n.shardCount(n.DataCentre))}
}

// stateOf returns the state of the placer of a placement, nil if the placement is unknown or its host
// was placed for another shard since.
func (n *JobService) stateOf(p model.Placement) *placerState {
	if s := n.placers[p.Host]; s != nil && s.epoch == p.Epoch {
		return s
	}
	return nil
}

// available reports whether jobs can be handed over to a placer.
func (n *JobService) available(p model.Placement) bool {
	return !n.stateOf(p).unavailable()
}

// ownAvailable reports whether any placer of the own data centre is available.
func (n *JobService) ownAvailable() bool {
	for shard := range n.shardCount(n.DataCentre) {
		if n.available(n.placements[model.ShardKey{DataCentre: n.DataCentre, Shard: shard}]) {
			return true
		}
	}
	return false
}

// placerFor returns the placer of a job's shard or, while that is unavailable, the next available one
// of the own data centre, or else of another one. The id of the job selects it, which spreads the jobs
// over all of them.
func (n *JobService) placerFor(job string) (model.Placement, bool) {
	own := n.placements[n.ownKey(job)]
	if !n.bypassed(n.DataCentre) {
		if n.available(own) {
			return own, true
		}
		if others := n.otherShards(job); len(others) > 0 {
			return others[0], true
		}
	}
	if p, ok := n.selectPlacer(job, nil); ok {
		return p, true
	}
	return own, false
}

// otherShards returns the available placers of the own data centre beside that of the job's shard, in
// the order of the job.
func (n *JobService) otherShards(job string) []model.Placement {
	var list []model.Placement
	for _, shard := range model.ShardOrder(job, n.shardCount(n.DataCentre))[1:] {
		if p := n.placements[model.ShardKey{DataCentre: n.DataCentre, Shard: shard}]; n.available(p) {
			list = append(list, p)
		}
	}
	return list
}

// otherPlacers returns the placers of reachablePlacers whose data centres aren't evacuated.
func (n *JobService) otherPlacers(job string) []model.Placement {
	return slices.DeleteFunc(n.reachablePlacers(job), func(p model.Placement) bool { return n.bypassed(p.DataCentre) })
}

// reachablePlacers returns an available placer of each other data centre, sorted by data centre: that of
// the job's shard there, or the next one. Those after the own data centre come first, so that the load of
// several data centres doesn't all go to the same one.
func (n *JobService) reachablePlacers(job string) []model.Placement {
	var list []model.Placement
	for dc, count := range n.shards {
		if dc == n.DataCentre {
			continue
		}
		for _, shard := range model.ShardOrder(job, count) {
			if p := n.placements[model.ShardKey{DataCentre: dc, Shard: shard}]; n.available(p) {
				list = append(list, p)
				break
			}
		}
	}
	slices.SortFunc(list, func(a, b model.Placement) int {
		// Names after the own data centre's compare as 1, names before it as -1.
		return cmp.Or(
			-cmp.Compare(cmp.Compare(a.DataCentre, n.DataCentre), cmp.Compare(b.DataCentre, n.DataCentre)),
			cmp.Compare(a.DataCentre, b.DataCentre),
		)
	})
	return list
}

// nextPlacer returns the next placer for a job that was refused for the load: those of the other shards
// of the own data centre, then one of each other data centre. All entry hosts of a data centre use the
// same order, so that a copy of the job follows it.
func (n *JobService) nextPlacer(j *openJob) (model.Placement, bool) {
	placers := n.otherPlacers(j.handover.Job)
	if !n.leftOut(j) {
		placers = slices.Concat(n.otherShards(j.handover.Job), placers)
	}
	for _, p := range placers {
		if !j.refusedBy[n.refuser(p)] {
			return p, true
		}
	}
	return model.Placement{}, false
}

// refuser returns the key under which a refusal of a placer counts: its shard in the own data centre, and
// a whole other data centre.
func (n *JobService) refuser(p model.Placement) model.ShardKey {
	if p.DataCentre == n.DataCentre {
		return p.Key()
	}
	return model.ShardKey{DataCentre: p.DataCentre}
}

// placerExpected reports whether a job should wait for the next placer of its shard, because the core is
// about to choose it: the host of the last one has restarted, and hosts of the core answer, though they
// may still be electing a leader. A job doesn't wait while another shard can take it.
func (n *JobService) placerExpected(job string, now time.Time) bool {
	s := n.stateOf(n.placements[n.ownKey(job)])
	return s != nil && s.idle && !s.silent && now.Sub(n.coreContact) < coreTimeout && !n.ownAvailable() && !n.bypassed(n.DataCentre)
}

// reportTables adds to a renewal which table this host has of each shard, and the placers of the own
// data centre that it can't reach.
func (n *JobService) reportTables(m *msgs.HostRenew) {
	for shard := range n.shardCount(n.DataCentre) {
		p, ok := n.placements[model.ShardKey{DataCentre: n.DataCentre, Shard: shard}]
		if !ok {
			continue
		}
		t := n.table(shard)
		m.SetTable(msgs.TableVersion{Shard: shard, Epoch: t.epoch, Servers: t.version})
		if s := n.stateOf(p); s != nil && s.silent {
			m.AddSuspect(p.Host)
		}
	}
}
