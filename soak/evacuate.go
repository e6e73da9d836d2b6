package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dogwoodrock.example/dogwoodrock/platform/mimic"
)

const (
	orderTimeout   = 5 * time.Second // for the acknowledgement of an evacuation order
	evacuationTime = 5 * time.Second // after the acknowledgement, until no task starts in the data centre
	evacuatedFor   = 2 * time.Second // after that, until the order is reverted
)

// runEvacuations evacuates one data centre after the other, and reverts each order, until ctx is done.
// Without other faults no task may start in a data centre from evacuationTime after the acknowledgement
// until the order is reverted.
func (s *System) runEvacuations(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.Seed, 98))
	for ctx.Err() == nil {
		zone := fmt.Sprintf("z%d", rng.IntN(dataCentres))
		if s.order(ctx, zone, true) {
			wait(ctx, evacuationTime)
			before := s.startsIn(zone)
			wait(ctx, evacuatedFor)
			if n := s.startsIn(zone) - before; n > 0 && s.Planned {
				s.fail("%d tasks were started in %s, which was evacuated", n, zone)
			}
		}
		s.order(ctx, zone, false)
		wait(ctx, evacuatedFor)
	}
}

// order sends an order until it is acknowledged. Once ctx is done it reverts orders all the same.
func (s *System) order(ctx context.Context, zone string, evacuated bool) bool {
	if !evacuated {
		ctx = context.WithoutCancel(ctx)
	}
	for end := time.Now().Add(orderTimeout); time.Now().Before(end) && ctx.Err() == nil; wait(ctx, readInterval) {
		if mimic.Evacuate(ctx, s.controls, zone, evacuated) == http.StatusOK {
			return true
		}
	}
	if s.Planned && ctx.Err() == nil {
		s.fail("an order about %s was not acknowledged within %v", zone, orderTimeout)
	}
	return false
}

func (s *System) startsIn(zone string) int {
	counts, err := s.counts()
	if err != nil {
		s.fail("the workers' counts: %v", err)
	}
	return counts.Zones[zone]
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
