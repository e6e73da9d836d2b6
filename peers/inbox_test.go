package peers

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"dogwoodrock.example/dogwoodrock/codec"
	"dogwoodrock.example/dogwoodrock/events"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// TestLateBatchOfPreviousProcess delivers batches of several processes of a host in any
// order. Incarnations aren't ordered, so a late batch of a previous process must not make
// the inbox drop messages of the current one or accept a message twice.
func TestLateBatchOfPreviousProcess(t *testing.T) {
	type batch struct{ incarnation, first, number uint64 }
	restarts := func(from, to uint64) (list []batch) {
		for i := from; i <= to; i++ {
			list = append(list, batch{incarnation: i, first: 1, number: i})
		}
		return list
	}
	tests := map[string]struct {
		batches []batch
		want    []uint64 // accepted
	}{
		"between two attempts of the current process": {
			batches: []batch{{7, 3, 30}, {6, 90, 1}, {7, 3, 30}}, want: []uint64{30, 1},
		},
		"between two attempts, and accepted before": {
			batches: []batch{{6, 90, 1}, {7, 3, 30}, {6, 90, 1}, {7, 3, 30}}, want: []uint64{1, 30},
		},
		"of two previous processes between two attempts": {
			batches: []batch{{5, 2, 1}, {6, 4, 2}, {7, 3, 30}, {6, 4, 2}, {5, 2, 1}, {7, 3, 30}}, want: []uint64{1, 2, 30},
		},
		"the first batch of a previous process is late, and the current process continues": {
			batches: []batch{{7, 3, 30}, {6, 1, 1}, {7, 4, 31}, {7, 5, 32}}, want: []uint64{30, 1, 31, 32},
		},
		"of a host that restarts often": {batches: restarts(1, 3*maxSenders), want: func() (list []uint64) {
			for i := range uint64(3 * maxSenders) {
				list = append(list, i+1)
			}
			return list
		}()},
		"the current process sends between late batches of its restarts": {
			batches: slices.Concat([]batch{{100, 3, 100}}, restarts(1, maxSenders-1), []batch{{100, 3, 100}}, restarts(maxSenders, 2*maxSenders-2), []batch{{100, 3, 100}}),
			want: func() []uint64 {
				list := []uint64{100}
				for i := range uint64(2*maxSenders - 2) {
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
				for _, s := range tt.batches {
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
				if !slices.Equal(r.received, tt.want) {
					t.Errorf("accepted %v, want %v", r.received, tt.want)
				}
			})
		})
	}
}

// TestManyNames guards against batches that name ever new hosts, each of which was remembered for good, and against
// forgetting a host that is active, whose messages would be accepted twice.
func TestManyNames(t *testing.T) {
	const names = 3 * maxHosts
	deliver := func(b *Inbox, from string, now time.Time) uint64 {
		return b.acceptReliable(&wire.Batch{From: from, Incarnation: 7, Reliable: true, FirstSeq: 5, Envelopes: []*wire.Envelope{{}}}, now)
	}
	const taken, refused = 5, 4
	tests := map[string]struct {
		name string
		wait time.Duration // between two batches of the crowd
		want uint64        // for the name after the crowd
	}{
		"a known host":            {name: "known", want: taken},
		"a new host, full":        {name: "new", want: refused},
		"a new host, some silent": {name: "new", wait: time.Second, want: taken},
		"a long name":             {name: strings.Repeat("x", 1000), want: refused},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			refusals := 0
			b := &Inbox{hosts: map[string]*remote{}, Log: events.Nop(), OnRefused: func(string) { refusals++ }}
			now := time.Now()
			deliver(b, "known", now)
			for i := range names {
				now = now.Add(tt.wait)
				deliver(b, fmt.Sprintf("host-%d", i), now)
				deliver(b, "known", now)
			}
			if got := deliver(b, tt.name, now); got != tt.want {
				t.Errorf("accepted up to %d, want %d", got, tt.want)
			}
			if len(b.hosts) > maxHosts || (refusals == 0) != (tt.wait > 0) {
				t.Errorf("%d hosts tracked, %d batches refused", len(b.hosts), refusals)
			}
		})
	}
}
