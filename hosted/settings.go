package hosted

import (
	"time"

	"dogwoodrock.example/dogwoodrock/rooms"
	"dogwoodrock.example/dogwoodrock/shed"
)

// Settings are the settings of a host.
type Settings struct {
	Name        string // in logs
	Address     string // IP address at which other hosts reach it
	DataCentre  string
	PeerListen  string   // listen address for other hosts, empty for Address:PeerPort; set if the host is behind a relay
	PeerPort    int      // port for calls between hosts, the same on all hosts
	Seeds       []string // IP addresses of hosts of the core
	Founding    bool     // set on the first start of the whole system
	DataFolder  string   // of a host of the core, empty on an entry host
	Capacity    int64    // processor time, thousandths of a core
	MemoryBytes int64    // memory limit of the process, 0 for none
	DiskBytes   int64    // size of the disk of a host of the core, 0 for unknown
	MaxFDs      int      // open files and connections of the process, 0 for unknown
	Admission   shed.Admission
	Balance     rooms.Balance
	Grace       time.Duration // from the signal to stop to the end of the process

	// PlacingCapacity is the processor time that placing for a whole data centre needs, in thousandths
	// of a core, 0 for a single placer in any case. Used by a host of the core.
	PlacingCapacity int64

	// RoutesBytes is the size of the largest configuration that is accepted while no entry host has renewed,
	// 0 for no limit. Used by a host of the core.
	RoutesBytes int64
}
