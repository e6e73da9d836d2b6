package peers

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"google.golang.org/protobuf/proto"

	"dogwoodrock.example/dogwoodrock/model"
	"dogwoodrock.example/dogwoodrock/msgs"
	"dogwoodrock.example/dogwoodrock/wire"
)

// TestOddMessage sends one message that can't be delivered among others. It must not hold up the others:
// the link would retry the batch until it discards all that waits.
func TestOddMessage(t *testing.T) {
	notUTF8 := msgs.Relay{Submission: model.Submission{Customer: "\xff", Key: "k"}}
	tests := map[string]struct {
		odd   any
		panic bool // the first call
		most  time.Duration
	}{
		"a string that isn't UTF-8":         {odd: notUTF8, most: 100 * time.Millisecond},
		"a panic in the call that sends it": {odd: msgs.Fetch{Request: 1}, panic: true, most: 100 * time.Millisecond},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := startReceiver(t, 1, 0)
				panics := tt.panic
				k := startLink(t, func(ctx context.Context, b *wire.Batch) (*wire.Receipt, error) {
					if panics {
						panics = false
						panic("an odd answer")
					}
					if _, err := proto.Marshal(b); err != nil {
						return nil, err
					}
					return r.inbox.Deliver(ctx, b)
				}, false)
				mailer := NewMailer("h1", k.Find)
				for _, m := range []any{msgs.Fetch{Request: 0}, tt.odd, msgs.Fetch{Request: 2}} {
					if err := mailer.Send("h2", msgs.ServiceJobs, m); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(tt.most)
				stop(k)
				stop(r.kernel)
				received := slices.DeleteFunc(r.received, func(n uint64) bool { return n == 1 })
				if !slices.Equal(received, []uint64{0, 2}) {
					t.Errorf("accepted %v within %v, want the two others", r.received, tt.most)
				}
			})
		})
	}
}

// TestEnvelopeWithoutContent delivers an envelope whose body lacks its content. It reaches no service, and
// those behind it do.
func TestEnvelopeWithoutContent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := startReceiver(t, 1, 0)
		b := &wire.Batch{From: "h1", Incarnation: 7, Reliable: true, FirstSeq: 1, Envelopes: []*wire.Envelope{
			{}, {Service: msgs.ServiceJobs, Body: &wire.Envelope_Fetch{}}, {Service: msgs.ServiceJobs, Body: &wire.Envelope_Fetch{Fetch: &wire.Fetch{Request: 5}}},
		}}
		receipt, err := r.inbox.Deliver(context.Background(), b)
		time.Sleep(time.Millisecond)
		stop(r.kernel)
		if err != nil || receipt.GetTakenSeq() != 3 || !slices.Equal(r.received, []uint64{5}) {
			t.Errorf("accepted %v up to %d, error %v", r.received, receipt.GetTakenSeq(), err)
		}
	})
}
