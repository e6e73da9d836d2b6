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
		observed []uint64
		ignored  []uint64
		present  uint64
	}{
		"first process":                           {observed: []uint64{7}, present: 7},
		"next process":                            {observed: []uint64{7, 7, 2}, present: 2},
		"late message of the previous process":    {observed: []uint64{7, 2, 7, 2}, ignored: []uint64{7}, present: 2},
		"late messages of two previous processes": {observed: []uint64{7, 2, 5, 7, 2}, ignored: []uint64{7, 2}, present: 5},
		"many restarts":                           {observed: append(upTo(maxPrevious+1), 1), ignored: []uint64{1}, present: maxPrevious + 1},
		"more restarts than are kept":             {observed: append(upTo(maxPrevious+2), 1), present: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p Processes
			var ignored []uint64
			for _, incarnation := range tt.observed {
				if !p.Observe(incarnation) {
					ignored = append(ignored, incarnation)
				}
			}
			if !slices.Equal(ignored, tt.ignored) || p.Current != tt.present {
				t.Fatalf("ignored %v, current %d, want %v and %d", ignored, p.Current, tt.ignored, tt.present)
			}
			if len(p.Previous) > maxPrevious {
				t.Fatalf("%d previous processes are kept, want %d at most", len(p.Previous), maxPrevious)
			}
		})
	}
}

func TestPreviousProcessBecomesCurrent(t *testing.T) {
	p := Processes{Current: 2, Previous: []uint64{7}}
	p.SetCurrent(7)
	if p.Current != 7 || !slices.Equal(p.Previous, []uint64{2}) || p.Observe(2) {
		t.Fatalf("%+v, want current 7 and previous 2", p)
	}
}
