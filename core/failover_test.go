package core

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestTablesOutliveTakeovers holds the sums of times between the last pulse that a
// placer has answered and the moment when its jobs are handed to the next one: a
// table that is older doesn't count as whole, and takeovers take a second longer.
func TestTablesOutliveFailover(t *testing.T) {
	const pulses = 2 * fleet.RenewInterval // pulses are as frequent; the last one is lost
	tests := map[string]time.Duration{
		"a placer is lost":                       pulses + fleet.PlacerTimeout + tick,
		"the leader of the core is lost with it": pulses + 2*electionTimeout + fleet.PlacerTimeout + tick,
	}
	for name, most := range tests {
		t.Run(name, func(t *testing.T) {
			if most >= runs.TableTime {
				t.Fatalf("the table of the next placer is up to %v old, and whole for %v", most, runs.TableTime)
			}
		})
	}
}
