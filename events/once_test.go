package events

import (
	"fmt"
	"testing"
)

func TestOnce(t *testing.T) {
	tests := map[string]struct {
		subjects []string
		want     int
	}{
		"repeated subjects": {subjects: []string{"a", "b", "a", "a", "b"}, want: 2},
		"empty subject":     {subjects: []string{"", ""}, want: 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var o Once
			first := 0
			for _, s := range tt.subjects {
				if o.First(s) {
					first++
				}
			}
			if first != tt.want {
				t.Fatalf("First returned true %d times for %d subjects, want %d", first, len(tt.subjects), tt.want)
			}
		})
	}
}

func ExampleOnce() {
	var o Once
	fmt.Println(o.First("i-1"), o.First("i-1"))
	// Output: true false
}
