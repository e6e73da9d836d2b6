package proof

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/stand"
)

// TestMisbehavingBackendServers guards against wrong answers and repeated starts when one of three
// backend servers in each data centre misbehaves.
func TestMisbehavingBackendServers(t *testing.T) {
	tests := map[string]struct {
		change   stand.Misbehaviour
		deadline time.Duration
		all      bool // whether every job must complete
	}{
		"crashes during a task":        {change: stand.CrashAfter(3)},
		"refuses every task":           {change: stand.RefuseAll(), all: true},
		"responds late":                {change: stand.Late(), deadline: 2 * time.Second},
		"returns mismatched responses": {change: stand.Mismatched()},
		"fails every task":             {change: stand.FailAll()},
		"never responds":               {change: stand.Silent(), deadline: 2 * time.Second},
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
				t.Errorf("%d of %d jobs completed, the others: %v", n, len(runs), incompleteReasons(runs))
			}
		})
	}
}
