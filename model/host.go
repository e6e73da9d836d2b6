package model

// Host is one entry host of the system.
type Host struct {
	Name        string
	DataCentre  string
	Address     string // IP and port on which other hosts reach it
	Incarnation uint64 // random, new at each start of the process
}
