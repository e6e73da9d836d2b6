package model

// Evacuation is an operator's order to evacuate a data centre, or to revert that.
type Evacuation struct {
	DataCentre string
	Evacuated  bool
}

// Evacuations are the evacuated data centres. Version increases with each change, so a host that
// receives several of them keeps the one with the highest version.
type Evacuations struct {
	DataCentres []string // sorted
	Version     uint64
}
