package placer

import (
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/rooms"
)

// shardTable is the table of backend servers of a shard that this host doesn't place, kept so that it
// can take over the shard.
type shardTable struct {
	servers    map[string]model.Server
	version    uint64
	epoch      uint64
	completeAt time.Time
	final      bool
	placed     uint64 // latest epoch under which this process placed the shard
}

// table returns the table of a shard other than the selected one.
func (n *PlacingService) table(shard int) *shardTable {
	t, ok := n.otherTables[shard]
	if !ok {
		t = &shardTable{servers: map[string]model.Server{}}
		if n.otherTables == nil {
			n.otherTables = map[int]*shardTable{}
		}
		n.otherTables[shard] = t
	}
	return t
}

// selectShard makes a shard the one that this host may place, with the table that it has of it. The
// host must not be placing.
func (n *PlacingService) selectShard(shard int) {
	if shard == n.shard {
		return
	}
	next := n.table(shard)
	delete(n.otherTables, shard)
	n.otherTables[n.shard] = &shardTable{
		servers: n.servers, version: n.tableVersion, epoch: n.tableEpoch,
		completeAt: n.tableCompleteAt, final: n.tableFinal, placed: n.lastEpochPlaced,
	}
	n.shard = shard
	n.servers, n.tableVersion, n.tableEpoch = next.servers, next.version, next.epoch
	n.tableCompleteAt, n.tableFinal, n.lastEpochPlaced = next.completeAt, next.final, next.placed
	n.changes, n.candidates = map[string]change{}, map[string]model.Server{}
	n.placement = n.otherPlacements[shard]
}

// updatePlacement handles a placement of any shard of the data centre. A host that is placed for
// another shard under a newer epoch places that one from then on; the core places its previous shard
// again.
func (n *PlacingService) updatePlacement(m PlacementUpdate, now time.Time) {
	p := m.Placement
	n.shards = p.Count()
	n.setEvacuation(m.Evacuation, now)
	if p.Shard != n.shard {
		n.setOtherPlacement(m, now)
		return
	}
	if m.TableEpoch == n.tableEpoch {
		n.tableCompleteAt = m.TableCompleteAt
	}
	n.setPlacement(p, now)
}

// setOtherPlacement handles a placement of a shard other than the selected one.
func (n *PlacingService) setOtherPlacement(m PlacementUpdate, now time.Time) {
	p, t := m.Placement, n.table(m.Placement.Shard)
	if p.Epoch <= n.otherPlacements[p.Shard].Epoch {
		return
	}
	if n.otherPlacements == nil {
		n.otherPlacements = map[int]model.Placement{}
	}
	if m.TableEpoch == t.epoch {
		t.completeAt = m.TableCompleteAt
	}
	if n.isSelf(p) && p.Epoch > n.newestEpochPlaced {
		n.stopPlacing("placed for another shard")
		n.otherPlacements[n.shard] = n.placement
		n.selectShard(p.Shard)
		n.setPlacement(p, now)
		return
	}
	n.otherPlacements[p.Shard] = p
	n.room.reports.Forget(p.Shard)
	if p.Former != 0 && p.Former == t.placed && t.epoch == p.Former && p.Host != n.Self {
		n.sendTable(p.Host, p.Shard, t)
	}
}

// isSelf reports whether a placement is for this process.
func (n *PlacingService) isSelf(p model.Placement) bool {
	return p.Host == n.Self && p.Incarnation == n.Incarnation
}

// placementOf returns the latest known placement of a shard.
func (n *PlacingService) placementOf(shard int) model.Placement {
	if shard == n.shard {
		return n.placement
	}
	return n.otherPlacements[shard]
}

// places reports whether this host places a shard.
func (n *PlacingService) places(shard int) bool {
	return n.placer != nil && shard == n.shard
}

// ownShard reports whether a backend server belongs to the shard of this host.
func (n *PlacingService) ownShard(server string) bool {
	return model.ShardOf(server, n.shards) == n.shard
}

// apply applies a table, or its changes, of the placer of an epoch.
func (t *shardTable) apply(m TableUpdate) {
	if m.Epoch < t.epoch || (m.Epoch == t.epoch && t.final) {
		return
	}
	if m.Epoch > t.epoch {
		t.epoch, t.completeAt, t.final = m.Epoch, time.Time{}, false
	}
	updateServers(t.servers, m)
}

// updateServers applies a table, or its changes, to a map of servers.
func updateServers(servers map[string]model.Server, m TableUpdate) {
	if m.Complete {
		clear(servers)
	}
	for _, s := range m.Servers {
		if s.Left {
			delete(servers, s.Name)
			continue
		}
		servers[s.Name] = s
	}
}

// rooms returns how many tasks of each service this shard could start now, for an entry host of its data centre.
// Those of the only shard are for this host alone, which reports them to other data centres.
func (n *PlacingService) rooms(host string, now time.Time) []msgs.ServiceRoom {
	if n.placement.Count() <= 1 && (n.Balance != rooms.DataCentres || host != n.Self) {
		return nil
	}
	var list []msgs.ServiceRoom
	for _, room := range n.placer.Rooms(now) {
		list = append(list, msgs.ServiceRoom{Service: room.Service, Tasks: room.Tasks})
	}
	return list
}
