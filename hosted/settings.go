package hosted

import "time"

// Settings is what a host is told at its start.
type Settings struct {
	Name        string // in logs
	Address     string // IP by which other hosts know it
	DataCentre  string
	PeerListen  string        // address of the listener for other hosts, empty for Address and PeerPort; for a host behind a relay
	PeerPort    int           // of calls between hosts, the same on all
	Seeds       []string      // IPs of hosts of the core
	Founding    bool          // the whole system starts for the first time
	DataFolder  string        // of a host of the core, empty on an entry host
	Capacity    int64         // processor time, thousandths of a core
	MemoryBytes int64         // that the process may use, 0 for any
	Grace       time.Duration // from the signal to stop to the end of the process
}
