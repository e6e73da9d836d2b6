package bench

import (
	"context"
	"fmt"

	"dogwoodrock.example/dogwoodrock/stand"
)

// Service is the service that all tasks of a recording call.
const Service = "dispatch"

// Fleet describes the stand-in backend servers of a replay.
type Fleet struct {
	Entries     []string
	DataCentres []string
	Servers     int // in each data centre
	Slots       int // of each server
	Speeds      []float64
	FailAll     int // number of servers that fail everything
}

// Capacity returns the work that the fleet completes per second, measured in seconds of run time
// on a server of speed 1. It includes servers that fail everything.
func (f Fleet) Capacity() float64 {
	sum := 0.0
	for i := range f.Servers * len(f.DataCentres) {
		sum += float64(f.Slots) * f.speed(i)
	}
	return sum
}

func (f Fleet) speed(i int) float64 {
	return f.Speeds[i%len(f.Speeds)]
}

// group returns the group of stand-in servers, not yet started.
func (f Fleet) group() (*stand.Group, error) {
	g := stand.NewGroup()
	for i := range f.Servers * len(f.DataCentres) {
		cfg := stand.Config{
			Name:       fmt.Sprintf("mrozna-%d", i+1),
			DataCentre: f.DataCentres[i%len(f.DataCentres)],
			Entries:    f.Entries,
			Services:   []string{Service},
			Slots:      f.Slots,
			Speed:      f.speed(i),
		}
		var opts []stand.Option
		if i < f.FailAll {
			opts = append(opts, stand.WithMisbehaviour(stand.FailAll()))
		}
		if err := g.Add(cfg, opts...); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// allAnnounced reports whether each stand-in server has an announcement that an entry host
// accepted.
func allAnnounced(ctx context.Context, g *stand.Group) (bool, error) {
	for _, name := range g.Names() {
		counts, err := g.CountsOf(ctx, name)
		if err != nil || counts.Announced == 0 {
			return false, err
		}
	}
	return true, nil
}
