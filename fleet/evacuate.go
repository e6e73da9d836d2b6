package fleet

import (
	"slices"

	"dogwoodrock.example/dogwoodrock/model"
)

// MaxEvacuated is the number of data centres that can be evacuated at the same time. Orders may name
// data centres that don't exist, and all evacuated ones are listed in each reply to an entry host.
const MaxEvacuated = 128

// Evacuations returns the evacuated data centres.
func (s *State) Evacuations() model.Evacuations {
	return s.evacuated
}

// evacuate executes an order about one data centre. An order that is repeated changes nothing. The
// list is replaced and never modified, because messages refer to it.
func (s *State) evacuate(e model.Evacuation) (changed, refused bool) {
	i, found := slices.BinarySearch(s.evacuated.DataCentres, e.DataCentre)
	list := slices.Clone(s.evacuated.DataCentres)
	switch {
	case found == e.Evacuated:
		return false, false
	case found:
		list = slices.Delete(list, i, i+1)
	case len(list) >= MaxEvacuated:
		return false, true
	default:
		list = slices.Insert(list, i, e.DataCentre)
	}
	s.evacuated = model.Evacuations{DataCentres: list, Version: s.evacuated.Version + 1}
	return true, false
}
