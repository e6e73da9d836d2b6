package fleet

import (
	"maps"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Kind is the kind of a Command.
type Kind int

// The kinds of commands.
const (
	KindRoutes   Kind = iota + 1 // replaces the routes by a newer version
	KindPlace                    // makes a host the placer of a shard
	KindRead                     // changes nothing; its commit proves that the reader is the leader
	KindTable                    // replaces the server table of a shard by a newer one
	KindEvacuate                 // evacuates a data centre, or reverts that
	KindShards                   // sets the number of shards of a data centre that has no placement
)

// Command is one entry of the core's log.
type Command struct {
	Kind      Kind
	Routes    *model.RoutesText
	Placement *model.Placement // without Epoch and Former, which Apply sets
	Table     *model.ServerTable
	Shards    *model.ShardCount

	Evacuation *model.Evacuation
}

// Result is the effect of a command.
type Result struct {
	Changed bool
	Refused bool             // the command would exceed a limit of the state
	Routes  model.RoutesText // newest ones after the command
}

// Snapshot is the serializable form of a State.
type Snapshot struct {
	Routes     model.RoutesText
	Placements []model.Placement
	Epoch      uint64
	Tables     []model.ServerTable
	Shards     []model.ShardCount // of the data centres with several shards

	Evacuated         []string // sorted
	EvacuationVersion uint64
}

// State is the state that the core has committed.
type State struct {
	routes     model.RoutesText
	placements map[model.ShardKey]model.Placement
	epoch      uint64 // last one assigned
	tables     map[model.ShardKey]model.ServerTable
	shards     map[string]int // by data centre, those with several shards
	evacuated  model.Evacuations
}

// NewState returns a State without routes, placements and tables.
func NewState() *State {
	return &State{
		placements: map[model.ShardKey]model.Placement{}, tables: map[model.ShardKey]model.ServerTable{}, shards: map[string]int{},
	}
}

// Restore returns the State of a snapshot.
func Restore(snap Snapshot) *State {
	s := NewState()
	s.routes, s.epoch = snap.Routes, snap.Epoch
	for _, p := range snap.Placements {
		s.placements[p.Key()] = p
	}
	for _, t := range snap.Tables {
		s.tables[t.Key()] = t
	}
	for _, c := range snap.Shards {
		s.shards[c.DataCentre] = c.Shards
	}
	s.evacuated = model.Evacuations{DataCentres: snap.Evacuated, Version: snap.EvacuationVersion}
	return s
}

// Snapshot returns a snapshot of the state.
func (s *State) Snapshot() Snapshot {
	snap := Snapshot{Routes: s.routes, Placements: s.Placements(), Epoch: s.epoch, Shards: s.ShardCounts()}
	for _, key := range slices.SortedFunc(maps.Keys(s.tables), model.ShardKey.Compare) {
		snap.Tables = append(snap.Tables, s.tables[key])
	}
	snap.Evacuated, snap.EvacuationVersion = s.evacuated.DataCentres, s.evacuated.Version
	return snap
}

// Routes returns the newest routes, with version 0 if there are none yet.
func (s *State) Routes() model.RoutesText {
	return s.routes
}

// PlacementOf returns the newest placement of a process of a host, the zero value if it has none.
func (s *State) PlacementOf(host string, incarnation uint64) model.Placement {
	var newest model.Placement
	for _, p := range s.placements {
		if p.Host == host && p.Incarnation == incarnation && p.Epoch > newest.Epoch {
			newest = p
		}
	}
	return newest
}

// Table returns the newest table of a shard's backend servers, the zero value if it has none.
func (s *State) Table(key model.ShardKey) model.ServerTable {
	return s.tables[key]
}

// ShardCounts returns the number of shards of the data centres with several, sorted by data centre.
func (s *State) ShardCounts() []model.ShardCount {
	var list []model.ShardCount
	for _, dc := range slices.Sorted(maps.Keys(s.shards)) {
		list = append(list, model.ShardCount{DataCentre: dc, Shards: s.shards[dc]})
	}
	return list
}

// Placements returns all placements, sorted by data centre and shard.
func (s *State) Placements() []model.Placement {
	return model.SortPlacements(s.placements)
}

// Apply executes a committed command. Routes and tables take effect only if they are newer than the
// present ones.
func (s *State) Apply(c Command) Result {
	changed, refused := false, false
	switch {
	case c.Kind == KindRoutes && c.Routes != nil && c.Routes.Version > s.routes.Version:
		s.routes, changed = *c.Routes, true
	case c.Kind == KindPlace && c.Placement != nil && s.validShard(*c.Placement):
		s.epoch++
		p := *c.Placement
		p.Epoch, p.Former = s.epoch, s.placements[p.Key()].Epoch
		s.placements[p.Key()], changed = p, true
	case c.Kind == KindTable && c.Table != nil && c.Table.Newer(s.tables[c.Table.Key()]):
		s.tables[c.Table.Key()], changed = *c.Table, true
	case c.Kind == KindShards && c.Shards != nil && s.mayDivide(*c.Shards):
		s.shards[c.Shards.DataCentre], changed = c.Shards.Shards, true
	case c.Kind == KindEvacuate && c.Evacuation != nil:
		changed, refused = s.evacuate(*c.Evacuation)
	}
	return Result{Changed: changed, Refused: refused, Routes: s.routes}
}

// validShard reports whether a placement is for a shard of the committed count. One that a leader
// proposed on the basis of another count, which was not committed, has no effect.
func (s *State) validShard(p model.Placement) bool {
	count := max(s.shards[p.DataCentre], 1)
	return p.Count() == count && p.Shard >= 0 && p.Shard < count
}

// mayDivide reports whether a data centre may get this number of shards: it has neither a number nor a
// placement yet. Servers and jobs of a data centre with a placement have their shard already.
func (s *State) mayDivide(c model.ShardCount) bool {
	_, placed := s.placements[model.ShardKey{DataCentre: c.DataCentre}]
	_, divided := s.shards[c.DataCentre]
	return !placed && !divided && c.Shards > 1 && c.Shards <= model.MaxShards
}
