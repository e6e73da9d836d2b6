package stand

import "time"

// Config holds the settings of one stand-in backend server. Zero values get defaults.
type Config struct {
	Name         string
	DataCentre   string
	Listen       string   // IP and port; port 0 picks a free one
	Entries      []string // IP and port of the entry hosts to announce to
	Services     []string
	Slots        int
	Connections  int
	MemoryMB     int
	Accelerators int
	Speed        float64       // a task takes its declared time divided by this
	Lease        time.Duration // renewed three times in this period
}

// withDefaults returns c with defaults in place of zero values.
func (c Config) withDefaults() Config {
	const (
		slots       = 8
		connections = 60
		memoryMB    = 65536
		lease       = 3 * time.Second
	)
	if c.Listen == "" {
		c.Listen = "127.0.0.1:0"
	}
	if c.Slots == 0 {
		c.Slots = slots
	}
	if c.Connections == 0 {
		c.Connections = connections
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = memoryMB
	}
	if c.Speed <= 0 {
		c.Speed = 1
	}
	if c.Lease == 0 {
		c.Lease = lease
	}
	return c
}
