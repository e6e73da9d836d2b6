package group

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"dogwoodrock.example/dogwoodrock/place"
)

// TestLearned replaces the primary. The next one must start from the run times that were broadcast,
// or without any if the primary was lost before a broadcast.
func TestLearned(t *testing.T) {
	const jobs = 10
	tests := map[string]struct {
		wait     time.Duration // between the last task and the change of the primary
		handover bool
		want     bool
	}{
		"lost after a broadcast":     {wait: learnedInterval, want: true},
		"lost before a broadcast":    {wait: renewEvery},
		"stopped before a broadcast": {wait: renewEvery, handover: true, want: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			old := f.primary()
			_, owner := f.backups()
			f.run(learnedInterval) // until the first broadcast has passed
			for i := range jobs {
				f.ask(owner, fmt.Sprintf("j%d", i), "", "")
				f.run(renewEvery)
			}
			learned := f.members[old].primary.placer.Learned()
			if len(learned.Speeds) != 1 || len(learned.Runs) != 2 {
				t.Fatalf("learned %+v, want a server, a customer and its service", learned)
			}
			f.run(tt.wait)
			for tt.handover && !f.members[old].drain(nil) {
				f.run(step)
			}
			f.kill(old)
			f.run(2 * recoveryTime)
			var want place.Learned
			if tt.want {
				want = learned
			}
			if got := f.members[f.primary()].primary.placer.Learned(); !reflect.DeepEqual(got, want) {
				t.Errorf("starts from %+v, want %+v", got, want)
			}
		})
	}
}
