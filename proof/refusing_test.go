package proof

import (
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/stand"
)

// TestBackendServerStartsRefusing has one of three backend servers in each data centre refuse all
// labelled tasks after it has served others. Refused tasks were not started, so every job must still
// complete on the other backend servers.
func TestBackendServerStartsRefusing(t *testing.T) {
	refuseLabelled := func(b *stand.Behaviour) {
		b.Refuse = func(c stand.Call) bool { return strings.Contains(c.Body, "label=") }
	}
	s := startSystem(t, systemOptions{fleet: func(g *stand.Group, cfg stand.Config) error {
		if err := g.AddMany(cfg, 2); err != nil {
			return err
		}
		cfg.Name += "-bad"
		return g.Add(cfg, stand.WithMisbehaviour(refuseLabelled))
	}})
	runs := append(s.load("keyed", 14, true), s.load("plain", 13, false)...)
	s.awaitAnswers(runs)
	if n := countComplete(runs); n != len(runs) {
		t.Errorf("%d of %d jobs completed, the others: %v", n, len(runs), incompleteReasons(runs))
	}
}
