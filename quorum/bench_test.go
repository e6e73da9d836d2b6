package quorum

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkPropose measures the total cost of a proposal at all members, without a network.
func BenchmarkPropose(b *testing.B) {
	for _, size := range [][2]int{{3, 1}, {3, 16}, {3, 256}, {7, 1}, {7, 16}, {7, 256}} {
		b.Run(fmt.Sprintf("members=%d/batch=%d", size[0], size[1]), func(b *testing.B) {
			benchmarkPropose(b, size[0], size[1])
		})
	}
}

func benchmarkPropose(b *testing.B, members, batch int) {
	cfg := testConfig(members)
	cfg.SnapshotEvery, cfg.MaxBatch = defaultSnapshotEvery, defaultMaxBatch
	replicas := map[string]*Replica{}
	for i, m := range cfg.Members {
		cfg.Self = i
		replicas[m.Name] = New(cfg, WithSnapshot(func() []byte { return nil }))
	}
	now := time.Unix(0, 0)
	messages, committed := 0, 0
	deliverAll := func() {
		for busy := true; busy; {
			busy = false
			for _, m := range cfg.Members {
				out := replicas[m.Name].Drain()
				messages += len(out.Messages)
				committed += len(out.Committed)
				for _, m := range out.Messages {
					busy = true
					replicas[m.To].Step(m, now)
				}
			}
		}
	}
	primary := replicas[cfg.Members[0].Name]
	tick := func() {
		now = now.Add(cfg.Heartbeat)
		for _, m := range cfg.Members {
			replicas[m.Name].Tick(now)
		}
		deliverAll()
	}
	for !primary.Status(now).Leading {
		tick()
	}
	messages, committed = 0, 0
	cmd := make([]byte, 100)
	b.ReportAllocs()
	for n := 0; n < b.N; {
		for i := 0; i < batch && n < b.N; i++ {
			if _, err := primary.Propose(cmd, now); err != nil {
				b.Fatal(err)
			}
			n++
		}
		now = now.Add(time.Millisecond)
		deliverAll()
	}
	b.StopTimer()
	tick() // carries the last commit number
	b.ReportMetric(float64(messages)/float64(b.N), "messages/op")
	if committed < b.N*(members-1) {
		b.Fatalf("%d committed", committed)
	}
}
