package entry

import (
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
)

// TestRoutesAfterRestart guards against a withdrawn route being in use again when an entry host restarts:
// a host of the core that is cut off from the others answers first, with the routes that it knew.
func TestRoutesAfterRestart(t *testing.T) {
	type answer struct {
		after   time.Duration // since the start
		version uint64
		leads   bool
	}
	tests := map[string]struct {
		answers []answer
		want    uint64 // version in force, 0 for none
	}{
		"the leader":                              {answers: []answer{{after: time.Millisecond, version: 7, leads: true}}, want: 7},
		"another host":                            {answers: []answer{{after: time.Millisecond, version: 6}}},
		"another host, then the leader":           {answers: []answer{{after: time.Millisecond, version: 6}, {after: 2 * time.Millisecond, version: 7, leads: true}}, want: 7},
		"the leader, then another host":           {answers: []answer{{after: time.Millisecond, version: 7, leads: true}, {after: 2 * time.Millisecond, version: 6}}, want: 7},
		"another host again, and no leader":       {answers: []answer{{after: time.Millisecond, version: 6}, {after: routesGrace, version: 6}}, want: 6},
		"another host with newer ones afterwards": {answers: []answer{{after: time.Millisecond, version: 6, leads: true}, {after: 2 * time.Millisecond, version: 7}}, want: 7},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			start := f.now
			for _, a := range tt.answers {
				f.now = start.Add(a.after)
				m := msgs.HostRenewed{Host: "c2", Leader: "c1", Routes: &model.RoutesText{Version: a.version, Source: []byte("l")}}
				if a.leads {
					m.Host = "c1"
				}
				f.Handle(m)
			}
			got := uint64(0)
			if f.routeTable != nil {
				got = f.routeTable.Document.Version
			}
			if got != tt.want {
				t.Fatalf("version %d in force, want %d", got, tt.want)
			}
		})
	}
}
