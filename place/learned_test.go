package place

import (
	"reflect"
	"testing"
)

// A placer that takes over the learned run times and speeds of another one makes the same
// decisions.
func TestLearnedRestored(t *testing.T) {
	former := newPlacer(listsOf(plan("x", 1)), 2, 1)
	completeRounds(former, 40, slowB001)
	tests := map[string]struct {
		learned Learned
		servers int
		want    []string
	}{
		"nothing learned":                 {Learned{}, 2, []string{"a/0@b000", "a/1@b001"}},
		"one server is slow":              {former.Learned(), 2, []string{"a/0@b000"}},
		"a server is no longer announced": {former.Learned(), 1, []string{"a/0@b000"}},
		"unknown customer":                {Learned{Runs: []LearnedRun{{Customer: "y", Service: "check"}}}, 1, []string{"a/0@b000"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPlacer(listsOf(plan("x", 1)), tt.servers, 1)
			p.SetLearned(tt.learned)
			if got := p.Learned(); tt.servers == 2 && !reflect.DeepEqual(got, tt.learned) {
				t.Errorf("learned %+v, want %+v", got, tt.learned)
			}
			p.Submit(jobOf("a", "x", 2), start)
			if got := drainGrants(p); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("granted %v, want %v", got, tt.want)
			}
		})
	}
}
