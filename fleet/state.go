package fleet

import (
	"maps"
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// Kind names what a command does.
type Kind int

// The commands.
const (
	KindRoutes Kind = iota + 1 // puts a version of the routes
	KindPlace                  // gives the placing of a data centre to a host
	KindRead                   // changes nothing: its commit proves that the reader leads
	KindTable                  // keeps the backend servers of a data centre
)

// Command is one entry of the core's log.
type Command struct {
	Kind      Kind
	Routes    *model.RoutesText
	Placement *model.Placement // without Epoch and Former, which the book gives
	Table     *model.ServerTable
}

// Result is the effect of a command.
type Result struct {
	Changed bool
	Routes  model.RoutesText // newest, after the command
}

// Snapshot is the whole state of a book.
type Snapshot struct {
	Routes     model.RoutesText
	Placements []model.Placement
	Epoch      uint64
	Tables     []model.ServerTable
}

// Book is what the core has committed.
type State struct {
	routes     model.RoutesText
	placements map[string]model.Placement // by data centre
	epoch      uint64                     // last one given
	tables     map[string]model.ServerTable
}

// NewBook returns a book without routes and placements.
func NewState() *State {
	return &State{placements: map[string]model.Placement{}, tables: map[string]model.ServerTable{}}
}

// Restore returns a book with the state of a snapshot.
func Restore(s Snapshot) *State {
	b := NewState()
	b.routes, b.epoch = s.Routes, s.Epoch
	for _, p := range s.Placements {
		b.placements[p.DataCentre] = p
	}
	for _, t := range s.Tables {
		b.tables[t.DataCentre] = t
	}
	return b
}

// Snapshot returns the state of the book.
func (b *State) Snapshot() Snapshot {
	s := Snapshot{Routes: b.routes, Placements: b.Placements(), Epoch: b.epoch}
	for _, dc := range slices.Sorted(maps.Keys(b.tables)) {
		s.Tables = append(s.Tables, b.tables[dc])
	}
	return s
}

// Routes returns the newest routes; their version is 0 before the first.
func (b *State) Routes() model.RoutesText {
	return b.routes
}

// Placement returns who places for a data centre, a zero value for nobody.
func (b *State) Placement(dataCentre string) model.Placement {
	return b.placements[dataCentre]
}

// Table returns the newest table of a data centre's backend servers.
func (b *State) Table(dataCentre string) model.ServerTable {
	return b.tables[dataCentre]
}

// Placements returns who places, sorted by data centre.
func (b *State) Placements() []model.Placement {
	return model.SortPlacements(b.placements)
}

// Apply carries out a committed command. Routes take effect only if their
// version is higher than that of the newest.
func (b *State) Apply(c Command) Result {
	changed := false
	switch {
	case c.Kind == KindRoutes && c.Routes != nil && c.Routes.Version > b.routes.Version:
		b.routes, changed = *c.Routes, true
	case c.Kind == KindPlace && c.Placement != nil:
		b.epoch++
		p := *c.Placement
		p.Epoch, p.Former = b.epoch, b.placements[p.DataCentre].Epoch
		b.placements[p.DataCentre], changed = p, true
	case c.Kind == KindTable && c.Table != nil && c.Table.Newer(b.tables[c.Table.DataCentre]):
		b.tables[c.Table.DataCentre], changed = *c.Table, true
	}
	return Result{Changed: changed, Routes: b.routes}
}
