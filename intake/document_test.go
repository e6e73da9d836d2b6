package intake

import (
	"slices"
	"testing"
)

// TestEvictOutdated guards against versions of a document that stay in memory as long as somebody reads them, and against
// closing the connection of whoever reads the newest one.
func TestEvictOutdated(t *testing.T) {
	const size = 100
	sending := func(versions ...uint64) []Sending {
		var all []Sending
		for i, v := range versions {
			all = append(all, Sending{Conn: i, Version: v, Bytes: size})
		}
		return all
	}
	tests := map[string]struct {
		all   []Sending
		limit int64
		want  []int
	}{
		"none":                            {},
		"many readers of the newest":      {all: sending(5, 5, 5, 5)},
		"an older one within the limit":   {all: sending(4, 5), limit: size},
		"an older one above the limit":    {all: sending(4, 5), limit: size - 1, want: []int{0}},
		"many readers of an older one":    {all: sending(4, 5, 4, 4), limit: size},
		"the oldest ones":                 {all: sending(1, 5, 2, 4, 2, 3), limit: 2 * size, want: []int{2, 4, 0}},
		"the newest one isn't among them": {all: sending(3, 2, 1), want: []int{1, 2}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := EvictOutdated(tt.all, tt.limit); !slices.Equal(got, tt.want) {
				t.Errorf("closes %v, want %v", got, tt.want)
			}
		})
	}
}
