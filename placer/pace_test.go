package placer

import (
	"testing"
	"time"
)

func TestPace(t *testing.T) {
	tests := map[string]struct {
		took []time.Duration
		want time.Duration
	}{
		"no answers yet":         {want: leastCall},
		"quick answers":          {took: repeat(2*time.Millisecond, 100), want: leastCall},
		"one lost order":         {took: append(repeat(2*time.Millisecond, 100), leastCall), want: leastCall},
		"a host short of time":   {took: repeat(40*time.Millisecond, 200), want: 240 * time.Millisecond},
		"nothing is answered":    {took: repeat(mostCall, 500), want: mostCall},
		"it has recovered since": {took: append(repeat(100*time.Millisecond, 200), repeat(time.Millisecond, 300)...), want: leastCall},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p pace
			for _, took := range tt.took {
				p.learn(took)
			}
			if got := p.limit().Round(10 * time.Millisecond); got != tt.want {
				t.Fatalf("an order may take %v, want %v", got, tt.want)
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
