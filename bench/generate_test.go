package bench

import (
	"testing"
	"time"
)

func TestGenerate(t *testing.T) {
	const tolerance = 0.1           // relative error of load and shares, over a long recording
	const offered = 8 * time.Minute // length at full load; longer when the load is lower
	for name, p := range Profiles() {
		t.Run(name, func(t *testing.T) {
			duration := time.Duration(float64(offered) / p.Load)
			scale := Scale{Seed: 1, Duration: duration, Capacity: 200, TaskTime: 1}
			work := map[string]time.Duration{}
			var all time.Duration
			kinds := map[Kind]int{}
			for _, e := range Generate(p, scale).Events {
				kinds[e.Kind]++
				if e.Kind != KindJob {
					continue
				}
				if n := len(e.Tasks); n < 1 || n > maxJobTasks {
					t.Fatalf("job %s has %d tasks", e.Label, n)
				}
				for _, d := range e.Tasks {
					work[e.Customer] += d
					all += d
				}
			}
			want := p.Load * (4 + p.Burst) / 5
			if load := all.Seconds() / scale.Duration.Seconds() / scale.Capacity; !near(load, want, tolerance) {
				t.Errorf("got load %.3f, want %.3f", load, want)
			}
			shares := 0.0
			for _, c := range p.Customers {
				shares += c.Share
			}
			for _, c := range p.Customers {
				if got := float64(work[c.Name]) / float64(all); !near(got, c.Share/shares, tolerance) {
					t.Errorf("share of customer %s: got %.3f, want %.3f", c.Name, got, c.Share/shares)
				}
			}
			if kinds[KindCancel] != p.CancelWaves || kinds[KindResubmit] == 0 {
				t.Errorf("events by kind: %v", kinds)
			}
		})
	}
}

func near(got, want, tolerance float64) bool {
	return got > want*(1-tolerance) && got < want*(1+tolerance)
}
