package core

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/fleet"
	"dogwoodrock.example/dogwoodrock/runs"
)

// TestTablesOutliveFailover checks that the server table that a placer confirmed in its last answered
// pulse is still valid when the jobs are handed to the next placer. An older table doesn't count as
// complete, and the failover then takes a second longer.
func TestTablesOutliveFailover(t *testing.T) {
	const pulses = 2 * fleet.RenewInterval // pulses have the same interval; the last one is lost
	tests := map[string]time.Duration{
		"a placer is lost":                       pulses + fleet.PlacerTimeout + tick,
		"the leader of the core is lost with it": pulses + 2*electionTimeout + fleet.PlacerTimeout + tick,
	}
	for name, most := range tests {
		t.Run(name, func(t *testing.T) {
			if most >= runs.TableValidity {
				t.Fatalf("the table of the next placer is up to %v old, and complete for %v", most, runs.TableValidity)
			}
		})
	}
}
