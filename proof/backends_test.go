package proof

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/stand"
)

// TestMisbehavingBackendServers runs jobs on a fleet in which one backend server
// of each data centre misbehaves.
func TestMisbehavingBackendServers(t *testing.T) {
	tests := map[string]struct {
		change   stand.Misbehaviour
		deadline time.Duration
		all      bool // every job must complete
	}{
		"dies in the middle of a task": {change: stand.DieAfter(3)},
		"refuses everything":           {change: stand.RefuseAll(), all: true},
		"answers late":                 {change: stand.Late(), deadline: 2 * time.Second},
		"answers for another task":     {change: stand.Crossed()},
		"fails everything":             {change: stand.FailAll()},
		"never answers":                {change: stand.Silent(), deadline: 2 * time.Second},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := startSystem(t, systemOptions{fleet: func(g *stand.Group, cfg stand.Config) error {
				if err := g.AddMany(cfg, 2); err != nil {
					return err
				}
				cfg.Name += "-bad"
				return g.Add(cfg, stand.WithMisbehaviour(tt.change))
			}})
			runs := s.loadWithDeadline(tt.deadline, "keyed", 14, true)
			runs = append(runs, s.loadWithDeadline(tt.deadline, "plain", 13, false)...)
			s.awaitAnswers(runs)
			if n := countComplete(runs); n == 0 || tt.all && n != len(runs) {
				t.Errorf("%d of %d jobs were complete, the others: %v", n, len(runs), incompleteReasons(runs))
			}
		})
	}
}
