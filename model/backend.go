package model

import "time"

// BackendServer is the announcement of a backend server.
type BackendServer struct {
	Name         string
	Address      string // IP and port on which it accepts task calls
	DataCentre   string
	Services     []string
	Slots        int // tasks it runs at the same time
	Connections  int // connections it accepts from all entry hosts together
	MemoryBytes  int64
	Accelerators int
	Lease        time.Duration // validity of the announcement without renewal
	Usage        Usage
}

// Usage is the load that a backend server reports. It lags behind the actual load.
type Usage struct {
	Running     int
	MemoryBytes int64
}
