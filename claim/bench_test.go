package claim

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkClaimFinish measures a claim and its outcome in a Registry that already holds many
// claims.
func BenchmarkClaimFinish(b *testing.B) {
	const defaultAnswerBytes = 64 << 20
	sizes := map[string]struct {
		held        int
		answerBytes int64
	}{
		"Held10k":  {10_000, defaultAnswerBytes},
		"Held100k": {100_000, defaultAnswerBytes},
		"Held1M":   {1_000_000, defaultAnswerBytes},
		"AtSize":   {350_000, 32 << 20}, // the limits of a data centre's replication group
	}
	for name, size := range sizes {
		b.Run(name, func(b *testing.B) {
			held := size.held
			reg, heap := newHeldClaims(held, size.answerBytes)
			commands := make([]Command, 0, 2*b.N)
			for i := range b.N {
				commands = append(commands, claimAndFinish(sessionName(testEpoch, 1), held+i)...)
			}
			runtime.GC()
			b.ResetTimer()
			for _, c := range commands {
				reg.Apply(c)
			}
			b.ReportMetric(float64(2*b.N)/b.Elapsed().Seconds(), "applies/s")
			b.ReportMetric(float64(heap)/float64(held), "heapB/claim")
			runtime.KeepAlive(reg)
		})
	}
}

func claimAndFinish(session string, i int) []Command {
	id := fmt.Sprintf("01JABCDEFGHJKMNPQ%09d", i) // the length of a ULID
	return []Command{submit(session, id, "J"+id[1:]), complete("J"+id[1:], "a", 1)}
}

// newHeldClaims returns a Registry with n ended claims, and the heap that it occupies in bytes.
func newHeldClaims(n int, answerBytes int64) (*Registry, uint64) {
	before := heapInUse()
	reg := New(testDC, WithMaxClaims(1<<30, 1<<30), WithAnswers(time.Minute, answerBytes))
	reg.Apply(begin(true))
	reg.Apply(join(1))
	reg.Apply(open("club", 1))
	for i := range n {
		for _, c := range claimAndFinish(sessionName(testEpoch, 1), i) {
			reg.Apply(c)
		}
	}
	return reg, heapInUse() - before
}

func heapInUse() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
