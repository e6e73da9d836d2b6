package bench

import (
	"maps"
	"slices"
	"time"
)

// Customer is a customer that submits jobs.
type Customer struct {
	Name  string
	Share float64 // weight of its part of the offered load, relative to the other customers
}

// Profile describes the load that Generate generates.
type Profile struct {
	Load          float64 // offered work as a fraction of the capacity
	Customers     []Customer
	Burst         float64 // factor of the load during the middle fifth of the recording
	CancelWaves   int     // number of times that a customer cancels its latest group
	KeyedShare    float64 // share of jobs with an idempotency key
	ResubmitShare float64 // share of keyed jobs that the caller submits a second time
	FailAll       int     // number of backend servers that fail everything
}

var (
	threeCustomers = []Customer{{"chime", 4}, {"halny", 2}, {"korona", 1}}
	oneToNine      = []Customer{{"large", 9}, {"small", 1}}
)

// Profiles returns the scenarios by name.
func Profiles() map[string]Profile {
	usual := Profile{Load: 0.8, Customers: threeCustomers, Burst: 1, KeyedShare: 0.3, ResubmitShare: 0.2}
	with := func(change func(*Profile)) Profile {
		p := usual
		change(&p)
		return p
	}
	return map[string]Profile{
		"light":          with(func(p *Profile) { p.Load = 0.1 }),
		"steady":         usual,
		"overload":       with(func(p *Profile) { p.Load = 1.2 }),
		"burst":          with(func(p *Profile) { p.Burst = 3 }),
		"cancel-wave":    with(func(p *Profile) { p.CancelWaves = 4 }),
		"small-customer": with(func(p *Profile) { p.Load, p.Customers = 1.2, oneToNine }),
		"fail-all":       with(func(p *Profile) { p.FailAll = 1 }),
	}
}

// ProfileNames returns the names of the scenarios in alphabetical order.
func ProfileNames() []string {
	return slices.Sorted(maps.Keys(Profiles()))
}

// Scale is the size of a recording.
type Scale struct {
	Seed     uint64
	Duration time.Duration
	Capacity float64 // slots of all backend servers, each multiplied by the server's speed
	TaskTime float64 // factor of all run times; 1 gives those of production
}
