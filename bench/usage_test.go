package bench

import (
	"testing"
	"time"
)

// TestCompare checks that the usage covers only the window, also for hosts that started before it.
func TestCompare(t *testing.T) {
	begin := time.Unix(100, 0)
	sample := func(host string, at time.Duration, used float64) Sample {
		return Sample{Host: host, At: begin.Add(at), CPUSeconds: used, Sent: 1000 * used, Messages: 10 * used, MessageBytes: 100 * used, Memory: used}
	}
	leading := func(s Sample) Sample {
		s.Primary, s.ListsLeader, s.ReplicationTime = true, true, time.Second
		return s
	}
	working := func(s Sample, tasks float64) Sample {
		s.Tasks = tasks
		return s
	}
	tests := map[string]struct {
		before, after []Sample
		want          Usage
	}{
		"at rest": {
			before: []Sample{sample("a", 0, 5), leading(sample("b", 0, 1))},
			after:  []Sample{leading(sample("b", 2*time.Second, 3)), sample("a", 2*time.Second, 6)},
			want: Usage{
				Hosts: 2, Window: 2 * time.Second, ReplicationTime: time.Second,
				Mean: Rate{0.75, 4.5, 750}, Primaries: Rate{1, 3, 1000}, Others: Rate{0.5, 6, 500}, ListsLeader: Rate{1, 3, 1000},
			},
		},
		"under load": {
			before: []Sample{working(sample("a", 0, 0), 10)},
			after:  []Sample{working(sample("a", 4*time.Second, 2), 30)},
			want: Usage{
				Hosts: 1, Window: 4 * time.Second, TasksPerSecond: 5, Mean: Rate{0.5, 2, 500}, Others: Rate{0.5, 2, 500},
				SentPerTask: 100, MessagesPerTask: 1, BytesPerTask: 10,
			},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Compare(tt.before, tt.after); got != tt.want {
				t.Errorf("got %+v\nwant %+v", got, tt.want)
			}
		})
	}
}
