package kernel

import (
	"sync"
	"testing"
	"testing/synctest"
)

// TestPool checks that each function runs once, that goroutines are reused, and that all of them end.
func TestPool(t *testing.T) {
	tests := map[string]struct {
		batches, size int // batches run one after the other, each at the same time
		idle          int // goroutines kept afterwards
	}{
		"one after the other":          {batches: 100, size: 1, idle: 1},
		"some at a time":               {batches: 10, size: 8, idle: 8},
		"more than are kept at a time": {batches: 3, size: 3 * maxIdle, idle: maxIdle},
		"none":                         {},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var children sync.WaitGroup
				p := &pool{children: &children}
				var mu sync.Mutex
				ran := map[int]int{}
				for n := range tt.batches {
					release := make(chan bool)
					for i := range tt.size {
						p.run(func() {
							<-release
							mu.Lock()
							defer mu.Unlock()
							ran[n*tt.size+i]++
						})
					}
					close(release)
					synctest.Wait()
				}
				for i := range tt.batches * tt.size {
					if ran[i] != 1 {
						t.Errorf("function %d ran %d times", i, ran[i])
					}
				}
				if len(p.idle) != tt.idle {
					t.Errorf("%d goroutines wait, want %d", len(p.idle), tt.idle)
				}
				p.close()
				p.run(func() {})
				children.Wait()
			})
		})
	}
}
