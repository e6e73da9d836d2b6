package peers

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// TestLateBatchOfFormerProcess has batches of a host's processes come in any order.
func TestLateBatchOfFormerProcess(t *testing.T) {
	type sent struct{ incarnation, first, number uint64 }
	restarts := func(from, to uint64) (list []sent) {
		for i := from; i <= to; i++ {
			list = append(list, sent{incarnation: i, first: 1, number: i})
		}
		return list
	}
	tests := map[string]struct {
		sent []sent
		want []uint64 // that are taken
	}{
		"between two tries of the present one": {
			sent: []sent{{7, 3, 30}, {6, 90, 1}, {7, 3, 30}}, want: []uint64{30, 1},
		},
		"between two tries, and taken before": {
			sent: []sent{{6, 90, 1}, {7, 3, 30}, {6, 90, 1}, {7, 3, 30}}, want: []uint64{1, 30},
		},
		"of two former processes between two tries": {
			sent: []sent{{5, 2, 1}, {6, 4, 2}, {7, 3, 30}, {6, 4, 2}, {5, 2, 1}, {7, 3, 30}}, want: []uint64{1, 2, 30},
		},
		"the first of its link comes late, and the present one goes on": {
			sent: []sent{{7, 3, 30}, {6, 1, 1}, {7, 4, 31}, {7, 5, 32}}, want: []uint64{30, 1, 31, 32},
		},
		"of a host that restarts often": {sent: restarts(1, 3*maxLanes), want: func() (list []uint64) {
			for i := range uint64(3 * maxLanes) {
				list = append(list, i+1)
			}
			return list
		}()},
		"the present one is heard of between restarts that come late": {
			sent: slices.Concat([]sent{{100, 3, 100}}, restarts(1, maxLanes-1), []sent{{100, 3, 100}}, restarts(maxLanes, 2*maxLanes-2), []sent{{100, 3, 100}}),
			want: func() []uint64 {
				list := []uint64{100}
				for i := range uint64(2*maxLanes - 2) {
					list = append(list, i+1)
				}
				return list
			}(),
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startReceiver(t, 1, 0)
				for _, s := range tt.sent {
					e, err := codec.ToWire(msgs.ServiceJobs, msgs.Fetch{Request: s.number})
					if err != nil {
						t.Fatal(err)
					}
					b := &wire.Batch{From: "h1", Incarnation: s.incarnation, Reliable: true, FirstSeq: s.first, Envelopes: []*wire.Envelope{e}}
					if _, err := r.inbox.Deliver(context.Background(), b); err != nil {
						t.Fatal(err)
					}
					time.Sleep(time.Millisecond)
				}
				stop(r.kernel)
				if !slices.Equal(r.got, tt.want) {
					t.Errorf("took %v, want %v", r.got, tt.want)
				}
			})
		})
	}
}
