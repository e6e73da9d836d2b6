package placer

import (
	"testing"
	"time"
)

func TestCallLatency(t *testing.T) {
	tests := map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"no answers yet":                 {want: minCallTimeout},
		"quick answers":                  {took: repeat(2*time.Millisecond, 100), want: minCallTimeout},
		"one unanswered order":           {took: append(repeat(2*time.Millisecond, 100), minCallTimeout), want: minCallTimeout},
		"a host short of processor time": {took: repeat(40*time.Millisecond, 200), want: 240 * time.Millisecond},
		"no order is answered":           {took: repeat(maxCallTimeout, 500), want: maxCallTimeout},
		"a host that has recovered":      {took: append(repeat(100*time.Millisecond, 200), repeat(time.Millisecond, 300)...), want: minCallTimeout},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var l callLatency
			for _, took := range tt.took {
				l.observe(took)
			}
			if got := l.timeout().Round(10 * time.Millisecond); got != tt.want {
				t.Fatalf("timeout %v, want %v", got, tt.want)
			}
		})
	}
}

func repeat(d time.Duration, n int) []time.Duration {
	list := make([]time.Duration, n)
	for i := range list {
		list[i] = d
	}
	return list
}
