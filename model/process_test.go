package model

import (
	"slices"
	"testing"
)

func TestProcesses(t *testing.T) {
	upTo := func(n uint64) (list []uint64) {
		for i := range n {
			list = append(list, i+1)
		}
		return list
	}
	tests := map[string]struct {
		heard   []uint64
		ignored []uint64
		present uint64
	}{
		"the first":                        {heard: []uint64{7}, present: 7},
		"the next one":                     {heard: []uint64{7, 7, 2}, present: 2},
		"a late message of the former one": {heard: []uint64{7, 2, 7, 2}, ignored: []uint64{7}, present: 2},
		"of the one before that":           {heard: []uint64{7, 2, 5, 7, 2}, ignored: []uint64{7, 2}, present: 5},
		"many restarts":                    {heard: append(upTo(maxFormer+1), 1), ignored: []uint64{1}, present: maxFormer + 1},
		"more than are remembered":         {heard: append(upTo(maxFormer+2), 1), present: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p Processes
			var ignored []uint64
			for _, incarnation := range tt.heard {
				if !p.Hear(incarnation) {
					ignored = append(ignored, incarnation)
				}
			}
			if !slices.Equal(ignored, tt.ignored) || p.Present != tt.present {
				t.Fatalf("ignored %v, present %d, want %v and %d", ignored, p.Present, tt.ignored, tt.present)
			}
			if len(p.Former) > maxFormer {
				t.Fatalf("%d former processes are remembered, want %d at most", len(p.Former), maxFormer)
			}
		})
	}
}

func TestFormerProcessBeginsAgain(t *testing.T) {
	p := Processes{Present: 2, Former: []uint64{7}}
	p.Begin(7)
	if p.Present != 7 || !slices.Equal(p.Former, []uint64{2}) || p.Hear(2) {
		t.Fatalf("%+v, want process 7 and that 2 is former", p)
	}
}
